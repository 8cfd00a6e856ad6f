//! Verdicts on submissions, and their delivery to the entries.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::dispatch::message::{Grant, Outcome, Report, ReportKind, Submission, Verdict};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::peers::Peers;
use lilaccrank::timeline::{EventKind, Subject};
use lilaccrank_http::runtime;

use crate::daemon::Daemon;
use crate::peers::message::{PoolMessage, PoolReply, PoolRequest};
use crate::pools::client;
use crate::pools::server::ServedPool;

/// Attempts to deliver a verdict. An entry that missed them all asks again.
const DELIVERY_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What became of a verdict on its way to the entry.
enum Delivery {
    /// The entry uses it.
    Accepted,
    /// The entry has no use for it: it is not for the last submission of a request that waits.
    Declined,
    /// The entry has not answered, and may ask again.
    Failed,
}

/// Decides on a submission and delivers the verdict.
pub(super) fn spawn_decide(daemon: &Rc<Daemon>, served: &Rc<ServedPool>, submission: Submission) {
    runtime::spawn(decide(Rc::clone(daemon), Rc::clone(served), submission));
}

async fn decide(daemon: Rc<Daemon>, served: Rc<ServedPool>, submission: Submission) {
    let entry = submission.entry.clone();
    let verdict = {
        let deciding = served.dispatcher.submit(submission);
        let retired = served.retired();
        pin_mut!(deciding, retired);
        match future::select(deciding, retired).await {
            Either::Left((verdict, _)) => verdict,
            Either::Right(_) => return,
        }
    };
    // This call was cancelled, or replaced by a repetition of the same submission, which gets the
    // verdict.
    if matches!(&verdict, Verdict::Refuse(refuse) if refuse.kind == ErrorKind::Cancelled) {
        return;
    }
    if let Verdict::Grant(grant) = &verdict {
        let is_first = served
            .dispatcher
            .note_delivery(&grant.request, grant.submission);
        if is_first {
            record_grant(&daemon, &served, grant);
        } else {
            log::info!(
                entry = entry,
                request = grant.request,
                submission = grant.submission;
                "the grant is delivered again for a repeated submission"
            );
        }
    }
    let delivery = deliver(&daemon, &served, &entry, &verdict).await;
    let Verdict::Grant(grant) = verdict else {
        return;
    };
    let kind = match delivery {
        Delivery::Accepted => ReportKind::Began,
        Delivery::Declined => ReportKind::Ended {
            decoded: 0,
            outcome: Outcome::Unused,
            prefill: None,
        },
        Delivery::Failed => {
            let dispatcher = &served.dispatcher;
            return dispatcher.withdraw(&grant.request, grant.submission);
        }
    };
    served.dispatcher.report(&Report {
        submission: grant.submission,
        kind,
        request: grant.request,
        target: grant.target,
    });
}

fn record_grant(daemon: &Daemon, served: &ServedPool, grant: &Grant) {
    let is_urgent = served.dispatcher.has_urgent_changes();
    daemon.load_exchange.note_change(is_urgent);
    let subject = Subject {
        detail: format!(
            "by the dispatcher of pool {}, submission {}",
            served.pool, grant.submission
        ),
        request: Some(grant.request.clone()),
        target: Some(grant.target.id.clone()),
    };
    daemon.record(EventKind::Granted, subject);
}

async fn deliver(
    daemon: &Rc<Daemon>,
    served: &ServedPool,
    entry: &str,
    verdict: &Verdict,
) -> Delivery {
    if entry == daemon.cfg.vm {
        return match client::on_verdict(daemon, &served.me, verdict.clone()) {
            true => Delivery::Accepted,
            false => Delivery::Declined,
        };
    }
    for _ in 0..DELIVERY_ATTEMPTS {
        let req = PoolRequest {
            message: PoolMessage::Verdict {
                from: served.me.clone(),
                verdict: verdict.clone(),
            },
            pool: served.pool.clone(),
        };
        match daemon.peers.call(&entry.to_owned(), req).await {
            Ok(PoolReply::Accepted { .. }) => return Delivery::Accepted,
            Ok(PoolReply::Declined) => return Delivery::Declined,
            Err(_) => monoio::time::sleep(DELIVERY_RETRY_DELAY).await,
        }
    }
    Delivery::Failed
}
