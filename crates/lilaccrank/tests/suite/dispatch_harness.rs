//! Runs one dispatcher on a paused clock and collects its verdicts in the order they arrive.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::executor::{LocalPool, LocalSpawner};
use futures::future::RemoteHandle;
use futures::task::LocalSpawnExt;
use lilaccrank::dispatch::message::{LoadReport, Outcome, Report, ReportKind, Submission, Verdict};
use lilaccrank::dispatch::{Config, Dispatcher};
use lilaccrank::document::{Pool, Target, TargetState};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::target_instance::TargetInstance;

/// Data centre of the dispatcher and of its targets.
pub const DATA_CENTRE: &str = "portmore";
/// Least urgent tier; 0 is the most urgent one.
pub const LOWEST_TIER: u8 = 3;
/// Step in which [`Harness::advance`] moves the clock, so that timers fire close to their time.
const CLOCK_STEP: Duration = Duration::from_millis(50);

/// A running dispatcher, the calls made to it and their verdicts.
pub struct Harness {
    /// Clock of the dispatcher.
    pub clock: PausedClock,
    /// Dispatcher under test.
    pub dispatcher: Dispatcher<PausedClock>,
    /// Pool document with the dispatcher's targets.
    pub pool: Pool,
    executor: LocalPool,
    spawner: LocalSpawner,
    verdicts: Rc<RefCell<Vec<Verdict>>>,
}

impl Harness {
    /// Creates a dispatcher on VM `vm1` with targets `t0`, `t1` and so on, one for each slot count.
    pub fn new(slots: &[u32], waiting_limit: usize, min_hang_timeout: Duration) -> Self {
        Self::for_vm("vm1", slots, waiting_limit, min_hang_timeout)
    }

    /// Like [`Self::new`], but on the given VM.
    pub fn for_vm(
        vm: &str,
        slots: &[u32],
        waiting_limit: usize,
        min_hang_timeout: Duration,
    ) -> Self {
        let clock = PausedClock::new();
        let cfg = Config {
            block_tokens: 64,
            data_centre: DATA_CENTRE.to_owned(),
            incarnation: 1,
            lowest_tier: LOWEST_TIER,
            min_hang_timeout,
            vm: vm.to_owned(),
            waiting_limit,
        };
        let targets = slots.iter().enumerate().map(|(i, slots)| Target {
            data_centre: DATA_CENTRE.to_owned(),
            id: format!("t{i}"),
            slots: *slots,
            ..Target::default()
        });
        let pool = Pool {
            targets: targets.collect(),
            waiting_limit,
            ..Pool::default()
        };
        let executor = LocalPool::new();
        let harness = Self {
            dispatcher: Dispatcher::new(clock.clone(), cfg),
            clock,
            pool,
            spawner: executor.spawner(),
            executor,
            verdicts: Rc::default(),
        };
        harness.dispatcher.set_targets(&harness.pool, DATA_CENTRE);
        harness.prove_targets();
        let dispatcher = harness.dispatcher.clone();
        let run = async move { dispatcher.run().await };
        harness.spawner.spawn_local(run).unwrap();
        harness
    }

    /// Has each target give a sign of life. Those that have given none get few requests at a time.
    pub fn prove_targets(&self) {
        let report = LoadReport {
            running: 0,
            waiting: 0,
        };
        for target in &self.pool.targets {
            let target = TargetInstance::of(target);
            self.dispatcher.load_report(&target, report);
        }
    }

    /// Starts a call that is cancelled when the handle is dropped.
    pub fn call(&mut self, submission: Submission) -> RemoteHandle<()> {
        let dispatcher = self.dispatcher.clone();
        let verdicts = Rc::clone(&self.verdicts);
        let call = async move {
            let verdict = dispatcher.submit(submission).await;
            verdicts.borrow_mut().push(verdict);
        };
        let handle = self.spawner.spawn_local_with_handle(call).unwrap();
        self.executor.run_until_stalled();
        handle
    }

    /// Starts a call that runs until its verdict.
    pub fn submit(&mut self, submission: Submission) {
        self.call(submission).forget();
    }

    /// Advances the clock and runs the timers that fire meanwhile.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.clock.elapsed() + duration;
        while self.clock.elapsed() < until {
            self.clock
                .advance(CLOCK_STEP.min(until - self.clock.elapsed()));
            self.executor.run_until_stalled();
        }
    }

    /// Lets the time pass while nothing of the daemon runs.
    pub fn pause(&mut self, duration: Duration) {
        self.clock.advance(duration);
        self.executor.run_until_stalled();
    }

    /// Returns and clears the verdicts collected so far.
    pub fn verdicts(&mut self) -> Vec<Verdict> {
        self.executor.run_until_stalled();
        self.verdicts.take()
    }

    /// Returns request and target of each collected grant; clears all verdicts.
    pub fn grants(&mut self) -> Vec<(String, String)> {
        let verdicts = self.verdicts().into_iter();
        let grants = verdicts.filter_map(|verdict| match verdict {
            Verdict::Grant(grant) => Some((grant.request, grant.target.id)),
            Verdict::Refuse(_) => None,
        });
        grants.collect()
    }

    /// Returns request and reason of each collected refusal; clears all verdicts.
    pub fn refusals(&mut self) -> Vec<(String, ErrorKind)> {
        let verdicts = self.verdicts().into_iter();
        let refusals = verdicts.filter_map(|verdict| match verdict {
            Verdict::Grant(_) => None,
            Verdict::Refuse(refuse) => Some((refuse.request, refuse.kind)),
        });
        refusals.collect()
    }

    /// Reports an event at a target for the first submission of a request.
    pub fn report(&mut self, request: &str, target: &str, kind: ReportKind) {
        self.dispatcher.report(&Report {
            submission: 1,
            kind,
            request: request.to_owned(),
            target: TargetInstance::from(target),
        });
    }

    /// Reports that a request ended with a complete answer.
    pub fn end(&mut self, request: &str, target: &str) {
        let kind = ReportKind::Ended {
            decoded: 50,
            outcome: Outcome::Complete,
            prefill: None,
        };
        self.report(request, target, kind);
    }

    /// Reports `times` decode steps of `step_ms` milliseconds each.
    pub fn report_steps(&mut self, request: &str, target: &str, step_ms: u64, times: u32) {
        for _ in 0..times {
            let step = Duration::from_millis(step_ms);
            self.report(request, target, ReportKind::Progress { step, tokens: 1 });
        }
    }

    /// Changes the state of a target in the pool document.
    pub fn set_state(&mut self, target: usize, state: TargetState) {
        self.pool.targets[target].state = state;
        self.dispatcher.set_targets(&self.pool, DATA_CENTRE);
    }
}

/// Returns a submission for a request with a short prompt.
pub fn submission(request: &str, tier: u8) -> Submission {
    Submission {
        submission: 1,
        customer: "hotel".to_owned(),
        entry: "vm2".to_owned(),
        entry_incarnation: 1,
        has_unique_number: true,
        max_tokens: 100,
        prompt_tokens: 100,
        request: request.to_owned(),
        tier,
        weight: 1,
        ..Submission::default()
    }
}
