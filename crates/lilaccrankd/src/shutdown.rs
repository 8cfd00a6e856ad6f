//! Graceful shutdown: refuses new requests and lets those in progress finish.

use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::clock;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::server::ShutdownHandle;

use crate::daemon::Daemon;
use crate::signals::Signals;

/// Interval at which a shutdown checks for remaining requests and connections.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time to tell callers that their requests are aborted.
const ABORT_GRACE: Duration = Duration::from_secs(2);

/// Refuses new requests and waits for those in progress, until the time limit or a second signal, if that
/// may cut them.
/// The servers are closed one after the other, the one for callers first.
///
/// All times count from the request of the shutdown, as those of the platform do: a busy daemon learns of it
/// late.
pub async fn run(
    daemon: &Daemon,
    servers: [&ShutdownHandle; 2],
    signals: &Signals,
    requested_at: Instant,
) {
    daemon.leaving.set(true);
    let serving = clock::millis(daemon.cfg.shutdown_serving_ms);
    daemon.refusing.set(serving.is_zero());
    let refuse_at = requested_at + serving;
    let abort_at = refuse_at + clock::millis(daemon.cfg.shutdown_limit_ms);
    log::info!("leaving with {} requests in progress", daemon.in_progress());
    daemon.membership.leave().await;
    // Callers keep arriving until the load balancer notices, and on open connections. Refusing
    // them would only delay them.
    servers[0].drain();
    monoio::time::sleep_until(refuse_at.into()).await;
    daemon.refusing.set(true);
    let done = drain(daemon, servers);
    let until_abort = until_abort(daemon, signals, abort_at);
    pin_mut!(done, until_abort);
    match future::select(done, until_abort).await {
        Either::Left(_) => {
            daemon.record(EventKind::Drained, Subject::default());
            log::info!("ended with nothing cut");
        }
        Either::Right((_, done)) => {
            log::warn!("aborting {} requests", daemon.in_progress());
            daemon.abort_signal.trigger();
            // Callers learn whether their requests ran; a closed connection would not say so.
            let _ = monoio::time::timeout(ABORT_GRACE, done).await;
        }
    }
}

/// Waits for requests in progress, then for the connections of both servers.
///
/// Other daemons read answers from the admin server for callers that repeated a key there. Ending
/// during such a read would break the answer of a caller that is not affected by this shutdown.
async fn drain(daemon: &Daemon, servers: [&ShutdownHandle; 2]) {
    while daemon.in_progress() > 0 {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    for closing in servers {
        closing.close();
        while closing.connections() > 0 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Completes at the shutdown's time limit, or at a second signal if that may cut requests.
async fn until_abort(daemon: &Daemon, signals: &Signals, abort_at: Instant) {
    let timed_out = monoio::time::sleep_until(abort_at.into());
    let second_signal = async {
        match daemon.cfg.shutdown_cut_by_signal {
            true => signals.wait_for_count(2).await,
            false => future::pending().await,
        }
    };
    pin_mut!(timed_out, second_signal);
    future::select(timed_out, second_signal).await;
}
