//! What entries and targets tell about granted requests.

use std::time::Instant;

use super::estimate::Estimate;
use super::message::{CacheEvent, LoadReport, Outcome, Report, ReportKind};
use super::sharing::Seen;
use super::state::State;
use super::target::Target;
use super::work::Work;
use crate::document::{Pool, TargetState};
use crate::error_kind::ErrorKind;
use crate::target_instance::TargetInstance;

/// Weight of a new sample in the usual length of answers.
const LENGTH_GAIN: f64 = 0.05;
/// Shortest usual length that is believed.
const LENGTH_FLOOR: f64 = 0.01;

impl State {
    /// Takes in a report of an entry; one of an earlier ask is too late and is dropped.
    pub(super) fn report(&mut self, report: &Report, now: Instant) {
        let held = self.reservations.get_mut(&report.request);
        let Some(held) = held.filter(|held| held.ask == report.ask) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&held.target) else {
            return;
        };
        held.began = true;
        self.openings += 1;
        match report.kind {
            ReportKind::Began => {}
            ReportKind::Ended {
                decoded,
                outcome,
                prefill: _,
            } => {
                match outcome {
                    Outcome::Complete => {
                        target.health.answered(now);
                        self.sharing.note(target.digest, Seen::Answered);
                    }
                    Outcome::Erred => {
                        target.health.erred(now);
                        self.sharing.note(target.digest, Seen::Erred);
                    }
                    Outcome::Failed => {
                        target.health.failed(now);
                        self.sharing.note(target.digest, Seen::Failed);
                    }
                    Outcome::Cancelled | Outcome::Unused => {}
                }
                self.ended(&report.request, decoded, outcome, now);
            }
            ReportKind::FirstToken { after } => {
                target.health.alive(now);
                Self::note_change(&mut self.sharing, target, now);
                let before = held.before;
                target
                    .estimate
                    .first_token(held.left.prefill, before, after);
                self.sharing
                    .note(target.digest, Seen::FirstToken { after, before });
                target.long -= u32::from(held.long);
                held.left.prefill = 0;
                held.long = false;
                let read = std::mem::take(&mut held.pending);
                self.affinity.sent(&held.target, &read);
                self.pending.remove(&read);
            }
            ReportKind::Progress { step, tokens } => {
                let tokens = u64::from(tokens).min(held.left.decode);
                target.health.alive(now);
                let batch = target.estimate.batch(now);
                target.estimate.progress(tokens, step, now);
                self.sharing.note(target.digest, Seen::Step { batch, step });
                held.left -= Work {
                    decode: tokens,
                    prefill: 0,
                };
            }
        }
        self.dispatch(now);
    }

    /// Takes in a target's own report.
    pub(super) fn load_report(
        &mut self,
        target: &TargetInstance,
        report: LoadReport,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.estimate.reported(report, now);
            self.note_opening();
            self.dispatch(now);
        }
    }

    /// Takes in cache events of a target.
    pub(super) fn cache_events(
        &mut self,
        target: &TargetInstance,
        sequence: u64,
        events: &[CacheEvent],
    ) {
        if let Some(target) = self.targets.get(target) {
            self.affinity.events(&target.life, sequence, events);
            self.note_opening();
        }
    }

    /// Takes over the targets of the pool in this data centre. Those that drain or are gone get
    /// nothing from now on, and are kept until what they run has ended.
    pub(super) fn set_targets(&mut self, pool: &Pool, near: impl Fn(&str) -> bool, now: Instant) {
        for target in self.targets.values_mut() {
            target.live = false;
        }
        let here = pool.targets.iter();
        let here: Vec<_> = here.filter(|t| near(&t.data_centre)).collect();
        // Nothing that is known of an earlier life of a target holds for the present one.
        let known = self.targets.values();
        let stays =
            |life: &TargetInstance| here.iter().any(|given| TargetInstance::of(given) == *life);
        let known = known.filter(|target| stays(&target.life));
        let usual = Estimate::usual(known.map(|target| &target.estimate), now);
        for given in here {
            let life = TargetInstance::of(given);
            let target = self.targets.entry(life.clone()).or_insert_with(|| Target {
                estimate: usual.clone(),
                ..Target::new(life, given.slots, now)
            });
            target.data_centre.clone_from(&given.data_centre);
            target.live = given.state == TargetState::Live;
            target.slots = given.slots;
        }
        self.cfg.waiting_limit = pool.waiting_limit;
        self.note_opening();
        let lives: Vec<TargetInstance> = self.targets.keys().cloned().collect();
        for life in &lives {
            self.drop_if_left(life);
        }
        self.forget_capacity();
        if self.targets.values().any(|target| target.live) {
            self.dispatch(now);
            self.shed(now);
        } else {
            self.refuse_all(ErrorKind::NoTarget, now);
        }
    }

    /// Drops a target that gets nothing and runs nothing.
    pub(super) fn drop_if_left(&mut self, life: &TargetInstance) {
        let target = self.targets.get(life);
        if target.is_some_and(|target| !target.live && target.estimate.running() == 0) {
            self.targets.shift_remove(life);
            self.affinity.forget(life);
        }
    }

    fn ended(&mut self, request: &str, decoded: u32, outcome: Outcome, now: Instant) {
        let Some(held) = self.release(request, now) else {
            return;
        };
        if outcome == Outcome::Complete {
            self.drain.ended(held.tokens, now);
            if held.max_tokens > 0 {
                let whole = decoded.saturating_add(held.partial_tokens);
                let sample = f64::from(whole) / f64::from(held.max_tokens);
                let length = self.length + LENGTH_GAIN * (sample - self.length);
                self.length = length.clamp(LENGTH_FLOOR, 1.0);
            }
        }
    }
}
