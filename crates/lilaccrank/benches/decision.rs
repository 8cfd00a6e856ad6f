//! Benchmarks one decision: a new submission is admitted and queued, a request ends, the next one
//! is granted.

use std::collections::VecDeque;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use lilaccrank::dispatch::message::{Grant, Outcome, Report, ReportKind, Submission, Verdict};
use lilaccrank::dispatch::{Config, Dispatcher};
use lilaccrank::document::{Pool, Target};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::prompt;

const BLOCK_TOKENS: u32 = 64;
const CUSTOMERS: usize = 100;
const DATA_CENTRE: &str = "portmore";
const DEADLINE: Duration = Duration::from_secs(86_400);
/// Time from grant to end of each request.
const SERVICE_TIME: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;
const TARGET_COUNTS: [usize; 3] = [10, 100, 700];
const TIERS: usize = 4;
const WAITING_COUNTS: [usize; 4] = [10, 100, 1_000, 10_000];

/// A pool whose targets are full and whose queue holds a constant number of submissions.
struct SaturatedPool {
    submissions: FuturesUnordered<LocalBoxFuture<'static, Verdict>>,
    clock: PausedClock,
    dispatcher: Dispatcher<PausedClock>,
    next: usize,
    /// Time between two ends of requests.
    completion_interval: Duration,
    running: VecDeque<Grant>,
}

fn submission(i: usize) -> Submission {
    let customer = i % CUSTOMERS;
    let prompt = [customer as u8; 1024];
    Submission {
        submission: 1,
        customer: format!("customer{customer}"),
        deadline: Some(DEADLINE),
        entry: "vm2".to_owned(),
        entry_incarnation: 1,
        max_tokens: 100,
        prefix: prompt::block_prefix_digests(&prompt, BLOCK_TOKENS as usize),
        prompt_tokens: 1100,
        request: format!("r{i}"),
        tier: (i % TIERS) as u8,
        weight: 1,
        ..Submission::default()
    }
}

impl SaturatedPool {
    fn new(waiting: usize, targets: usize) -> Self {
        let cfg = Config {
            block_tokens: BLOCK_TOKENS,
            data_centre: DATA_CENTRE.to_owned(),
            incarnation: 1,
            lowest_tier: (TIERS - 1) as u8,
            min_hang_timeout: DEADLINE,
            vm: "vm1".to_owned(),
            waiting_limit: 0,
        };
        let target = |i| Target {
            data_centre: DATA_CENTRE.to_owned(),
            id: format!("t{i}"),
            slots: SLOTS,
            ..Target::default()
        };
        let pool = Pool {
            targets: (0..targets).map(target).collect(),
            waiting_limit: 2 * waiting,
            ..Pool::default()
        };
        let clock = PausedClock::new();
        let mut saturated = Self {
            submissions: FuturesUnordered::new(),
            dispatcher: Dispatcher::new(clock.clone(), cfg),
            clock,
            next: 0,
            completion_interval: SERVICE_TIME / (targets as u32 * SLOTS),
            running: VecDeque::new(),
        };
        saturated.dispatcher.set_targets(&pool, DATA_CENTRE);
        while saturated.submissions.len() < waiting {
            saturated.arrive();
        }
        saturated
    }

    fn arrive(&mut self) {
        let (dispatcher, submission) = (self.dispatcher.clone(), submission(self.next));
        self.next += 1;
        let call = async move { dispatcher.submit(submission).await };
        self.submissions.push(call.boxed_local());
        self.collect();
    }

    fn collect(&mut self) {
        while let Some(Some(verdict)) = self.submissions.next().now_or_never() {
            match verdict {
                Verdict::Grant(grant) => self.running.push_back(grant),
                Verdict::Refuse(refuse) => panic!("refused below the queue limit: {refuse:?}"),
            }
        }
    }

    fn decide(&mut self) {
        self.clock.advance(self.completion_interval);
        self.arrive();
        let Some(ended) = self.running.pop_front() else {
            panic!("no request is running");
        };
        self.dispatcher.report(&Report {
            submission: 1,
            kind: ReportKind::Ended {
                decoded: 100,
                outcome: Outcome::Complete,
                prefill: None,
            },
            request: ended.request,
            target: ended.target,
        });
        self.collect();
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    let mut group = criterion.benchmark_group("decision");
    for targets in TARGET_COUNTS {
        for waiting in WAITING_COUNTS {
            let id = BenchmarkId::new(format!("{targets}_targets"), waiting);
            let mut saturated = SaturatedPool::new(waiting, targets);
            group.bench_function(id, |b| b.iter(|| saturated.decide()));
        }
    }
    group.finish();
    criterion.final_summary();
}
