//! Requests of this daemon at the pools, from the first submission to the end.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use futures::channel::oneshot;
use indexmap::IndexMap;
use lilaccrank::dispatch::message::{
    Entry, Refuse, ReportKind, Resync, Running, Submission, SubmissionNumber, Verdict,
};
use lilaccrank::dispatch::queue::Priority;
use lilaccrank::document::Document;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{PoolId, RequestId};
use lilaccrank::request_key::{MemberRef, Ranking};
use lilaccrank::target_instance::TargetInstance;

use crate::daemon::Daemon;
use crate::pools::slot_leases::Claimant;

/// Requests of this daemon at the pools.
#[derive(Default)]
pub struct PoolClient {
    /// The dispatcher that last received a resync, by pool.
    pub(super) dispatchers: RefCell<IndexMap<PoolId, MemberRef>>,
    /// Number of the last submission of this daemon.
    last_submission: Cell<SubmissionNumber>,
    /// The incarnation of this daemon in that resync.
    pub(super) me: RefCell<Option<MemberRef>>,
    requests: RefCell<IndexMap<RequestId, Outstanding>>,
    /// Number of submissions that wait in each pool, as its dispatcher last reported.
    pub(super) waiting: RefCell<IndexMap<PoolId, usize>>,
}

/// One request, from its first submission to its end.
struct Outstanding {
    submission: Submission,
    deadline: Option<Instant>,
    /// The dispatcher last asked; only its grant for the last submission counts.
    dispatcher: Option<MemberRef>,
    pool: PoolId,
    running: Option<RunningOn>,
    verdict: Option<oneshot::Sender<Verdict>>,
    wait_until: Option<Instant>,
}

/// A request that runs at a target.
pub struct RunningRequest {
    deadline: Option<Instant>,
    pool: PoolId,
    priority: Priority,
    request: RequestId,
    target: TargetInstance,
}

impl RunningRequest {
    /// Describes the request to the arbiter of its target.
    pub fn claimant(&self) -> Claimant<'_> {
        Claimant {
            deadline: self.deadline,
            may_wait: false,
            pool: &self.pool,
            priority: self.priority,
            request: &self.request,
            target: &self.target,
        }
    }
}

struct RunningOn {
    decoded: Option<u32>,
    target: TargetInstance,
}

impl PoolClient {
    /// Number of requests that wait in each pool, as its dispatcher last reported.
    pub fn waiting(&self) -> IndexMap<PoolId, usize> {
        self.waiting.borrow().clone()
    }

    /// Requests that have been granted a target and have not ended.
    pub fn running(&self) -> Vec<RunningRequest> {
        let requests = self.requests.borrow();
        let running = requests.values().filter_map(|outstanding| {
            let on = outstanding.running.as_ref()?;
            Some(RunningRequest {
                deadline: outstanding.deadline,
                pool: outstanding.pool.clone(),
                priority: outstanding.submission.priority(),
                request: outstanding.submission.request.clone(),
                target: on.target.clone(),
            })
        });
        running.collect()
    }

    pub(super) fn insert(
        &self,
        pool: &PoolId,
        submission: Submission,
        verdict: oneshot::Sender<Verdict>,
    ) {
        let now = Instant::now();
        let outstanding = Outstanding {
            deadline: submission.deadline.map(|remaining| now + remaining),
            dispatcher: None,
            pool: pool.clone(),
            running: None,
            verdict: Some(verdict),
            wait_until: submission.wait_at_most.map(|remaining| now + remaining),
            submission: Submission {
                has_unique_number: true,
                ..submission
            },
        };
        let request = outstanding.submission.request.clone();
        self.requests.borrow_mut().insert(request, outstanding);
    }

    pub(super) fn remove(&self, request: &RequestId) -> Option<Submission> {
        let removed = self.requests.borrow_mut().swap_remove(request);
        removed.map(|outstanding| outstanding.submission)
    }

    /// Applies a verdict. Returns `true` if a grant is used.
    pub(super) fn apply_verdict(&self, from: &MemberRef, verdict: Verdict) -> bool {
        let request = match &verdict {
            Verdict::Grant(grant) => &grant.request,
            Verdict::Refuse(refuse) => &refuse.request,
        };
        let mut requests = self.requests.borrow_mut();
        match requests.get_mut(request) {
            Some(outstanding) => outstanding.apply_verdict(from, verdict),
            None => false,
        }
    }

    pub(super) fn record_report(&self, request: &RequestId, kind: &ReportKind) {
        let mut requests = self.requests.borrow_mut();
        let Some(running) = requests.get_mut(request).and_then(|r| r.running.as_mut()) else {
            return;
        };
        match kind {
            ReportKind::FirstToken { .. } => running.decoded = Some(1),
            ReportKind::Progress { tokens, .. } => {
                running.decoded = Some(running.decoded.unwrap_or(0) + tokens);
            }
            ReportKind::Began | ReportKind::Ended { .. } | ReportKind::Head => {}
        }
    }

    /// The submission to send now, with its pool and dispatcher; `None` once there is a verdict.
    pub(super) fn next_submission(
        &self,
        daemon: &Daemon,
        request: &RequestId,
    ) -> Option<(PoolId, MemberRef, Submission)> {
        let mut requests = self.requests.borrow_mut();
        let outstanding = requests.get_mut(request)?;
        outstanding.verdict.as_ref()?;
        let in_force = daemon.in_force().ok()?;
        if in_force.document.pool(&outstanding.pool).is_none() {
            outstanding.refuse_removed();
            return None;
        }
        let dispatcher = daemon.duties.dispatcher(&outstanding.pool)?;
        outstanding.assign_to(&dispatcher, &daemon.duties.me(), &self.last_submission);
        let submission = outstanding.submission.clone();
        Some((outstanding.pool.clone(), dispatcher, submission))
    }

    /// Refuses requests that wait for a pool that the configuration no longer has.
    ///
    /// Its dispatcher has been retired and no daemon will create another one, so these requests
    /// would wait forever.
    pub(super) fn refuse_removed(&self, document: &Document) {
        let mut requests = self.requests.borrow_mut();
        let all = requests.values_mut();
        for removed in all.filter(|r| document.pool(&r.pool).is_none()) {
            removed.refuse_removed();
        }
    }

    pub(super) fn resync(&self, daemon: &Daemon, pool: &PoolId, dispatcher: &MemberRef) -> Resync {
        let me = daemon.duties.me();
        let mut requests = self.requests.borrow_mut();
        let mut running = Vec::new();
        let mut waiting = Vec::new();
        for outstanding in requests.values_mut().filter(|r| r.pool == *pool) {
            if let Some(on) = &outstanding.running {
                // A running request moves to the current incarnation of this daemon too. Otherwise
                // it would be dropped with the incarnation that was declared dead.
                outstanding.submission.entry_incarnation = me.incarnation;
                running.push(Running {
                    submission: outstanding.submission.clone(),
                    decoded: on.decoded,
                    target: on.target.clone(),
                });
            } else {
                outstanding.assign_to(dispatcher, &me, &self.last_submission);
                waiting.push(outstanding.submission.clone());
            }
        }
        let entry = Entry {
            incarnation: me.incarnation,
            vm: me.vm,
        };
        Resync {
            entry,
            running,
            waiting,
        }
    }
}

impl Outstanding {
    /// Assigns the submission to `dispatcher`. Asking another dispatcher invalidates the earlier
    /// submission.
    ///
    /// All submissions of this daemon have different numbers. Numbers that begin anew with each attempt
    /// would take a late message on an earlier attempt for one on the current attempt.
    fn assign_to(
        &mut self,
        dispatcher: &MemberRef,
        me: &MemberRef,
        last_submission: &Cell<SubmissionNumber>,
    ) {
        let is_other_dispatcher = self.dispatcher.as_ref() != Some(dispatcher);
        let is_new_incarnation = self.submission.entry_incarnation != me.incarnation;
        if is_other_dispatcher || is_new_incarnation {
            self.submission.submission = last_submission.get() + 1;
            last_submission.set(self.submission.submission);
            self.submission.entry_incarnation = me.incarnation;
            self.dispatcher = Some(dispatcher.clone());
        }
        let now = Instant::now();
        let remaining = |until: Instant| until.saturating_duration_since(now);
        self.submission.deadline = self.deadline.map(remaining);
        self.submission.wait_at_most = self.wait_until.map(remaining);
    }

    fn refuse_removed(&mut self) {
        if let Some(tx) = self.verdict.take() {
            // The receiver may have been dropped.
            let _ = tx.send(Verdict::Refuse(Refuse {
                submission: self.submission.submission,
                kind: ErrorKind::NoTarget,
                request: self.submission.request.clone(),
                retry_after: None,
                unmeetable: None,
            }));
        }
    }

    fn apply_verdict(&mut self, from: &MemberRef, verdict: Verdict) -> bool {
        let submission_number = match &verdict {
            Verdict::Grant(grant) => grant.submission,
            Verdict::Refuse(refuse) => refuse.submission,
        };
        // A dispatcher that was frozen or partitioned may grant a submission after another one took
        // over. Using both grants would send the request twice, so only the last one asked counts.
        if self.submission.submission != submission_number || self.dispatcher.as_ref() != Some(from)
        {
            return false;
        }
        if let (Some(running), Verdict::Grant(grant)) = (&self.running, &verdict) {
            return running.target == grant.target;
        }
        let Some(tx) = self.verdict.take() else {
            return false;
        };
        if let Verdict::Grant(grant) = &verdict {
            self.running = Some(RunningOn {
                decoded: None,
                target: grant.target.clone(),
            });
        }
        tx.send(verdict).is_ok()
    }
}
