//! Reports of entry daemons and targets on load and granted requests.

use std::time::Instant;

use super::estimate::Estimate;
use super::message::{CacheEvent, LoadReport, Outcome, Report, ReportKind};
use super::sharing::Observation;
use super::state::State;
use super::target::Target;
use super::work::Work;
use crate::document::{self, Pool, TargetState};
use crate::software_version::VersionDigest;
use crate::target_instance::TargetInstance;

impl State {
    /// Applies a report of an entry daemon; a report on an earlier submission is ignored.
    pub(super) fn report(&mut self, report: &Report, now: Instant) {
        // After a pause of the daemon, reports may come before the periodic checks.
        if self.observed_at.is_some() {
            self.observe_running(now);
        }
        let active_grant = self.active_grants.get_mut(&report.request);
        let Some(active_grant) =
            active_grant.filter(|active_grant| active_grant.submission == report.submission)
        else {
            return;
        };
        let Some(target) = self.targets.get_mut(&active_grant.target) else {
            return;
        };
        active_grant.began = true;
        let entry = active_grant.entry.vm.clone();
        self.capacity_epoch += 1;
        match report.kind {
            ReportKind::Began => {}
            ReportKind::Head => {
                if target.unanswered.is_silent() {
                    self.sharing.record(target.digest, Observation::Head);
                }
                target.unanswered.record_sign_of_life(now);
            }
            ReportKind::Ended {
                decoded,
                outcome,
                prefill: _,
            } => {
                match outcome {
                    Outcome::Complete => {
                        target.observe_answer(&entry, now, |health| health.record_success(now));
                        target.end_pushback(active_grant.pushback_trial);
                        self.sharing.record(target.digest, Observation::Answered);
                    }
                    Outcome::Erred | Outcome::TurnedAway => {
                        target.observe_answer(&entry, now, |health| health.record_error(now));
                        self.sharing.record(target.digest, Observation::Erred);
                    }
                    Outcome::Failed => {
                        target.fail(&entry, now);
                        self.sharing.record(target.digest, Observation::Failed);
                    }
                    Outcome::Misdirected => {
                        target.record_misdirected(&entry, now);
                        self.sharing.record(target.digest, Observation::Misdirected);
                    }
                    Outcome::Cancelled | Outcome::Unused => {}
                }
                if matches!(outcome, Outcome::Cancelled | Outcome::Failed) {
                    let granted = active_grant.granted;
                    if target.give_up(&entry, granted, now) {
                        self.sharing.record(target.digest, Observation::Silent);
                    }
                }
                self.finish_request(&report.request, decoded, outcome, now);
            }
            ReportKind::FirstToken { after } => {
                target.observe_answer(&entry, now, |health| health.record_activity(now));
                target.end_pushback(active_grant.pushback_trial);
                Self::note_load_change(&mut self.sharing, target, now);
                let prefill_ahead = active_grant.prefill_ahead;
                target.estimate.record_first_token(
                    active_grant.remaining_work.prefill,
                    prefill_ahead,
                    after,
                );
                self.sharing.record(
                    target.digest,
                    Observation::FirstToken {
                        after,
                        prefill_ahead,
                    },
                );
                target.long_prefills -= u32::from(active_grant.long_prefill);
                active_grant.remaining_work.prefill = 0;
                active_grant.long_prefill = false;
                let digests = std::mem::take(&mut active_grant.inflight);
                self.affinity.record_prefill(&active_grant.target, &digests);
                self.inflight.remove(&digests);
            }
            ReportKind::Progress { tokens: 0, .. } => {
                target.health.move_activity(|_| now);
            }
            ReportKind::Progress { step, tokens } => {
                let tokens = u64::from(tokens).min(active_grant.remaining_work.decode);
                target.observe_answer(&entry, now, |health| health.record_activity(now));
                let batch = target.estimate.batch(now);
                target.estimate.record_progress(tokens, step, now);
                self.sharing
                    .record(target.digest, Observation::Step { batch, step });
                active_grant.remaining_work -= Work {
                    decode: tokens,
                    prefill: 0,
                };
            }
        }
        self.dispatch(now);
    }

    /// Applies a target's own load report.
    pub(super) fn load_report(
        &mut self,
        target: &TargetInstance,
        report: LoadReport,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(target) {
            target.unanswered.record_sign_of_life(now);
            target.estimate.record_report(report, now);
            self.note_capacity_change();
            self.dispatch(now);
        }
    }

    /// Applies cache events of a target.
    pub(super) fn cache_events(
        &mut self,
        target: &TargetInstance,
        sequence: u64,
        events: &[CacheEvent],
    ) {
        if let Some(target) = self.targets.get(target) {
            self.affinity
                .apply_events(&target.instance, sequence, events);
            self.note_capacity_change();
        }
    }

    /// Replaces the target list with the pool's targets in the data centres that `is_near` accepts, and
    /// with `spare` ones that only get resumed streams.
    /// Targets that are draining or no longer listed get no new work, and are kept until their
    /// running requests have ended.
    pub(super) fn set_targets(
        &mut self,
        pool: &Pool,
        spare: &[document::Target],
        is_near: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        for target in self.targets.values_mut() {
            target.live = false;
            target.spare = false;
        }
        let nearby = pool.targets.iter();
        let nearby: Vec<_> = nearby.filter(|t| is_near(&t.data_centre)).collect();
        // Observations of an earlier incarnation of a target don't apply to the current one.
        let known = self.targets.values();
        let is_listed = |life: &TargetInstance| {
            nearby
                .iter()
                .any(|listed| TargetInstance::of(listed) == *life)
        };
        let known = known.filter(|target| is_listed(&target.instance));
        let initial = Estimate::from_median(known.map(|target| &target.estimate), now);
        let nearby = nearby.into_iter().map(|listed| (listed, false));
        for (listed, is_spare) in nearby.chain(spare.iter().map(|listed| (listed, true))) {
            let life = TargetInstance::of(listed);
            let target = self.targets.entry(life.clone()).or_insert_with(|| Target {
                estimate: initial.clone(),
                ..Target::new(life, listed.slots, now)
            });
            target.data_centre.clone_from(&listed.data_centre);
            let is_live = listed.state == TargetState::Live;
            target.live = is_live && !is_spare;
            target.spare = is_live && is_spare;
            target.slots = listed.slots;
            target.version = VersionDigest::of(listed);
        }
        self.cfg.waiting_limit = pool.waiting_limit;
        self.set_turns();
        self.note_capacity_change();
        let lives: Vec<TargetInstance> = self.targets.keys().cloned().collect();
        for life in &lives {
            self.remove_if_drained(life);
        }
        self.invalidate_capacity();
        self.refuse_unserved(now);
        self.dispatch(now);
        self.shed(now);
    }

    /// Removes a target that is not live and has no running requests.
    pub(super) fn remove_if_drained(&mut self, life: &TargetInstance) {
        let target = self.targets.get(life);
        if target
            .is_some_and(|target| !target.live && !target.spare && target.estimate.running() == 0)
        {
            self.targets.shift_remove(life);
            self.affinity.forget(life);
        }
    }

    fn finish_request(&mut self, request: &str, decoded: u32, outcome: Outcome, now: Instant) {
        let Some(active_grant) = self.end(request, now) else {
            return;
        };
        if outcome == Outcome::Complete {
            self.drain.record_end(active_grant.tokens, now);
            let whole = decoded.saturating_add(active_grant.partial_tokens);
            self.length_ratio.observe(whole, active_grant.max_tokens);
        }
    }
}
