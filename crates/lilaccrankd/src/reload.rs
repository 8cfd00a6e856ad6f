//! Reloads the settings file on SIGHUP and periodically, as the file may change without a signal.
//!
//! Only the gossip seeds change while the daemon runs; addresses and the VM's name need a restart.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;

use crate::daemon::Daemon;
use crate::signals::Signals;

/// Interval between two reads of the file. New seeds are not urgent: gossip spreads membership
/// changes within seconds anyway.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads the settings for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>, signals: Signals) {
    let mut seeds = daemon.cfg.seeds.clone();
    let mut reloads = 0;
    loop {
        let requested = signals.wait_for_reload(reloads);
        let elapsed = monoio::time::sleep(POLL_INTERVAL);
        pin_mut!(requested, elapsed);
        let by_signal = match future::select(requested, elapsed).await {
            Either::Left((count, _)) => {
                reloads = count;
                true
            }
            Either::Right(_) => false,
        };
        let Some(path) = &daemon.ports.settings_file else {
            continue;
        };
        match (daemon.ports.settings)(path) {
            Ok(cfg) if cfg.seeds != seeds => {
                log::info!(by_signal = by_signal, seeds = cfg.seeds.len(); "reloaded: other seeds");
                seeds.clone_from(&cfg.seeds);
                daemon.membership.set_seeds(cfg.seeds);
            }
            Ok(_) if by_signal => log::info!(by_signal = true; "reloaded: nothing changed"),
            Ok(_) => {}
            Err(e) => log::warn!("failed to reload the settings, keeping the old ones: {e}"),
        }
    }
}
