//! Orders to targets, sent under a lease: drain, load a model, change role.
//!
//! A target that checks fencing tokens refuses a delayed order of a previous lease holder. For a
//! target that ignores them, the first order under a new token waits until no previous holder can
//! send an order any more and all orders that it sent have arrived. An order names the desired
//! state and has an id, so that repeating it is harmless.

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
use crate::lease::{self, Fence, Guard, GuardSource};

/// Result of issuing an order.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason for which an order failed, as far as known.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// This daemon does not hold the lease; nothing was sent.
    #[error(transparent)]
    Lease(#[from] lease::Error),
    /// The target has seen a higher fencing token: another daemon holds the lease.
    #[error("target {target} refused number {fence}")]
    Superseded {
        /// Fencing token that was sent.
        fence: Fence,
        /// Target that refused it.
        target: TargetId,
    },
    /// The target can't execute the order.
    #[error("target {target} refused the order: {reason}")]
    Refused {
        /// Reason given by the target.
        reason: String,
        /// Target that refused it.
        target: TargetId,
    },
    /// The target did not answer and may execute the order. The caller should issue it again.
    #[error("target {0} did not answer, the order may be carried out")]
    Unknown(TargetId),
    /// The connection failed; nothing was sent.
    #[error("target {0} can't be reached, nothing was sent")]
    Unreachable(TargetId),
}

/// Desired state of a target.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Command {
    /// Finishes requests in progress and accepts no new ones.
    #[display("drain")]
    Drain,
    /// Loads a model.
    #[display("load {model}")]
    LoadModel {
        /// Model to load.
        model: ModelId,
    },
    /// Accepts new requests again after a drain.
    #[display("resume")]
    Resume,
    /// Changes the role of an engine.
    #[display("be {role}")]
    SetRole {
        /// New role.
        role: Role,
    },
}

/// Phases of inference that an engine runs.
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

/// An order as it is sent to a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Desired state.
    pub command: Command,
    /// Fencing token of the lease.
    pub fence: Fence,
    /// Identifier of the order, equal for all its repetitions.
    pub id: String,
}

/// What an executed order has done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The target is in the desired state now and may not have been before.
    Changed,
    /// The target was in the desired state already.
    Unchanged,
}

/// Target of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderTarget {
    /// How the target treats fencing tokens.
    pub fencing: Fencing,
    /// Name of the target.
    pub id: TargetId,
}

/// Interface to the control endpoints of the targets.
pub trait Targets {
    /// Sends an order once. The future may be dropped when it times out. The implementation must
    /// then send nothing more and close every connection on which it started to send.
    fn issue(&self, target: &TargetId, order: &Order) -> impl Future<Output = Result<Effect>>;
}

/// Time limits and retries of orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum time between sending an order and its arrival at the target.
    pub in_flight: Duration,
    /// Timeout for the answer; at most `in_flight`.
    pub timeout: Duration,
    /// Maximum number of times that an unanswered order is sent.
    pub attempt_limit: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            in_flight: Duration::from_secs(5),
            timeout: Duration::from_secs(3),
            attempt_limit: 2,
        }
    }
}

/// Issues orders while this daemon holds the lease, one at a time to each target.
pub struct Orders<C, G, T> {
    cfg: Settings,
    clock: C,
    guards: G,
    target_locks: RefCell<IndexMap<TargetId, Rc<TargetLock>>>,
    targets: T,
}

/// Serializes the orders to one target.
///
/// Two orders of one holder carry the same fencing token, so a target can't tell which one is
/// newer. If the second were sent while the first may still arrive, the target could end in the
/// state of the first. An unanswered order therefore blocks further orders until it can no longer
/// arrive.
#[derive(Default)]
struct TargetLock {
    blocked_until: Mutex<Option<Instant>>,
}

impl<C: Clock, G: GuardSource, T: Targets> Orders<C, G, T> {
    /// Creates an issuer of orders to `targets` under the lease that `guards` checks.
    pub fn new(cfg: Settings, clock: C, guards: G, targets: T) -> Self {
        Self {
            cfg,
            clock,
            guards,
            target_locks: RefCell::default(),
            targets,
        }
    }

    /// Issues one order. Repetitions of an order must have the same `id`.
    ///
    /// The order is sent only under the fencing token that is held at the time of this call. It may
    /// wait here for longer than the lease lasts; if another daemon holds the lease meanwhile and
    /// issues a newer order, sending this one under a later token would undo it.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] the target may have executed the order; all other errors mean that
    /// it did not.
    pub async fn issue(&self, target: &OrderTarget, id: &str, command: Command) -> Result<Effect> {
        let fence = self.guards.guard()?.fence;
        let target_lock = self.target_lock(&target.id);
        let mut blocked_until = target_lock.blocked_until.lock().await;
        self.wait_until_unblocked(&mut blocked_until).await;
        if target.fencing == Fencing::Ignored {
            self.wait_for_previous_holder(fence).await?;
        }
        self.guards.guard_for(fence)?;
        let order = Order {
            command,
            fence,
            id: id.to_owned(),
        };
        let mut attempts = 0;
        loop {
            let outcome = self.send(&target.id, &order, &mut blocked_until).await;
            attempts += 1;
            match outcome {
                Err(Error::Unknown(_)) if attempts < self.cfg.attempt_limit => {}
                // An earlier attempt may have arrived even if this one failed.
                Err(_) if attempts > 1 => return Err(Error::Unknown(target.id.clone())),
                // An earlier attempt may have changed the state that this one found.
                Ok(_) if attempts > 1 => return Ok(Effect::Changed),
                outcome => return outcome,
            }
            self.wait_until_unblocked(&mut blocked_until).await;
            // Another daemon may have held the lease in the meantime and issued a newer order.
            // Repeating this order under a new fencing token would undo it.
            if self.guards.guard_for(fence).is_err() {
                return Err(Error::Unknown(target.id.clone()));
            }
        }
    }

    async fn send(
        &self,
        target: &TargetId,
        order: &Order,
        blocked_until: &mut Option<Instant>,
    ) -> Result<Effect> {
        // Set before sending, because this future may be dropped at any await point.
        *blocked_until = Some(self.clock.now() + self.cfg.in_flight);
        let call = self.targets.issue(target, order);
        let answer = clock::hard_timeout(&self.clock, self.cfg.timeout, call).await;
        let outcome = answer.unwrap_or_else(|| Err(Error::Unknown(target.clone())));
        if !matches!(outcome, Err(Error::Unknown(_))) {
            *blocked_until = None;
        }
        outcome
    }

    /// Waits until an unanswered order can no longer arrive.
    async fn wait_until_unblocked(&self, blocked_until: &mut Option<Instant>) {
        if let Some(until) = *blocked_until {
            let wait = until.saturating_duration_since(self.clock.now());
            self.clock.sleep(wait).await;
        }
        *blocked_until = None;
    }

    /// Returns the lock of a target. Since targets come and go, adding a lock drops unused ones.
    fn target_lock(&self, target: &TargetId) -> Rc<TargetLock> {
        let mut target_locks = self.target_locks.borrow_mut();
        if !target_locks.contains_key(target) {
            let now = self.clock.now();
            target_locks.retain(|_, target_lock| !target_lock.is_idle(now));
        }
        Rc::clone(target_locks.entry(target.clone()).or_default())
    }

    /// Waits until all orders of previous holders have arrived or are lost.
    ///
    /// A previous holder may have sent an order at the very end of its lease. A target that
    /// ignores fencing tokens would execute it after a newer one and end in an outdated state.
    async fn wait_for_previous_holder(&self, fence: Fence) -> Result<()> {
        loop {
            let wait = self.remaining_wait(&self.guards.guard_for(fence)?);
            if wait.is_zero() {
                return Ok(());
            }
            self.clock.sleep(wait).await;
        }
    }

    fn remaining_wait(&self, guard: &Guard) -> Duration {
        let safe_from = guard.predecessor_expired_at + self.cfg.in_flight;
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
