//! A graceful end: nothing new is taken, nothing in progress is cut.

use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::server::ShutdownHandle;

use crate::daemon::Daemon;
use crate::signals::Signals;

/// How often a shutdown looks whether it is done.
const POLL: Duration = Duration::from_millis(20);

/// Longest time to tell callers that their requests are cut.
const TELL_LIMIT: Duration = Duration::from_secs(2);

/// Takes nothing new and waits for what is in progress, within the limit or until a second
/// signal comes. The servers are closed one after the other, the one for callers first.
pub async fn run(daemon: &Daemon, servers: [&ShutdownHandle; 2], signals: &Signals) {
    daemon.leaving.set(true);
    let serving = Duration::from_millis(daemon.cfg.shutdown_serving_ms);
    daemon.refusing.set(serving.is_zero());
    log::info!("leaving with {} requests in progress", daemon.in_progress());
    daemon.membership.leave().await;
    // Callers come until the balancer has noticed, and on open connections: turned away, they
    // would lose time for nothing.
    servers[0].drain();
    monoio::time::sleep(serving).await;
    daemon.refusing.set(true);
    let done = finish(daemon, servers);
    let cut = cut(daemon, signals);
    pin_mut!(done, cut);
    match future::select(done, cut).await {
        Either::Left(_) => {
            daemon.record(EventKind::Drained, Subject::default());
            log::info!("ended with nothing cut");
        }
        Either::Right((_, done)) => {
            log::warn!("cutting {} requests", daemon.in_progress());
            daemon.cutting.trigger();
            // Their callers are told whether they ran, which a broken connection would not say.
            let _ = monoio::time::timeout(TELL_LIMIT, done).await;
        }
    }
}

/// Other daemons read held answers from the admin server for callers that repeated a key there.
/// Ending while one is on its way would cut it at a caller that saw nothing of this shutdown.
async fn finish(daemon: &Daemon, servers: [&ShutdownHandle; 2]) {
    while daemon.in_progress() > 0 {
        monoio::time::sleep(POLL).await;
    }
    for closing in servers {
        closing.close();
        while closing.connections() > 0 {
            monoio::time::sleep(POLL).await;
        }
    }
}

async fn cut(daemon: &Daemon, signals: &Signals) {
    let over = monoio::time::sleep(Duration::from_millis(daemon.cfg.shutdown_limit_ms));
    let again = signals.reached(2);
    pin_mut!(over, again);
    future::select(over, again).await;
}
