//! One daemon's part in a roll-out: to which version each of its requests goes.

use std::time::{Duration, Instant};

use super::evidence::Evidence;
use super::exposure::Exposure;
use super::message::{Directive, Reason, Stage, View};
use super::order::{Order, State};
use super::schedule::Schedule;
use crate::ids::RuleId;

/// Version that a request goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lane {
    /// Any version: there is none to move from, or the roll-out is over.
    Any,
    /// An old version.
    Old,
    /// The new version, or an old one if it has no target.
    Trial,
    /// The new version.
    New,
}

/// State of a roll-out at one daemon.
#[derive(Debug)]
pub struct Participant {
    /// Answers that this daemon has seen.
    pub evidence: Evidence,
    /// Set once a target of an old version was listed.
    pub has_old_targets: bool,
    /// Requests for old targets that wait or run.
    pub open_old: u32,
    exposure: Exposure,
    lease_until: Option<Instant>,
    order: Order,
    reason: Option<Reason>,
    schedule: Schedule,
    stage: Stage,
    started_at: Instant,
}

impl Participant {
    /// Begins to take part in a roll-out that was ordered at `started_at`. `phase` is a random number
    /// from 0 to 1.
    #[must_use]
    pub fn new(order: Order, started_at: Instant, phase: f64) -> Self {
        let mut participant = Self {
            evidence: Evidence::default(),
            exposure: Exposure::new(phase),
            lease_until: None,
            has_old_targets: false,
            open_old: 0,
            reason: None,
            schedule: Schedule::new(order.duration, &Evidence::default()),
            stage: Stage::Trial,
            started_at,
            order,
        };
        participant.note_recorded(participant.order.recorded);
        participant
    }

    /// The order.
    #[must_use]
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Goes on under the same order as the platform's store has it now.
    pub fn renew(&mut self, order: Order) {
        let recorded = order.recorded;
        self.order = order;
        self.note_recorded(recorded);
    }

    /// Stage by which this daemon acts.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns `true` until the store has the end of the roll-out.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        matches!(self.order.recorded, None | Some(State::Running))
    }

    /// Why the new version gets nothing, in the last stage.
    #[must_use]
    pub fn reason(&self) -> Option<&Reason> {
        self.reason.as_ref()
    }

    /// When the order was given, as far as this daemon knows.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Corrects the time of the order by what another daemon knows.
    pub fn note_age(&mut self, age: Duration, now: Instant) {
        let started_at = now.checked_sub(age).unwrap_or(now);
        self.started_at = self.started_at.min(started_at);
    }

    /// Takes over what the store says. It goes before the judges: by what it says the platform stops
    /// targets.
    pub fn note_recorded(&mut self, recorded: Option<State>) {
        self.order.recorded = recorded;
        match recorded {
            Some(State::Succeeded) => {
                self.stage = Stage::Succeeded;
                self.reason = None;
            }
            Some(State::RolledBack) if self.stage != Stage::RolledBack => {
                self.stage = Stage::RolledBack;
                self.reason = Some(Reason::Recorded);
            }
            _ => {}
        }
    }

    /// Follows a judge, whose reply to a report of `asked_at` allows requests to the new version for
    /// as long as `lease`.
    pub fn follow(&mut self, directive: &Directive, asked_at: Instant, lease: Duration) {
        self.note_age(directive.age, asked_at);
        self.schedule = directive.schedule.clone();
        self.lease_until = self.lease_until.max(Some(asked_at + lease));
        let has_ended = self.stage.is_final();
        // Of two judges, one may know less than the other.
        let goes_back = self.stage == Stage::Closing && directive.stage == Stage::Trial;
        if !has_ended && !goes_back {
            self.stage = directive.stage;
            self.reason = directive.reason.clone();
        }
    }

    /// Returns `true` if requests may go to the new version now.
    #[must_use]
    pub fn may_expose(&self, now: Instant) -> bool {
        if !self.has_old_targets {
            return true;
        }
        match self.stage {
            Stage::Trial | Stage::Closing => self.lease_until.is_some_and(|until| now < until),
            Stage::Succeeded => true,
            Stage::RolledBack => false,
        }
    }

    /// Chooses the version for a request; `is_repeat` if it was sent before.
    pub fn choose(&mut self, rule: &RuleId, is_repeat: bool, now: Instant) -> Lane {
        if self.stage == Stage::Succeeded || !self.has_old_targets {
            return Lane::Any;
        }
        if !self.may_expose(now) {
            return Lane::Old;
        }
        let age = now.saturating_duration_since(self.started_at);
        match self.stage {
            Stage::Closing => {
                self.exposure.record_exposed();
                Lane::New
            }
            _ if is_repeat => Lane::Old,
            _ if self.schedule.has_moved(rule, age) && self.exposure.take() => Lane::Trial,
            _ if self.exposure.take_trial() => Lane::Trial,
            _ => Lane::Old,
        }
    }

    /// The roll-out as far as this daemon alone has seen it.
    #[must_use]
    pub fn view(&self, now: Instant) -> View {
        View {
            age_ms: now.saturating_duration_since(self.started_at).as_millis() as u64,
            duration_ms: self.order.duration.as_millis() as u64,
            open_old: self.open_old,
            order: self.order.id.clone(),
            reason: self.reason.as_ref().map(ToString::to_string),
            reporters: 1,
            rules: self.evidence.views(),
            stage: self.stage,
        }
    }

    /// Records that a request is sent to a target of the pool.
    pub fn record_send(&mut self) {
        self.exposure.record_request();
    }

    /// Gives back a trial for which the new version had no target.
    pub fn give_back_trial(&mut self) {
        self.exposure.give_back();
    }
}
