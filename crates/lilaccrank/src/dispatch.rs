//! The dispatcher of a pool in one data centre: one queue, and the slots of its targets.
//!
//! Entry daemons own their requests and ask for a target; bodies never pass through here. One
//! queue per pool is what makes it decidable that no higher tier is shed while lower-tier work
//! is kept. All state is soft and is told anew by the entries after a change of dispatcher.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::document::Pool;
use crate::error_kind::ErrorKind;
use crate::ids::{DataCentre, Incarnation, RequestId, Tier, VmId};
use crate::target_instance::{InstanceDigest, TargetInstance};

mod admission;
pub mod affinity;
pub mod choice;
mod deadline;
mod delay;
pub mod estimate;
mod fair;
mod grants;
pub mod health;
pub mod limits;
pub mod message;
mod overload;
mod patience;
mod pending;
pub mod queue;
pub mod rate_limit;
mod recovery;
mod reports;
pub mod reservation;
pub mod sharing;
pub mod shedding;
mod state;
pub mod status;
pub mod steps;
pub mod target;
mod tiers;
mod waits;
pub mod work;

use admission::Admission;
use message::Verdict;
use message::{Ask, AskNumber, CacheEvent, Cancel, Entry, LoadReport, Refuse, Report, Resync};
use rate_limit::Share;
use sharing::Digest;
use state::{State, WaiterId};
use status::Status;

/// Time between checks of deadlines and of silent targets.
const TICK: Duration = Duration::from_millis(50);

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Config {
    /// Tokens in one block of the prefix digests.
    pub block_tokens: u32,
    /// Where this daemon runs; targets elsewhere are far.
    pub data_centre: DataCentre,
    /// Life of this daemon.
    pub incarnation: Incarnation,
    /// The last tier of the configuration, the only one shed during a handover.
    pub lowest_tier: Tier,
    /// Shortest silence of a target with running requests that counts as a hang. Model engines
    /// produce tokens all the time, a plain service is silent while it works.
    pub silence_floor: Duration,
    /// This daemon.
    pub vm: VmId,
    /// Most asks that wait; [`Dispatcher::set_targets`] sets it from the pool.
    pub waiting_limit: usize,
}

/// The dispatcher of one pool; clones are handles to the same one.
#[derive(Clone)]
pub struct Dispatcher<C: Clock> {
    clock: C,
    state: Rc<RefCell<State>>,
}

impl<C: Clock> Dispatcher<C> {
    /// A dispatcher without targets, which refuses everything until it has some.
    #[must_use]
    pub fn new(clock: C, cfg: Config) -> Self {
        let state = State::new(cfg, clock.now());
        Self {
            clock,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Waits for a verdict. Dropping the future takes the ask back. A repeated ask with a higher
    /// number replaces the earlier one; one with the same number gets the same verdict.
    pub async fn ask(&self, ask: Ask) -> Verdict {
        let (request, number) = (ask.request.clone(), ask.ask);
        let admission = self.state.borrow_mut().ask(ask, self.clock.now());
        let (id, rx) = match admission {
            Admission::Decided(verdict) => return verdict,
            Admission::Waits(id, rx) => (id, rx),
        };
        let mut guard = Guard {
            ask: number,
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
                ask: number,
                kind: ErrorKind::Cancelled,
                request: guard.request.clone(),
                retry_after: None,
                unmeetable: None,
            })
        })
    }

    /// Takes back an ask or the grant that it got.
    pub fn cancel(&self, cancel: &Cancel) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.cancel(&cancel.request, cancel.ask, now);
    }

    /// Takes in what an entry saw of a granted request.
    pub fn report(&self, report: &Report) {
        self.state.borrow_mut().report(report, self.clock.now());
    }

    /// Takes over the pool's targets in this data centre. A target that drains or is gone gets
    /// nothing from this call on.
    pub fn set_targets(&self, pool: &Pool, data_centre: &str) {
        self.set_targets_where(pool, |other| other == data_centre);
    }

    /// Like [`set_targets`](Self::set_targets), for all data centres that are `near`.
    pub fn set_targets_where(&self, pool: &Pool, near: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.state.borrow_mut().set_targets(pool, near, now);
    }

    /// Sets the cell's shares of the rates that targets advertise; all other targets have no limit.
    pub fn set_rate_limits(&self, shares: &IndexMap<InstanceDigest, Share>) {
        let now = self.clock.now();
        self.state.borrow_mut().set_rate_limits(shares, now);
    }

    /// Takes in a target's own report of its load.
    pub fn load_report(&self, target: &TargetInstance, report: LoadReport) {
        let now = self.clock.now();
        self.state.borrow_mut().load_report(target, report, now);
    }

    /// Takes in a batch of cache events; `sequence` numbers the batches of one target.
    pub fn cache_events(&self, target: &TargetInstance, sequence: u64, events: &[CacheEvent]) {
        let mut state = self.state.borrow_mut();
        state.cache_events(target, sequence, events);
    }

    /// Takes in all that one entry has with this pool.
    pub fn resync(&self, resync: Resync) {
        self.state.borrow_mut().resync(resync, self.clock.now());
    }

    /// Starts as a new dispatcher: nothing is granted until all `expected` entries have resynced
    /// or `grace` is over.
    pub fn begin_handover(&self, expected: Vec<Entry>, grace: Duration) {
        let now = self.clock.now();
        self.state.borrow_mut().begin_handover(expected, grace, now);
    }

    /// Drops all that a dead entry had.
    pub fn forget_entry(&self, vm: &VmId, incarnation: Incarnation) {
        let entry = Entry {
            incarnation,
            vm: vm.clone(),
        };
        let now = self.clock.now();
        self.state.borrow_mut().forget_entry(&entry, now);
    }

    /// What the daemons that dispatch the same pool are to know of what this one has on the targets.
    /// What was seen of targets is told once.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.state.borrow_mut().digest(self.clock.now())
    }

    /// Whether something has changed since the last digest that decides where others send.
    #[must_use]
    pub fn is_news_urgent(&self) -> bool {
        self.state.borrow().is_news_urgent()
    }

    /// Takes in what another daemon has on the targets.
    pub fn take_digest(&self, from: &VmId, digest: Digest) {
        let now = self.clock.now();
        self.state.borrow_mut().take_digest(from, digest, now);
    }

    /// State for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        self.state.borrow().status(self.clock.now())
    }

    /// Asks without a verdict.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.borrow().queue.len()
    }

    /// Checks deadlines, handover and silent targets, for ever.
    pub async fn run(&self) {
        loop {
            self.clock.sleep(TICK).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            state.check_handover(now);
            state.expire(now);
            state.lapse(now);
            state.forget_silent_peers(now);
            state.check_health(now);
            state.dispatch(now);
        }
    }
}

/// Takes an ask back if its call ends early.
///
/// A caller that goes away drops the call; without the guard its ask would still be granted, and
/// a slot would stay taken by a request that nobody sends.
struct Guard<'a, C: Clock> {
    ask: AskNumber,
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
            Ok(Some(Verdict::Grant(_))) => state.cancel(&self.request, self.ask, now),
            _ => state.abandon(&self.request, self.id, now),
        }
    }
}
