//! Publishes a configuration for an operator: adopts the newest configuration first, writes the new
//! one, and replies once it is certain to stay in force.

use std::time::{Duration, Instant};

use lilaccrank::clock::Clock;
use lilaccrank::configuration::archive::Archive;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::configuration::publish::{self, Confirmation, Publication};
use lilaccrank::ids::VmId;
use lilaccrank::operators::{Failure, PublishRequest, Published};
use lilaccrank::rules::reading;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::monoio_clock::MonoioClock;

use super::error::Result;
use super::reports::Reports;
use crate::daemon::Daemon;

/// Timeout for adopting the newest configuration of the live daemons. After a store was restored to
/// an older state, a watcher resolves within seconds which one is the newest.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Timeout for writing the publication.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Timeout for confirming that the publication stays in force.
const CONFIRM_LIMIT: Duration = Duration::from_secs(5);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Publishes the document that `author` sent.
///
/// # Errors
///
/// If the publication is rejected, or its outcome is unknown.
pub async fn publish(daemon: &Daemon, author: String, req: PublishRequest) -> Result<Published> {
    let document =
        reading::read_value(&req.document).map_err(|problems| Failure::Invalid { problems })?;
    settle(daemon).await?;
    let publication = Publication {
        author,
        base: Some(req.base),
        document,
        id: req.id,
    };
    let written = publish::publish(
        &daemon.store,
        &MonoioClock,
        &daemon.adoption,
        &publication,
        WRITE_LIMIT,
    );
    let identity = written.await.map_err(Failure::from)?;
    let unresponsive = confirm(daemon, &identity).await?;
    let author = &publication.author;
    log::info!("{author} published {identity}");
    daemon.record(
        EventKind::Published,
        Subject {
            detail: format!("{identity} by {author}"),
            ..Subject::default()
        },
    );
    Ok(Published {
        identity,
        unresponsive,
    })
}

/// Adopts the newest configuration of the live daemons, so that a store restored to an older state
/// can't assign the same generation twice.
async fn settle(daemon: &Daemon) -> Result<()> {
    let until = MonoioClock.now() + SETTLE_LIMIT;
    loop {
        let reports = Reports::gather(daemon).await;
        let taken = exchange::take_newest(
            &daemon.peers,
            &reports.received,
            &daemon.adoption,
            &MonoioClock,
        )
        .await;
        let Err(e) = taken else { return Ok(()) };
        if is_past(until) {
            let message = e.to_string();
            return Err(Failure::Unsettled { message }.into());
        }
        MonoioClock.sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until the publication is certain to stay in force; returns the members that did not
/// respond.
async fn confirm(daemon: &Daemon, identity: &Identity) -> Result<Vec<VmId>> {
    let until = MonoioClock.now() + CONFIRM_LIMIT;
    let unresolved = || Failure::Unresolved {
        id: identity.publication.clone(),
    };
    loop {
        let reports = Reports::gather(daemon).await;
        let left = until.saturating_duration_since(MonoioClock.now());
        let archive = Archive::new(&daemon.store, &MonoioClock, left);
        let confirmation = publish::confirm(&archive, identity, &reports.held()).await;
        match confirmation.map_err(|_| unresolved())? {
            Confirmation::Displaced { by } => return Err(Failure::Displaced { by }.into()),
            Confirmation::InForce => return Ok(reports.unresponsive),
            Confirmation::Pending if is_past(until) => return Err(unresolved().into()),
            Confirmation::Pending => MonoioClock.sleep(RETRY_INTERVAL).await,
        }
    }
}

fn is_past(until: Instant) -> bool {
    MonoioClock.now() >= until
}
