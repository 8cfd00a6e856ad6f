//! Decides how a roll-out goes on, by the reports of all daemons.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::evidence::Evidence;
use super::message::{Directive, Reason, Report, Stage, View};
use super::order::{Order, State};
use super::schedule::Schedule;
use super::verdict;
use crate::ids::VmId;

/// Answers of the new version before all requests move to it.
const MIN_TRIALS: u32 = 3;
/// Answers of the old versions from which on fewer trials are no want of requests.
const BUSY_ANSWERS: u32 = 200;

/// What a judge knows of the fleet besides reports.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Set if targets of the new version are listed.
    pub has_new_targets: bool,
    /// Set if targets of other versions are listed.
    pub has_old_targets: bool,
    /// Set if this judge is the one that ends roll-outs well. Any judge may roll back.
    pub is_first_judge: bool,
    /// The live daemons.
    pub members: Vec<VmId>,
}

/// The new version gets a share of the requests.
#[derive(Debug)]
pub struct Trial;
/// All new requests go to the new version.
#[derive(Debug)]
pub struct Closing;
/// The old targets have nothing left.
#[derive(Debug)]
pub struct Succeeded;
/// The new version gets nothing.
#[derive(Debug)]
pub struct RolledBack {
    reason: Reason,
}

/// A roll-out in one stage of its life.
#[derive(Debug)]
struct Rollout<S> {
    stage: S,
}

impl Rollout<Trial> {
    fn close(self) -> Rollout<Closing> {
        Rollout { stage: Closing }
    }
}

impl Rollout<Closing> {
    fn succeed(self) -> Rollout<Succeeded> {
        Rollout { stage: Succeeded }
    }
}

trait Revocable {}
impl Revocable for Trial {}
impl Revocable for Closing {}

impl<S: Revocable> Rollout<S> {
    fn roll_back(self, reason: Reason) -> Rollout<RolledBack> {
        Rollout {
            stage: RolledBack { reason },
        }
    }
}

/// A roll-out in any stage.
#[derive(Debug)]
enum Life {
    Trial(Rollout<Trial>),
    Closing(Rollout<Closing>),
    Succeeded(Rollout<Succeeded>),
    RolledBack(Rollout<RolledBack>),
}

impl Life {
    fn stage(&self) -> Stage {
        match self {
            Self::Trial(_) => Stage::Trial,
            Self::Closing(_) => Stage::Closing,
            Self::Succeeded(_) => Stage::Succeeded,
            Self::RolledBack(_) => Stage::RolledBack,
        }
    }

    fn roll_back(self, reason: Reason) -> Self {
        match self {
            Self::Trial(rollout) => Self::RolledBack(rollout.roll_back(reason)),
            Self::Closing(rollout) => Self::RolledBack(rollout.roll_back(reason)),
            ended => ended,
        }
    }
}

/// The judge of one roll-out.
#[derive(Debug)]
pub struct Controller {
    had_new_targets: bool,
    had_old_targets: bool,
    /// Evidence of daemons that have started anew since.
    earlier: Evidence,
    life: Life,
    order: Order,
    reports: IndexMap<VmId, Report>,
    schedule: Schedule,
    started_at: Instant,
}

impl Controller {
    /// Creates the judge of a roll-out that was ordered at `started_at`.
    #[must_use]
    pub fn new(order: Order, started_at: Instant) -> Self {
        Self {
            had_new_targets: false,
            had_old_targets: false,
            earlier: Evidence::default(),
            life: Life::Trial(Rollout { stage: Trial }),
            reports: IndexMap::new(),
            schedule: Schedule::new(order.duration, &Evidence::default()),
            started_at,
            order,
        }
    }

    /// The stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.life.stage()
    }

    /// Why the new version gets nothing, in the last stage.
    #[must_use]
    pub fn reason(&self) -> Option<&Reason> {
        match &self.life {
            Life::RolledBack(rollout) => Some(&rollout.stage.reason),
            _ => None,
        }
    }

    /// Takes in the report of a daemon.
    pub fn receive(&mut self, report: Report, now: Instant) {
        let started_at = now.checked_sub(report.age).unwrap_or(now);
        self.started_at = self.started_at.min(started_at);
        // Other daemons may know of a decision that this one has missed or forgotten.
        match report.stage {
            Stage::Succeeded => self.succeed(),
            Stage::RolledBack => self.roll_back(report.reason.clone().unwrap_or(Reason::Recorded)),
            Stage::Closing => self.close(),
            Stage::Trial => {}
        }
        let known = self.reports.get(&report.vm);
        if let Some(known) = known.filter(|known| known.incarnation != report.incarnation) {
            self.earlier.merge(&known.evidence);
        }
        self.reports.insert(report.vm.clone(), report);
    }

    /// Takes over what the store says.
    pub fn note_recorded(&mut self, recorded: Option<State>) {
        self.order.recorded = recorded;
        match recorded {
            Some(State::Succeeded) if self.stage() == Stage::RolledBack => {
                self.life = Life::Succeeded(Rollout { stage: Succeeded });
            }
            Some(State::Succeeded) => self.succeed(),
            Some(State::RolledBack) => self.roll_back(Reason::Recorded),
            Some(State::Running) | None => {}
        }
    }

    /// Decides how the roll-out goes on.
    pub fn review(&mut self, fleet: &Fleet, now: Instant) {
        self.had_new_targets |= fleet.has_new_targets;
        self.had_old_targets |= fleet.has_old_targets;
        if self.stage().is_final() {
            return;
        }
        let evidence = self.evidence();
        let age = self.age(now);
        if self.stage() == Stage::Trial {
            self.schedule = Schedule::new(self.order.duration, &evidence);
        }
        if let Some(reason) = self.objection(&evidence, age) {
            return self.roll_back(reason);
        }
        let has_answered = evidence.new_answers() >= MIN_TRIALS || !is_busy(&evidence);
        let is_due = age >= self.schedule.closes || !self.had_old_targets;
        if is_due && fleet.has_new_targets && has_answered && fleet.is_first_judge {
            self.close();
        }
        let is_tried = age >= self.schedule.ends || !self.had_old_targets;
        if self.stage() == Stage::Closing
            && is_tried
            && fleet.is_first_judge
            && self.has_emptied(fleet)
        {
            self.succeed();
        }
    }

    /// Tells a daemon how the roll-out goes on.
    #[must_use]
    pub fn directive(&self, now: Instant) -> Directive {
        Directive {
            age: self.age(now),
            order: self.order.id.clone(),
            reason: self.reason().cloned(),
            schedule: self.schedule.clone(),
            stage: self.stage(),
        }
    }

    /// State that the store lacks; `None` if it is up to date.
    #[must_use]
    pub fn unrecorded(&self) -> Option<State> {
        let state = match self.stage() {
            Stage::Trial | Stage::Closing => State::Running,
            Stage::Succeeded => State::Succeeded,
            Stage::RolledBack => State::RolledBack,
        };
        (self.order.recorded != Some(state)).then_some(state)
    }

    /// The roll-out as operators see it.
    #[must_use]
    pub fn view(&self, now: Instant) -> View {
        let evidence = self.evidence();
        View {
            age_ms: self.age(now).as_millis() as u64,
            duration_ms: self.order.duration.as_millis() as u64,
            open_old: self.reports.values().map(|report| report.open_old).sum(),
            order: self.order.id.clone(),
            reason: self.reason().map(ToString::to_string),
            reporters: self.reports.len(),
            rules: evidence.views(),
            stage: self.stage(),
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// All answers that any daemon has seen.
    fn evidence(&self) -> Evidence {
        let mut all = self.earlier.clone();
        for report in self.reports.values() {
            all.merge(&report.evidence);
        }
        all
    }

    /// Why the new version should get nothing any more.
    fn objection(&self, evidence: &Evidence, age: Duration) -> Option<Reason> {
        if let Err(e) = self.order.check() {
            return Some(Reason::Order(e.to_string()));
        }
        let mut pending = Evidence::default();
        for report in self.reports.values() {
            pending.merge(&report.pending);
        }
        if let Some(blame) = verdict::blame(evidence, &pending) {
            return Some(Reason::Blame(blame));
        }
        if age < self.order.duration {
            return None;
        }
        if !self.had_new_targets {
            return Some(Reason::NoTarget);
        }
        let is_unproven = is_busy(evidence) && evidence.new_answers() == 0;
        is_unproven.then_some(Reason::Unproven)
    }

    /// Returns `true` if no live daemon has a request for an old target, and none will send one.
    fn has_emptied(&self, fleet: &Fleet) -> bool {
        fleet.members.iter().all(|vm| {
            let report = self.reports.get(vm);
            report.is_some_and(|report| report.stage == Stage::Closing && report.open_old == 0)
        })
    }

    fn close(&mut self) {
        self.change(|life| match life {
            Life::Trial(rollout) => Life::Closing(rollout.close()),
            other => other,
        });
    }

    fn succeed(&mut self) {
        self.change(|life| match life {
            Life::Trial(rollout) => Life::Succeeded(rollout.close().succeed()),
            Life::Closing(rollout) => Life::Succeeded(rollout.succeed()),
            other => other,
        });
    }

    fn roll_back(&mut self, reason: Reason) {
        self.change(|life| life.roll_back(reason));
    }

    fn change(&mut self, change: impl FnOnce(Life) -> Life) {
        let unknown = Life::Trial(Rollout { stage: Trial });
        self.life = change(std::mem::replace(&mut self.life, unknown));
    }
}

fn is_busy(evidence: &Evidence) -> bool {
    let answers: u32 = evidence.rules.values().map(|seen| seen.old.answers).sum();
    answers >= BUSY_ANSWERS
}
