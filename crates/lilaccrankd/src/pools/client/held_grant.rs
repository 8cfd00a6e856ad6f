//! What an entry holds of a pool: a submission that waits, or a grant in use.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::dispatch::message::{Cancel, Grant, Outcome, Report, ReportKind};
use lilaccrank::ids::{PoolId, RequestId};
use lilaccrank::target_instance::TargetInstance;

use crate::daemon::Daemon;
use crate::peers::message::PoolMessage;
use crate::pools::server;
use crate::pools::slot_leases;

/// A grant in use. Dropping it without [`finish`](Self::finish) releases the slot, as the grant of a
/// cancelled request if it was sent, else as one that was not used.
pub struct HeldGrant {
    ask: u64,
    daemon: Rc<Daemon>,
    ended: Cell<bool>,
    /// Tokens of the answer so far; `None` while the target has not got the request.
    decoded: Cell<Option<u32>>,
    /// Time to the complete answer that the dispatcher expects.
    pub expected: Option<Duration>,
    pool: PoolId,
    request: RequestId,
    /// Target that the request may be sent to.
    pub target: TargetInstance,
}

/// Cancels a submission when its caller stops waiting.
pub(super) struct WaitingSubmission<'a> {
    pub(super) daemon: &'a Rc<Daemon>,
    pub(super) pool: &'a PoolId,
    pub(super) request: &'a RequestId,
    pub(super) is_decided: bool,
}

impl Drop for WaitingSubmission<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        if let Some(submission) = self.daemon.pool_client.remove(self.request) {
            let cancel = Cancel {
                submission: submission.submission,
                request: submission.request,
            };
            super::notify(self.daemon, self.pool, PoolMessage::Cancel(cancel));
        }
    }
}

impl HeldGrant {
    pub(super) fn new(daemon: &Rc<Daemon>, pool: &PoolId, grant: Grant) -> Self {
        Self {
            ask: grant.submission,
            daemon: Rc::clone(daemon),
            ended: Cell::new(false),
            decoded: Cell::new(None),
            expected: grant.expected,
            pool: pool.clone(),
            request: grant.request,
            target: grant.target,
        }
    }

    /// Reports the progress of the request to the dispatcher.
    pub fn report(&self, kind: ReportKind) {
        self.daemon.pool_client.record_report(&self.request, &kind);
        let report = Report {
            submission: self.ask,
            kind,
            request: self.request.clone(),
            target: self.target.clone(),
        };
        super::notify(&self.daemon, &self.pool, PoolMessage::Report(report));
    }

    /// Passes on that the target wants no requests of this daemon for a time.
    pub fn push_back(&self, pause: Duration) {
        server::push_back(&self.daemon, &self.pool, &self.target, pause);
    }

    /// Records the tokens of the answer so far, 0 when the request is about to be sent.
    pub fn record_decoded(&self, tokens: u32) {
        self.decoded.set(Some(tokens));
    }

    /// Ends the request and releases the slot. Later calls have no effect.
    pub fn finish(&self, outcome: Outcome, decoded: u32, prefill: Option<u32>) {
        if self.ended.replace(true) {
            return;
        }
        self.report(ReportKind::Ended {
            decoded,
            outcome,
            prefill,
        });
        self.daemon.pool_client.remove(&self.request);
        slot_leases::end(&self.daemon, &self.request, outcome);
    }
}

impl Drop for HeldGrant {
    fn drop(&mut self) {
        match self.decoded.get() {
            Some(decoded) => self.finish(Outcome::Cancelled, decoded, None),
            None => self.finish(Outcome::Unused, 0, None),
        }
    }
}
