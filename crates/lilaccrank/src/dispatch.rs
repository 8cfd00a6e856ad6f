//! Dispatcher of a pool: admits, queues and assigns requests to the slots of its targets.
//!
//! Entry daemons own their requests and ask the dispatcher for a target; request bodies never pass
//! through it. A single queue per pool guarantees that no higher tier is shed while lower-tier work
//! is kept. All state is soft: after a change of dispatcher the entry daemons send it again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::document::{Pool, Target};
use crate::error_kind::ErrorKind;
use crate::ids::{DataCentre, Incarnation, RequestId, Tier, VmId};
use crate::paths::Route;
use crate::target_instance::{InstanceDigest, TargetInstance};

mod admission;
pub mod affinity;
pub mod choice;
mod deadline;
mod delay;
pub mod drain_rate;
mod ended;
pub mod estimate;
mod fair;
mod grants;
pub mod health;
mod held_up;
mod inflight;
mod length_ratio;
pub mod limits;
pub mod message;
mod overload;
pub mod pushback;
pub mod queue;
mod queue_deadline;
pub mod rate_limit;
mod recovery;
mod reports;
pub mod reservation;
pub mod sharing;
mod state;
pub mod status;
pub mod step_model;
pub mod target;
mod tiers;
pub mod unanswered;
mod wait_outcomes;
pub mod work;

use admission::Admission;
use message::Verdict;
use message::{
    CacheEvent, Cancel, Entry, LoadReport, Refuse, Report, Resync, Submission, SubmissionNumber,
};
use rate_limit::Share;
use sharing::Digest;
use state::{State, WaiterId};
use status::Status;

/// Interval between checks of deadlines, the handover and silent targets.
const TICK: Duration = Duration::from_millis(50);

/// Settings of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Tokens per block of the prefix digests.
    pub block_tokens: u32,
    /// Data centre of this daemon; targets elsewhere lose ties.
    pub data_centre: DataCentre,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Lowest tier of the configuration, the only one shed during a handover.
    pub lowest_tier: Tier,
    /// Minimum time without output after which a target with running requests counts as
    /// unresponsive. Model engines emit tokens continuously, but a plain service is silent while it
    /// works.
    pub min_hang_timeout: Duration,
    /// VM of this daemon.
    pub vm: VmId,
    /// Maximum queue length in submissions; [`Dispatcher::set_targets`] sets it from the pool.
    pub waiting_limit: usize,
}

/// Dispatcher of one pool; clones are handles to the same dispatcher.
#[derive(Clone)]
pub struct Dispatcher<C: Clock> {
    clock: C,
    state: Rc<RefCell<State>>,
}

impl<C: Clock> Dispatcher<C> {
    /// Creates a dispatcher without targets, which refuses every submission until it has some.
    #[must_use]
    pub fn new(clock: C, cfg: Config) -> Self {
        let state = State::new(cfg, clock.now());
        Self {
            clock,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Submits a request and waits for its verdict. Dropping the future cancels the submission. A
    /// repeated submission with a higher number replaces the earlier one; one with the same number
    /// gets the same verdict, or is refused if it has ended.
    pub async fn submit(&self, submission: Submission) -> Verdict {
        let (request, number) = (submission.request.clone(), submission.submission);
        let admission = self.state.borrow_mut().submit(submission, self.clock.now());
        let (id, rx) = match admission {
            Admission::Decided(verdict) => return verdict,
            Admission::Queued(id, rx) => (id, rx),
        };
        let mut guard = Guard {
            submission: number,
            dispatcher: self,
            id,
            request,
            rx: Some(rx),
        };
        let verdict = match guard.rx.as_mut() {
            Some(rx) => rx.await.ok(),
            None => None,
        };
        guard.rx = None;
        verdict.unwrap_or_else(|| {
            Verdict::Refuse(Refuse {
                submission: number,
                kind: ErrorKind::Cancelled,
                request: guard.request.clone(),
                retry_after: None,
                unmeetable: None,
            })
        })
    }

    /// Notes that the grant of a submission is passed on to its entry daemon. Returns `true` the first
    /// time, and `false` if it is passed on again for a repeated submission.
    #[must_use]
    pub fn note_delivery(&self, request: &str, submission: SubmissionNumber) -> bool {
        self.state.borrow_mut().note_delivery(request, submission)
    }

    /// Cancels a submission, whether it is waiting or already granted.
    pub fn cancel(&self, cancel: &Cancel) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.cancel(&cancel.request, cancel.submission, now);
    }

    /// Ends a grant that has not reached its entry daemon, which may submit the request again with the
    /// same number.
    pub fn withdraw(&self, request: &str, submission: SubmissionNumber) {
        let now = self.clock.now();
        self.state.borrow_mut().withdraw(request, submission, now);
    }

    /// Processes an entry daemon's report on a granted request.
    pub fn report(&self, report: &Report) {
        self.state.borrow_mut().report(report, self.clock.now());
    }

    /// Replaces the target list with the pool's targets in `data_centre`. From this call on,
    /// targets that are draining or no longer listed get no new work.
    pub fn set_targets(&self, pool: &Pool, data_centre: &str) {
        self.set_targets_where(pool, &[], |other| other == data_centre);
    }

    /// Like [`set_targets`](Self::set_targets), for all data centres that `is_near` accepts. The `spare`
    /// targets belong to other cells and get resumed streams only.
    pub fn set_targets_where(&self, pool: &Pool, spare: &[Target], is_near: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.set_targets(pool, spare, is_near, now);
    }

    /// Sets the cell's shares of the rate limits that targets advertise; targets that are not
    /// listed have no limit.
    pub fn set_rate_limits(&self, shares: &IndexMap<InstanceDigest, Share>) {
        let now = self.clock.now();
        self.state.borrow_mut().set_rate_limits(shares, now);
    }

    /// Grants nothing on a target for this time, in which it has no free slot.
    pub fn hold(&self, target: &TargetInstance, pause: Duration) {
        let now = self.clock.now();
        self.state.borrow_mut().hold(target, pause, now);
    }

    /// Sets how requests of this daemon get to the targets; those that are not listed are reached
    /// directly.
    pub fn set_routes(&self, routes: &IndexMap<TargetInstance, Route>) {
        let now = self.clock.now();
        self.state.borrow_mut().set_routes(routes, now);
    }

    /// Grants nothing on a target for the time that it has asked for, and then one request that
    /// tries it.
    pub fn push_back(&self, target: &TargetInstance, pause: Duration) {
        let now = self.clock.now();
        self.state.borrow_mut().push_back(target, pause, now);
    }

    /// Processes a target's own load report.
    pub fn load_report(&self, target: &TargetInstance, report: LoadReport) {
        let now = self.clock.now();
        self.state.borrow_mut().load_report(target, report, now);
    }

    /// Applies a batch of cache events; `sequence` numbers the batches of one target without gaps.
    pub fn cache_events(&self, target: &TargetInstance, sequence: u64, events: &[CacheEvent]) {
        let mut state = self.state.borrow_mut();
        state.cache_events(target, sequence, events);
    }

    /// Replaces the state of one entry daemon with its current waiting and running requests.
    pub fn resync(&self, resync: Resync) {
        self.state.borrow_mut().resync(resync, self.clock.now());
    }

    /// Starts a handover: nothing is granted until all `expected` entry daemons have resynced or
    /// `grace` has elapsed.
    pub fn begin_handover(&self, expected: Vec<Entry>, grace: Duration) {
        let now = self.clock.now();
        self.state.borrow_mut().begin_handover(expected, grace, now);
    }

    /// Removes all submissions and grants of an entry daemon that has failed.
    pub fn forget_entry(&self, vm: &VmId, incarnation: Incarnation) {
        let entry = Entry {
            incarnation,
            vm: vm.clone(),
        };
        let now = self.clock.now();
        self.state.borrow_mut().forget_entry(&entry, now);
    }

    /// Builds the digest of this daemon's load for the other dispatchers of the pool. Samples are
    /// included in one digest only.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.state.borrow_mut().digest(self.clock.now())
    }

    /// Returns `true` if a change since the last digest affects where other daemons send requests.
    #[must_use]
    pub fn has_urgent_changes(&self) -> bool {
        self.state.borrow().has_urgent_changes()
    }

    /// Applies another daemon's digest.
    pub fn apply_digest(&self, from: &VmId, digest: Digest) {
        let now = self.clock.now();
        self.state.borrow_mut().apply_digest(from, digest, now);
    }

    /// Returns the dispatcher's state for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.state.borrow().status(self.clock.now())
    }

    /// Number of granted requests that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.borrow().active_grants.len()
    }

    /// Number of submissions in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Runs the periodic checks of deadlines, handover, peers and target health; never returns.
    pub async fn run(&self) {
        let started = self.clock.now();
        self.state.borrow_mut().observe_running(started);
        loop {
            self.clock.sleep(TICK).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            state.observe_running(now);
            state.check_handover(now);
            state.expire_waiting(now);
            state.expire_grants(now);
            state.expire_peers(now);
            state.check_health(now);
            state.dispatch(now);
        }
    }
}

/// Cancels a submission if its call is dropped.
///
/// Without it, the submission of a caller that has disconnected would still be granted, and would
/// occupy a slot for a request that nobody sends.
struct Guard<'a, C: Clock> {
    submission: SubmissionNumber,
    dispatcher: &'a Dispatcher<C>,
    id: WaiterId,
    request: RequestId,
    rx: Option<futures::channel::oneshot::Receiver<Verdict>>,
}

impl<C: Clock> Drop for Guard<'_, C> {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else {
            return;
        };
        let now = self.dispatcher.clock.now();
        let mut state = self.dispatcher.state.borrow_mut();
        match rx.try_recv() {
            Ok(Some(Verdict::Grant(_))) => state.cancel(&self.request, self.submission, now),
            _ => state.abandon(&self.request, self.id, now),
        }
    }
}
