//! Publishing for an operator: takes over the newest, writes, and answers only when what was
//! written stays in force.

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

/// Time to take over the newest configuration of the live daemons. After a store came back
/// older, a watcher settles within seconds which one that is.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Time to write.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Time until the publication is known to stay.
const CONFIRM_LIMIT: Duration = Duration::from_secs(5);
/// Time between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Publishes what `author` sent.
///
/// # Errors
///
/// If it is not accepted, or it is not known whether it is.
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

/// Takes over the newest configuration of the live daemons, so that a store that came back
/// older can't give out a generation again.
async fn settle(daemon: &Daemon) -> Result<()> {
    let until = MonoioClock.now() + SETTLE_LIMIT;
    loop {
        let reports = Reports::gather(daemon).await;
        let taken = exchange::take_newest(&daemon.peers, &reports.heard, &daemon.adoption).await;
        let Err(e) = taken else { return Ok(()) };
        if over(until) {
            let message = e.to_string();
            return Err(Failure::Unsettled { message }.into());
        }
        MonoioClock.sleep(LOOK_AGAIN).await;
    }
}

/// Waits until the publication stays in force; returns the members that were not heard.
async fn confirm(daemon: &Daemon, identity: &Identity) -> Result<Vec<VmId>> {
    let until = MonoioClock.now() + CONFIRM_LIMIT;
    let unresolved = || Failure::Unresolved {
        id: identity.publication.clone(),
    };
    loop {
        let reports = Reports::gather(daemon).await;
        let left = until.saturating_duration_since(MonoioClock.now());
        let archive = Archive::new(&daemon.store, &MonoioClock, left);
        let looked = publish::confirm(&archive, identity, &reports.held()).await;
        match looked.map_err(|_| unresolved())? {
            Confirmation::Displaced { by } => return Err(Failure::Displaced { by }.into()),
            Confirmation::InForce => return Ok(reports.unheard),
            Confirmation::Pending if over(until) => return Err(unresolved().into()),
            Confirmation::Pending => MonoioClock.sleep(LOOK_AGAIN).await,
        }
    }
}

fn over(until: Instant) -> bool {
    MonoioClock.now() >= until
}
