//! Paths of the specification, taken step by step by the real code, must lead to the same.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use indexmap::IndexSet;
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::archive::Archive;
use lilaccrank::configuration::exchange::{self, Report};
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::configuration::publish::{self, Confirmation, Error};
use lilaccrank::configuration::watcher::{self, Timing};
use lilaccrank::paused_clock::PausedClock;
use quickcheck::{Arbitrary, Gen};

use crate::configuration_bench::{Holder, publication};
use crate::configuration_spec::{Answer, Broken, Config, DAEMONS, OPERATORS, Phase, State, Step};
use crate::configuration_store::{FakeStore, Fault, Objects, run};

const PATHS: u64 = 400;
const PATH_LENGTH: usize = 30;
const SEED: u64 = 5;
/// Longer than any wait between two tries of a publisher.
const TRY_AGAIN: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(3_600);

type Outcome = Rc<RefCell<Option<publish::Result<Identity>>>>;

/// The real code, in the place of the specification's state.
struct Real {
    bases: [Option<Identity>; OPERATORS],
    clock: PausedClock,
    daemons: [Adoption; DAEMONS],
    /// Publishers at work, each with its own executor: when its daemon dies, it stops.
    publishers: [Option<(LocalPool, Outcome)>; OPERATORS],
    snapshots: HashMap<Config, Objects>,
    store: FakeStore,
}

impl Real {
    fn start() -> Self {
        let clock = PausedClock::new();
        let real = Self {
            bases: Default::default(),
            daemons: Default::default(),
            publishers: Default::default(),
            snapshots: HashMap::new(),
            store: FakeStore::new(&clock),
            clock,
        };
        let (store, clock, adoption) = (
            real.store.clone(),
            real.clock.clone(),
            real.daemons[0].clone(),
        );
        run(&real.clock, async move {
            let first = publication("p0", None, &["p0"]);
            let first = publish::publish(&store, &clock, &adoption, &first, LIMIT);
            first.await.unwrap();
        });
        (1..DAEMONS).for_each(|daemon| real.look(daemon));
        real
    }

    fn look(&self, daemon: usize) {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = self.daemons[daemon].clone();
        let timing = Timing {
            heal_spread: Duration::ZERO,
            ..Timing::default()
        };
        run(&self.clock, async move {
            watcher::look(&store, &clock, &adoption, timing)
                .await
                .unwrap();
        });
    }

    fn peer(&self, from: usize) -> Holder {
        Holder {
            holder: self.daemons[from].clone(),
            sent: Rc::default(),
        }
    }

    fn take_over(&self, daemon: usize, from: usize) {
        let (peer, adoption) = (self.peer(from), self.daemons[daemon].clone());
        let clock = self.clock.clone();
        run(&self.clock, async move {
            let taken = exchange::take_from(&peer, &from.to_string(), &adoption, &clock).await;
            taken.unwrap();
        });
    }

    /// With two daemons, the other one is the only peer.
    fn take_newest(&self, host: usize) -> exchange::Result<()> {
        let mut others = (0..DAEMONS).filter(|daemon| *daemon != host);
        let reports = others.clone().map(|daemon| Report {
            held: self.daemons[daemon].identity(),
            vm: daemon.to_string(),
        });
        let reports: Vec<_> = reports.collect();
        let other = others.next_back().unwrap();
        let (peer, adoption) = (self.peer(other), self.daemons[host].clone());
        let clock = self.clock.clone();
        run(&self.clock, async move {
            exchange::take_newest(&peer, &reports, &adoption, &clock).await
        })
    }

    fn write(&mut self, operator: usize, answer: Answer) {
        match answer {
            Answer::LostAfter => self.store.fail_next(Fault::LostAfter),
            Answer::LostBefore => self.store.fail_next(Fault::LostBefore),
            Answer::Prompt => (),
        }
        if self.publishers[operator].is_none() {
            self.publishers[operator] = Some(self.publisher(operator));
        }
        self.clock.advance(TRY_AGAIN);
        let (pool, _) = self.publishers[operator].as_mut().unwrap();
        pool.run_until_stalled();
    }

    fn publisher(&self, operator: usize) -> (LocalPool, Outcome) {
        let id = format!("p{}", operator + 1);
        let publication = publication(&id, self.bases[operator].as_ref(), &[&id]);
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = self.daemons[operator % DAEMONS].clone();
        let outcome = Outcome::default();
        let answer = Rc::clone(&outcome);
        let pool = LocalPool::new();
        let task = async move {
            let published = publish::publish(&store, &clock, &adoption, &publication, LIMIT).await;
            *answer.borrow_mut() = Some(published);
        };
        pool.spawner().spawn_local(task).unwrap();
        (pool, outcome)
    }

    fn confirm(&self, operator: usize) -> Option<Phase> {
        let (_, outcome) = self.publishers[operator].as_ref().unwrap();
        let published = outcome.borrow().clone().unwrap().unwrap();
        let held: Vec<_> = self.daemons.iter().filter_map(Adoption::identity).collect();
        let archive = Archive::new(&self.store, &self.clock, LIMIT);
        let confirmation = run(&self.clock, async move {
            publish::confirm(&archive, &published, &held).await.unwrap()
        });
        match confirmation {
            Confirmation::Displaced { .. } => Some(Phase::Displaced),
            Confirmation::InForce => Some(Phase::Accepted),
            Confirmation::Pending => None,
        }
    }

    fn take(&mut self, step: Step, before: &State, after: &State) {
        match step {
            Step::Base { operator } => {
                self.bases[operator] = self.store.manifest().map(|manifest| manifest.identity);
            }
            Step::Confirm { operator } => {
                assert_eq!(self.confirm(operator), Some(after.operators[operator]));
            }
            Step::Floor { operator } => self.take_newest(operator % DAEMONS).unwrap(),
            Step::Look { daemon } => self.look(daemon),
            Step::Peer { daemon, from } => self.take_over(daemon, from),
            Step::Restart { daemon } => {
                self.daemons[daemon] = Adoption::new();
                let hosted = (0..OPERATORS).filter(|operator| operator % DAEMONS == daemon);
                hosted.for_each(|operator| self.publishers[operator] = None);
            }
            Step::Restore { past } => self.store.restore(&self.snapshots[&before.past[past]]),
            Step::Write { operator, answer } => self.write(operator, answer),
        }
        self.snapshots.insert(after.store, self.store.snapshot());
    }

    fn assert_is(&self, state: &State) {
        let named = |config: Config| Identity {
            generation: config.generation.into(),
            publication: format!("p{}", config.publication),
        };
        let manifest = self.store.manifest().unwrap();
        assert_eq!(manifest.identity, named(state.store));
        for publication in 0..=OPERATORS as u8 {
            let found = manifest.find(&format!("p{publication}")).is_some();
            assert_eq!(found, state.store.contains(publication), "p{publication}");
        }
        for (daemon, held) in self.daemons.iter().zip(state.daemons) {
            assert_eq!(daemon.identity(), held.map(named));
        }
        for (publisher, phase) in self.publishers.iter().zip(state.operators) {
            let Some((_, outcome)) = publisher else {
                continue;
            };
            let outcome = outcome.borrow();
            let agrees = match phase {
                Phase::Based { .. } | Phase::Floored { .. } => outcome.is_none(),
                Phase::Refused => matches!(*outcome, Some(Err(Error::Conflict(_)))),
                Phase::Accepted | Phase::Displaced | Phase::Written { .. } => {
                    matches!(*outcome, Some(Ok(_)))
                }
                Phase::Idle => false,
            };
            assert!(agrees, "{phase:?} and {outcome:?}");
        }
    }
}

/// What the specification can't do now, the real code must refuse as well.
fn assert_waits(real: &Real, state: &State, steps: &[(Step, State)]) {
    let possible = |step: Step| steps.iter().any(|(other, _)| *other == step);
    for (operator, phase) in state.operators.into_iter().enumerate() {
        match phase {
            Phase::Based { .. } if !possible(Step::Floor { operator }) => {
                let taken = real.take_newest(operator % DAEMONS);
                assert!(matches!(taken, Err(exchange::Error::Split(_))));
            }
            Phase::Written { .. } if !possible(Step::Confirm { operator }) => {
                assert_eq!(real.confirm(operator), None);
            }
            _ => (),
        }
    }
}

/// Name of a step's kind, for the count of what was taken.
fn kind(step: Step) -> String {
    match step {
        Step::Write { answer, .. } => format!("{answer:?}"),
        step => {
            let text = format!("{step:?}");
            text.split(' ').next().unwrap().to_owned()
        }
    }
}

#[test]
fn real_code_takes_the_paths_of_the_specification() {
    let mut g = Gen::from_size_and_seed(100, SEED);
    let mut kinds = IndexSet::new();
    let mut phases = IndexSet::new();
    let mut taken = 0;
    for _ in 0..PATHS {
        let (mut state, mut real) = (State::start(), Real::start());
        real.snapshots.insert(state.store, real.store.snapshot());
        for _ in 0..PATH_LENGTH {
            let steps = state.steps(Broken::default());
            assert_waits(&real, &state, &steps);
            if steps.is_empty() {
                break;
            }
            let (step, next) = &steps[usize::arbitrary(&mut g) % steps.len()];
            real.take(*step, &state, next);
            real.assert_is(next);
            kinds.insert(kind(*step));
            phases.extend(next.operators.iter().map(std::mem::discriminant));
            state = next.clone();
            taken += 1;
        }
    }
    println!("{taken} steps of {PATHS} paths, kinds {kinds:?}");
    let all = [
        "Base", "Confirm", "Floor", "Look", "Peer", "Restart", "Restore",
    ];
    let answers = ["LostAfter", "LostBefore", "Prompt"];
    assert!(all.iter().chain(&answers).all(|kind| kinds.contains(*kind)));
    let every_phase = 7;
    assert_eq!(phases.len(), every_phase);
}
