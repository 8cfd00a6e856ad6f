//! Callers of a soak: each sends one request after another, and repeats what it may.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank_http::runtime;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::{self, Call, Outcome};
use crate::layout::{Layout, MODEL, TIERS};

use super::world::{DAEMONS, World};

/// Callers at a time: three engines of eight slots are about half full.
const CALLERS: u64 = 16;
/// Tries of one request, each at another daemon.
const TRIES: usize = 3;
/// Time for one try.
const TRY_LIMIT: Duration = Duration::from_secs(8);
/// Shortest and longest answer in tokens of six milliseconds.
const TOKENS: (usize, usize) = (5, 250);

/// One try of a request, and what came of it.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) began: Instant,
    pub(super) daemon: usize,
    pub(super) ended: Instant,
    pub(super) key: String,
    /// Whether it may run once at most, whatever dies.
    pub(super) once: bool,
    pub(super) outcome: Outcome,
}

/// The callers and what they saw.
pub(super) struct Load {
    stopped: Cell<bool>,
    pub(super) tries: RefCell<Vec<Try>>,
}

impl Load {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            stopped: Cell::default(),
            tries: RefCell::default(),
        })
    }

    /// No caller begins another request.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Sends until the load is stopped; completes once all answers are there.
    pub(super) async fn run(self: &Rc<Self>, world: &Rc<World>, seed: u64) {
        let callers = (0..CALLERS).map(|number| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(number);
            let (load, world) = (Rc::clone(self), Rc::clone(world));
            runtime::spawn(async move { load.caller(&world, number, seed).await })
        });
        futures::future::join_all(callers).await;
    }

    async fn caller(&self, world: &World, number: u64, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sent = 0;
        while !self.stopped.get() {
            sent += 1;
            let call = draw(&mut rng, &format!("{number}-{sent}"));
            self.send(world, &mut rng, call).await;
            let pause = Duration::from_millis(rng.random_range(0..300));
            monoio::time::sleep(pause).await;
        }
    }

    /// Sends one request, and again while its caller is told nothing final.
    async fn send(&self, world: &World, rng: &mut StdRng, call: Call) {
        let first = rng.random_range(0..DAEMONS);
        for turn in 0..TRIES {
            let tried = attempt(world, (first + turn) % DAEMONS, &call).await;
            let repeats = match &tried.outcome {
                Outcome::Whole { .. } | Outcome::Foreign(_) => false,
                Outcome::Refused { ran, .. } => ran == "no",
                Outcome::Broken(_) | Outcome::Lost(_) => true,
            };
            self.tries.borrow_mut().push(tried);
            if !repeats {
                return;
            }
            let pause = Duration::from_millis(rng.random_range(50..500));
            monoio::time::sleep(pause).await;
        }
    }
}

/// Sends a request once.
pub(super) async fn attempt(world: &World, daemon: usize, call: &Call) -> Try {
    let address = world.daemons.borrow()[daemon].callers.to_string();
    let began = Instant::now();
    let calling = caller::call(&world.cluster.client, &address, call);
    let outcome = monoio::time::timeout(TRY_LIMIT, calling).await;
    Try {
        began,
        daemon,
        ended: Instant::now(),
        key: call.key.clone().unwrap_or_default(),
        once: call.once,
        outcome: outcome.unwrap_or_else(|_| Outcome::Lost("no answer in time".to_owned())),
    }
}

/// A request with a key of its own.
pub(super) fn draw(rng: &mut StdRng, name: &str) -> Call {
    Call {
        bearer: Layout::customer_key("hospital"),
        keep: rng.random_bool(0.5),
        key: Some(format!("soak-{name}")),
        max_tokens: rng.random_range(TOKENS.0..TOKENS.1),
        model: MODEL.to_owned(),
        once: rng.random_bool(0.3),
        prompt: format!("{name} {}", "report ".repeat(rng.random_range(1..400))),
        stream: rng.random_bool(0.7),
        tier: Some(TIERS[rng.random_range(0..TIERS.len())].to_owned()),
        ..Call::default()
    }
}
