//! The product's own way: a dispatcher in each daemon, which tell each other what they have.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::executor::{LocalPool, LocalSpawner};
use futures::task::LocalSpawnExt;
use lilaccrank::dispatch::message::{Ask, Outcome, Report, ReportKind, Verdict};
use lilaccrank::dispatch::{Config, Dispatcher};
use lilaccrank::document::{Pool, Target};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::target_life::TargetLife;

use super::engine::SLOTS;
use super::{Decision, Engine, Load, Policy, Progress, Request, TICK};

/// Milliseconds between two digests of a daemon.
const TOLD_EVERY: u64 = 10;

/// The dispatchers of all daemons.
pub struct Placed {
    clock: PausedClock,
    daemons: Vec<Dispatcher<PausedClock>>,
    executor: LocalPool,
    load: Load,
    /// Whether they tell each other what they have.
    shared: bool,
    spawner: LocalSpawner,
    verdicts: Rc<RefCell<Vec<Verdict>>>,
}

impl Placed {
    pub fn new(load: &Load, shared: bool) -> Self {
        let clock = PausedClock::new();
        let targets = (0..load.engines).map(|number| Target {
            id: number.to_string(),
            slots: SLOTS as u32,
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
                silence_floor: Duration::from_millis(500),
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
            executor,
            load: load.clone(),
            shared,
            spawner,
            verdicts: Rc::default(),
        }
    }

    fn tell(&self) {
        for (from, dispatcher) in self.daemons.iter().enumerate() {
            let digest = dispatcher.digest();
            for (to, other) in self.daemons.iter().enumerate() {
                if from != to {
                    other.take_digest(&format!("vm{from}"), digest.clone());
                }
            }
        }
    }
}

impl Policy for Placed {
    fn arrive(&mut self, request: &Request, now: u64) {
        let left = |ms: u64| Duration::from_millis((request.arrived + ms).saturating_sub(now));
        let ask = Ask {
            ask: 1,
            customer: "depot".to_owned(),
            deadline: Some(left(request.kind.deadline_ms())),
            entry: format!("vm{}", request.daemon),
            entry_incarnation: 1,
            max_tokens: self.load.most_tokens(request),
            objective: Some(left(request.kind.objective_ms())),
            prompt_tokens: request.prompt,
            request: request.id.to_string(),
            tier: request.kind as u8,
            weight: 1,
            ..Ask::default()
        };
        let dispatcher = self.daemons[request.daemon].clone();
        let verdicts = Rc::clone(&self.verdicts);
        let call = async move {
            let verdict = dispatcher.ask(ask).await;
            verdicts.borrow_mut().push(verdict);
        };
        self.spawner.spawn_local(call).unwrap();
    }

    fn decide(&mut self, _: &[Engine], now: u64) -> Vec<Decision> {
        self.clock.advance(TICK);
        if self.shared && now.is_multiple_of(TOLD_EVERY) {
            self.tell();
        }
        self.executor.run_until_stalled();
        let verdicts = self.verdicts.take().into_iter();
        let decisions = verdicts.map(|verdict| match verdict {
            Verdict::Grant(grant) => Decision::Send(
                grant.request.parse().unwrap(),
                grant.target.id.parse().unwrap(),
            ),
            Verdict::Refuse(refuse) => {
                let after = refuse.retry_after.unwrap_or_default();
                Decision::Refuse(refuse.request.parse().unwrap(), after.as_millis() as u64)
            }
        });
        decisions.collect()
    }

    fn progress(&mut self, request: &Request, engine: usize, progress: Progress, now: u64) {
        let kind = match progress {
            Progress::Cut(decoded) => ReportKind::Ended {
                decoded,
                outcome: Outcome::Cancelled,
                prefill: None,
            },
            Progress::Ended => ReportKind::Ended {
                decoded: request.output,
                outcome: Outcome::Complete,
                prefill: None,
            },
            Progress::First => ReportKind::FirstToken {
                after: Duration::from_millis(now - request.arrived),
            },
            Progress::More(tokens, each) => ReportKind::Progress {
                step: Duration::from_secs_f64(each / 1_000.0),
                tokens,
            },
        };
        self.daemons[request.daemon].report(&Report {
            ask: 1,
            kind,
            request: request.id.to_string(),
            target: TargetLife::from(&*engine.to_string()),
        });
    }
}
