//! Policy under test: a dispatcher in each daemon, which exchange digests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use indexmap::IndexMap;
use lilaccrank::clock::Clock;
use lilaccrank::dispatch::message::{
    Outcome, PartialAnswer, Report, ReportKind, Submission, Verdict,
};
use lilaccrank::dispatch::{Config, Dispatcher};
use lilaccrank::document::{Pool, Target};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::stream_progress::{self, StreamProgress};
use lilaccrank::target_instance::TargetInstance;

use super::{Decision, Engine, Load, Policy, Progress, Request, TICK};

/// Time between two digests of a daemon, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 10;

/// Suffix of the request id that marks the submission for a migration, unlike the first submission
/// of the request.
const MIGRATION_SUFFIX: &str = "+";

/// An answer that is being generated.
struct Running {
    progress: StreamProgress,
    engine: usize,
    checked_at: Instant,
    migration: Migration,
    request: Request,
    tokens: u32,
}

/// State of an answer's migration to another engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Migration {
    Requested,
    Done,
    NotRequested,
}

/// The dispatchers of all daemons.
pub struct DispatcherPolicy {
    clock: PausedClock,
    daemons: Vec<Dispatcher<PausedClock>>,
    ended: IndexMap<usize, Request>,
    executor: LocalPool,
    load: Load,
    running: IndexMap<usize, Running>,
    /// Whether the daemons exchange digests.
    shares_digests: bool,
    spawner: LocalSpawner,
    verdicts: Rc<RefCell<Vec<Verdict>>>,
}

impl DispatcherPolicy {
    /// Creates and starts a dispatcher for each daemon of the load's pool.
    pub fn new(load: &Load, shares_digests: bool) -> Self {
        let clock = PausedClock::new();
        let targets = (0..load.engines).map(|number| Target {
            id: number.to_string(),
            slots: load.engine.slots as u32,
            ..Target::default()
        });
        let pool = Pool {
            targets: targets.collect(),
            waiting_limit: 500,
            ..Pool::default()
        };
        let daemons = (0..load.daemons).map(|number| {
            let cfg = Config {
                block_tokens: 64,
                data_centre: String::new(),
                incarnation: 1,
                lowest_tier: 2,
                min_hang_timeout: Duration::from_millis(500),
                vm: format!("vm{number}"),
                waiting_limit: 500,
            };
            let dispatcher = Dispatcher::new(clock.clone(), cfg);
            dispatcher.set_targets(&pool, "");
            dispatcher
        });
        let daemons: Vec<_> = daemons.collect();
        let executor = LocalPool::new();
        let spawner = executor.spawner();
        for dispatcher in &daemons {
            let dispatcher = dispatcher.clone();
            let run = async move { dispatcher.run().await };
            spawner.spawn_local(run).unwrap();
        }
        Self {
            clock,
            daemons,
            ended: IndexMap::new(),
            executor,
            load: load.clone(),
            running: IndexMap::new(),
            shares_digests,
            spawner,
            verdicts: Rc::default(),
        }
    }

    /// Delivers each daemon's digest to all others.
    fn exchange_digests(&self) {
        for (from, dispatcher) in self.daemons.iter().enumerate() {
            let digest = dispatcher.digest();
            for (to, other) in self.daemons.iter().enumerate() {
                if from != to {
                    other.apply_digest(&format!("vm{from}"), digest.clone());
                }
            }
        }
    }
}

impl DispatcherPolicy {
    fn submission(&self, request: &Request, now: u64) -> Submission {
        let time_left = |ms: u64| Duration::from_millis((request.arrived + ms).saturating_sub(now));
        Submission {
            submission: 1,
            customer: "depot".to_owned(),
            deadline: Some(time_left(request.kind.deadline_ms())),
            entry: format!("vm{}", request.daemon),
            entry_incarnation: 1,
            max_tokens: self.load.token_limit(request),
            objective: Some(time_left(request.kind.objective_ms())),
            prompt_tokens: request.prompt,
            request: request.id.to_string(),
            tier: request.kind.tier(),
            weight: 1,
            ..Submission::default()
        }
    }

    fn send(&self, daemon: usize, submission: Submission) {
        let dispatcher = self.daemons[daemon].clone();
        let verdicts = Rc::clone(&self.verdicts);
        let call = async move {
            let verdict = dispatcher.submit(submission).await;
            verdicts.borrow_mut().push(verdict);
        };
        self.spawner.spawn_local(call).unwrap();
    }

    /// Asks for another engine for each answer that is projected to miss its deadline.
    fn request_migrations(&mut self, now: u64) {
        let at = self.clock.now();
        let mut submissions = Vec::new();
        for running in self.running.values_mut() {
            let is_due = at >= running.checked_at + stream_progress::CHECK_INTERVAL;
            if running.migration != Migration::NotRequested || !is_due {
                continue;
            }
            running.checked_at = at;
            let Some(remaining) = running.progress.remaining_time_if_late(at) else {
                continue;
            };
            running.migration = Migration::Requested;
            let partial = PartialAnswer {
                remaining: Some(remaining),
                tokens: running.tokens,
            };
            submissions.push((running.request.clone(), running.engine, partial));
        }
        for (request, engine, partial) in submissions {
            let submission = Submission {
                partial: Some(partial),
                exclusions: vec![TargetInstance::from(&*engine.to_string())],
                request: format!("{}{MIGRATION_SUFFIX}", request.id),
                ..self.submission(&request, now)
            };
            self.send(request.daemon, submission);
        }
    }

    fn report(&self, request: &Request, submission_id: String, engine: usize, kind: ReportKind) {
        self.daemons[request.daemon].report(&Report {
            submission: 1,
            kind,
            request: submission_id,
            target: TargetInstance::from(&*engine.to_string()),
        });
    }

    fn decision(&mut self, verdict: Verdict) -> Option<Decision> {
        match verdict {
            Verdict::Grant(grant) => {
                let engine = grant.target.id.parse().unwrap();
                match grant.request.strip_suffix(MIGRATION_SUFFIX) {
                    None => Some(Decision::Send(grant.request.parse().unwrap(), engine)),
                    Some(id) => self.migrate(id.parse().unwrap(), engine),
                }
            }
            Verdict::Refuse(refuse) => match refuse.request.strip_suffix(MIGRATION_SUFFIX) {
                None => {
                    let after = refuse.retry_after.unwrap_or_default();
                    let id = refuse.request.parse().unwrap();
                    Some(Decision::Refuse(id, after.as_millis() as u64))
                }
                Some(id) => {
                    let running = self.running.get_mut(&id.parse::<usize>().unwrap());
                    if let Some(running) = running {
                        running.migration = Migration::NotRequested;
                    }
                    None
                }
            },
        }
    }

    /// Migrates an answer, or releases the granted slot if the answer has ended meanwhile.
    fn migrate(&mut self, id: usize, engine: usize) -> Option<Decision> {
        let Some(running) = self.running.get_mut(&id) else {
            let request = &self.ended[&id];
            let kind = ReportKind::Ended {
                decoded: 0,
                outcome: Outcome::Unused,
                prefill: None,
            };
            self.report(request, format!("{id}{MIGRATION_SUFFIX}"), engine, kind);
            return None;
        };
        running.migration = Migration::Done;
        let from = std::mem::replace(&mut running.engine, engine);
        let (request, decoded) = (running.request.clone(), running.tokens);
        let kind = ReportKind::Ended {
            decoded,
            outcome: Outcome::Cancelled,
            prefill: None,
        };
        self.report(&request, id.to_string(), from, kind);
        Some(Decision::Move(id, engine))
    }
}

impl Policy for DispatcherPolicy {
    fn arrive(&mut self, request: &Request, now: u64) {
        self.send(request.daemon, self.submission(request, now));
    }

    fn decide(&mut self, _: &[Engine], now: u64) -> Vec<Decision> {
        self.clock.advance(TICK);
        if self.shares_digests && now.is_multiple_of(DIGEST_INTERVAL_MS) {
            self.exchange_digests();
        }
        self.request_migrations(now);
        self.executor.run_until_stalled();
        let verdicts = self.verdicts.take().into_iter();
        let decisions = verdicts.filter_map(|verdict| self.decision(verdict));
        decisions.collect()
    }

    fn progress(&mut self, request: &Request, engine: usize, progress: Progress, now: u64) {
        let at = self.clock.now();
        let running = self.running.entry(request.id).or_insert_with(|| Running {
            progress: StreamProgress::new(
                0,
                Some(at + Duration::from_millis(request.time_left(now))),
            ),
            engine,
            checked_at: at,
            migration: Migration::NotRequested,
            request: request.clone(),
            tokens: 0,
        });
        let submission_id = match running.migration {
            Migration::Done => format!("{}{MIGRATION_SUFFIX}", request.id),
            Migration::Requested | Migration::NotRequested => request.id.to_string(),
        };
        let mut received = |tokens: u32| {
            running.tokens += tokens;
            running.progress.record_tokens(tokens, at);
        };
        let kind = match progress {
            Progress::TimedOut(decoded) => ReportKind::Ended {
                decoded,
                outcome: Outcome::Cancelled,
                prefill: None,
            },
            Progress::Ended => ReportKind::Ended {
                decoded: request.output,
                outcome: Outcome::Complete,
                prefill: None,
            },
            Progress::First => {
                received(1);
                ReportKind::FirstToken {
                    after: Duration::from_millis(now - request.arrived),
                }
            }
            Progress::Tokens(tokens, token_interval) => {
                received(tokens);
                ReportKind::Progress {
                    step: Duration::from_secs_f64(token_interval / 1_000.0),
                    tokens,
                }
            }
        };
        if matches!(kind, ReportKind::Ended { .. }) {
            self.running.swap_remove(&request.id);
            self.ended.insert(request.id, request.clone());
        }
        self.report(request, submission_id, engine, kind);
    }
}
