//! Orders to targets under a lease: drain, load a model, change role.
//!
//! A target that checks the fencing number refuses a late order of an earlier holder by itself.
//! For one that ignores it, the first order under a new number waits until no earlier holder
//! can start an order any more, and until all that it started have arrived. An order names the
//! state wanted and has an id, so that sending it again is harmless.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use futures::lock::Mutex;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::{self, Clock};
use crate::document::Fencing;
use crate::ids::{ModelId, TargetId};
use crate::lease::{self, Fence, Guard, Guards};

/// Result of giving an order.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an order was not carried out, as far as known.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// This daemon may not give orders; nothing was sent.
    #[error(transparent)]
    Lease(#[from] lease::Error),
    /// The target has seen a higher number: another holds the lease.
    #[error("target {target} refused number {fence}")]
    Superseded {
        /// Number that was sent.
        fence: Fence,
        /// Who refused it.
        target: TargetId,
    },
    /// The target can't carry it out.
    #[error("target {target} refused the order: {reason}")]
    Refused {
        /// Its words.
        reason: String,
        /// Who refused.
        target: TargetId,
    },
    /// No answer came; the order may be carried out. Give it again.
    #[error("target {0} did not answer, the order may be carried out")]
    Unknown(TargetId),
    /// No connection could be made; nothing was sent.
    #[error("target {0} can't be reached, nothing was sent")]
    Unreachable(TargetId),
}

/// State that a target is to reach.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Command {
    /// Finish what runs and take nothing new.
    #[display("drain")]
    Drain,
    /// Have this model ready.
    #[display("load {model}")]
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Take new work again after a drain.
    #[display("resume")]
    Resume,
    /// Serve in this role.
    #[display("be {role}")]
    SetRole {
        /// The role.
        role: Role,
    },
}

/// What part of the work an engine does.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[display("both")]
    Both,
    /// Decode only.
    #[display("decode")]
    Decode,
    /// Prefill only.
    #[display("prefill")]
    Prefill,
}

/// One order as sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// State to reach.
    pub command: Command,
    /// Number of the lease.
    pub fence: Fence,
    /// Equal for each repetition of one order.
    pub id: String,
}

/// Where an order goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderTarget {
    /// Whether it checks the number.
    pub fencing: Fencing,
    /// Its name.
    pub id: TargetId,
}

/// The port to the targets' control side.
pub trait Targets {
    /// Sends an order once. The future may be dropped when its time is up: the adapter must
    /// then send nothing more, and give up each connection on which it has begun to.
    fn issue(&self, target: &TargetId, order: &Order) -> impl Future<Output = Result<()>>;
}

/// Times of orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Longest time from the start of an order until it can no longer reach its target.
    pub in_flight: Duration,
    /// Longest wait for the answer; no longer than `in_flight`.
    pub timeout: Duration,
    /// Times an order is sent while no answer comes.
    pub max_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            in_flight: Duration::from_secs(5),
            timeout: Duration::from_secs(3),
            max_attempts: 2,
        }
    }
}

/// Gives orders as long as a lease allows, one at a time to each target.
pub struct Orders<C, G, T> {
    cfg: Settings,
    clock: C,
    guards: G,
    target_locks: RefCell<IndexMap<TargetId, Rc<TargetLock>>>,
    targets: T,
}

/// The way to one target.
///
/// Two orders of one holder carry the same number, so no target can tell which is the later. If
/// the second went out while the first may still arrive, the target could end in the state of
/// the first. So an order without an answer keeps the way closed until it can't arrive any more.
#[derive(Default)]
struct TargetLock {
    blocked_until: Mutex<Option<Instant>>,
}

impl<C: Clock, G: Guards, T: Targets> Orders<C, G, T> {
    /// Gives orders to `targets` under `guards`.
    pub fn new(cfg: Settings, clock: C, guards: G, targets: T) -> Self {
        Self {
            cfg,
            clock,
            guards,
            target_locks: RefCell::default(),
            targets,
        }
    }

    /// Gives one order. `id` names it for all its repetitions.
    pub async fn issue(&self, target: &OrderTarget, id: &str, command: Command) -> Result<()> {
        let target_lock = self.target_lock(&target.id);
        let mut blocked_until = target_lock.blocked_until.lock().await;
        self.wait_until_unblocked(&mut blocked_until).await;
        if target.fencing == Fencing::Ignored {
            self.wait_for_previous_holder().await?;
        }
        let order = Order {
            command,
            fence: self.guards.guard()?.fence,
            id: id.to_owned(),
        };
        let mut attempts = 0;
        loop {
            let outcome = self.send(&target.id, &order, &mut blocked_until).await;
            attempts += 1;
            match outcome {
                Err(Error::Unknown(_)) if attempts < self.cfg.max_attempts => {}
                // An earlier try may have arrived, whatever became of this one.
                Err(_) if attempts > 1 => return Err(Error::Unknown(target.id.clone())),
                outcome => return outcome,
            }
            self.wait_until_unblocked(&mut blocked_until).await;
            // The lease may have been with another meanwhile, who gave another order. Sent again
            // under a new number, this one would undo it.
            let guard = self.guards.guard();
            if !guard.is_ok_and(|guard| guard.fence == order.fence) {
                return Err(Error::Unknown(target.id.clone()));
            }
        }
    }

    async fn send(
        &self,
        target: &TargetId,
        order: &Order,
        blocked_until: &mut Option<Instant>,
    ) -> Result<()> {
        // Set before sending, since this future may be dropped at any later point.
        *blocked_until = Some(self.clock.now() + self.cfg.in_flight);
        let call = self.targets.issue(target, order);
        let answer = clock::timeout(&self.clock, self.cfg.timeout, call).await;
        let outcome = answer.unwrap_or_else(|| Err(Error::Unknown(target.clone())));
        if !matches!(outcome, Err(Error::Unknown(_))) {
            *blocked_until = None;
        }
        outcome
    }

    /// Waits until what was sent without an answer can't arrive any more.
    async fn wait_until_unblocked(&self, blocked_until: &mut Option<Instant>) {
        if let Some(until) = *blocked_until {
            let wait = until.saturating_duration_since(self.clock.now());
            self.clock.sleep(wait).await;
        }
        *blocked_until = None;
    }

    /// The lane of a target. Targets come and go, so a new one drops those that nobody needs.
    fn target_lock(&self, target: &TargetId) -> Rc<TargetLock> {
        let mut target_locks = self.target_locks.borrow_mut();
        if !target_locks.contains_key(target) {
            let now = self.clock.now();
            target_locks.retain(|_, target_lock| !target_lock.is_idle(now));
        }
        Rc::clone(target_locks.entry(target.clone()).or_default())
    }

    /// An earlier holder may have started an order in the last moment of its lease; a target
    /// that ignores the number would carry it out after a newer one, and end in a state that
    /// nobody wants now. After this wait all such orders have arrived or are lost. The lease may
    /// change hands meanwhile, and then the wait starts anew.
    async fn wait_for_previous_holder(&self) -> Result<()> {
        loop {
            let wait = self.remaining_wait(&self.guards.guard()?);
            if wait.is_zero() {
                return Ok(());
            }
            self.clock.sleep(wait).await;
        }
    }

    fn remaining_wait(&self, guard: &Guard) -> Duration {
        let safe_from = guard.earlier_ended + self.cfg.in_flight;
        safe_from.saturating_duration_since(self.clock.now())
    }
}

impl TargetLock {
    fn is_idle(self: &Rc<Self>, now: Instant) -> bool {
        let blocked_until = self.blocked_until.try_lock();
        Rc::strong_count(self) == 1
            && blocked_until.is_some_and(|until| until.is_none_or(|u| u <= now))
    }
}
