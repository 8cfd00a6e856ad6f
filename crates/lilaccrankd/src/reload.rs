//! Reads the settings again, at SIGHUP and from time to time, as a file may change without a signal.
//!
//! Addresses and the name of the vm need a restart. What is taken over while the daemon runs is
//! where to look for members.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;

use crate::daemon::Daemon;
use crate::signals::Signals;

/// Time between two looks at the file. What may change in it concerns daemons that come and go,
/// which members tell each other within seconds anyway.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the settings file for as long as the daemon runs.
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
            Err(e) => log::warn!("the settings can't be read again, the old ones stay: {e}"),
        }
    }
}
