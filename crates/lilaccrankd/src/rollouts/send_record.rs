//! What a target of a roll-out makes of one request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use lilaccrank::dispatch::message::Outcome;
use lilaccrank::document::Target;
use lilaccrank::ids::RuleId;
use lilaccrank::rollout::evidence::{Evidence, Observation, Side};
use lilaccrank::rollout::order::OrderId;
use lilaccrank::rollout::participant::Participant;
use lilaccrank::software_version::VersionDigest;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use super::Rollouts;
use crate::daemon::Daemon;
use crate::request::lifecycle::RoutedRequest;

/// A request without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Running {
    order: OrderId,
    rule: RuleId,
    side: Side,
    since: Instant,
    target: InstanceDigest,
}

impl Running {
    fn observation(&self) -> Observation<'_> {
        Observation {
            rule: &self.rule,
            side: self.side,
            target: self.target,
        }
    }
}

/// Observes one send. Dropped without an outcome, it says nothing about the version.
pub struct SendRecord {
    daemon: Rc<Daemon>,
    has_begun: Cell<bool>,
    /// Set if the target is slow since it has just started.
    is_cold: bool,
    number: u64,
    send: Running,
}

impl SendRecord {
    /// Records that a request is sent to `target`; `None` if no roll-out concerns it.
    #[must_use]
    pub fn new(daemon: &Rc<Daemon>, routed: &RoutedRequest, target: &Target) -> Option<Self> {
        let rollouts = &daemon.rollouts;
        let mut participants = rollouts.participants.borrow_mut();
        let participant = participants.get_mut(&routed.route.pool)?;
        participant.record_send();
        let is_new = VersionDigest::of(target) == Some(participant.order().version());
        let instance = TargetInstance::of(target);
        let since = Instant::now();
        let send = Running {
            order: participant.order().id.clone(),
            rule: routed.route.rule.clone(),
            side: if is_new { Side::New } else { Side::Old },
            since,
            target: instance.digest(),
        };
        let number = rollouts.sends.get();
        rollouts.sends.set(number + 1);
        let is_cold = rollouts.is_cold(&instance, since);
        if !is_cold {
            rollouts.running.borrow_mut().insert(number, send.clone());
        }
        Some(Self {
            daemon: Rc::clone(daemon),
            has_begun: Cell::new(false),
            is_cold,
            number,
            send,
        })
    }

    /// Records that the answer has begun.
    pub fn begin(&self) {
        if self.has_begun.replace(true) {
            return;
        }
        self.daemon
            .rollouts
            .running
            .borrow_mut()
            .swap_remove(&self.number);
        let time = self.send.since.elapsed();
        if !self.is_cold {
            self.observe(|seen, participant| participant.evidence.record_time(seen, time));
        }
    }

    /// Records how the send ended. Only answers tell something about a version: a connection may be
    /// lost by a crash or on the way.
    pub fn end(&self, outcome: Outcome) {
        let is_failure = match outcome {
            Outcome::Complete => false,
            Outcome::Erred => true,
            _ => return,
        };
        if !is_failure {
            self.begin();
        }
        let total = self.send.since.elapsed();
        self.observe(|seen, participant| {
            participant.evidence.record_answer(seen, is_failure);
            if seen.side == Side::Old {
                participant.evidence.record_total(seen.rule, total);
            }
        });
        if is_failure && self.send.side == Side::New {
            self.daemon.rollouts.wake.notify();
        }
    }

    fn observe(&self, record: impl FnOnce(Observation<'_>, &mut Participant)) {
        let mut participants = self.daemon.rollouts.participants.borrow_mut();
        let participant = participants.get_mut(&self.send.order.pool);
        if let Some(participant) = participant.filter(|p| p.order().id == self.send.order) {
            record(self.send.observation(), participant);
        }
    }
}

impl Drop for SendRecord {
    fn drop(&mut self) {
        let mut running = self.daemon.rollouts.running.borrow_mut();
        running.swap_remove(&self.number);
    }
}

impl Rollouts {
    /// Requests of an order that are unanswered, by the time for which they have been.
    pub(super) fn pending(&self, order: &OrderId, now: Instant) -> Evidence {
        let mut pending = Evidence::default();
        let running = self.running.borrow();
        for send in running.values().filter(|send| send.order == *order) {
            let waited = now.saturating_duration_since(send.since);
            pending.record_time(send.observation(), waited);
        }
        pending
    }
}
