//! Advisories of this daemon and their propagation to others.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::advisories::recent::RecentContents;
use lilaccrank::advisories::sync::{self, Cursors, Page, Pull};
use lilaccrank::advisories::{Advisories, Advisory, Fact};
use lilaccrank::ids::{ContentDigest, Incarnation, VmId};
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use crate::peers::change_signal::ChangeSignal;
use crate::peers::load_exchange::LoadExchange;
use crate::targets::protocol::RateLimit;

/// Maximum number of advisories in one load update; the rest follows with the next one.
const UPDATE_LIMIT: usize = 32;

/// Advisories of this daemon and of others.
pub struct SharedAdvisories {
    completed: RefCell<RecentContents>,
    /// Parts of prompts that targets have gone on with.
    proven_parts: RefCell<RecentContents>,
    crashes: ChangeSignal,
    cursors: RefCell<Cursors>,
    known: RefCell<Advisories>,
}

impl Default for SharedAdvisories {
    fn default() -> Self {
        Self {
            completed: RefCell::new(RecentContents::new(Instant::now())),
            proven_parts: RefCell::new(RecentContents::new(Instant::now())),
            crashes: ChangeSignal::default(),
            cursors: RefCell::default(),
            known: RefCell::default(),
        }
    }
}

impl SharedAdvisories {
    /// Records that a target crashed with a request of this content in flight.
    pub fn record_crash(
        &self,
        content: ContentDigest,
        target: &TargetInstance,
        exchange: &LoadExchange,
    ) {
        if !was_completed(&self.completed, content) {
            let target = target.digest();
            self.record(Fact::Crash { content, target }, exchange);
        }
    }

    /// Records that a target crashed when it was to begin an answer to a prompt with these parts, in order.
    pub fn record_part_crashes(
        &self,
        parts: &[ContentDigest],
        target: &TargetInstance,
        exchange: &LoadExchange,
    ) {
        let target = target.digest();
        for (depth, &part) in (0..=u8::MAX).zip(parts) {
            if !was_completed(&self.proven_parts, part) {
                let fact = Fact::PartCrash {
                    depth,
                    part,
                    target,
                };
                self.record(fact, exchange);
            }
        }
    }

    /// Returns `true` if requests with this part should not be sent again after a failure: several targets
    /// have crashed under it.
    pub fn is_repeated_suspect(&self, part: ContentDigest) -> bool {
        let known = self.known.borrow();
        !known.is_empty() && known.is_repeated_suspect(part, Instant::now())
    }

    /// Records that a target completed a request of this content.
    pub fn record_completion(&self, content: ContentDigest, exchange: &LoadExchange) {
        self.note_completion(&self.completed, content, exchange);
    }

    /// Records that a target went on with answers to prompts with these parts.
    pub fn record_proven_parts(&self, parts: &[ContentDigest], exchange: &LoadExchange) {
        for part in parts {
            self.note_completion(&self.proven_parts, *part, exchange);
        }
    }

    fn note_completion(
        &self,
        completed: &RefCell<RecentContents>,
        content: ContentDigest,
        exchange: &LoadExchange,
    ) {
        let now = Instant::now();
        completed.borrow_mut().insert(content, now);
        if self.known.borrow().is_suspect(content, now) {
            self.record(Fact::Completed { content }, exchange);
        }
    }

    /// Lifts a quarantine, as a completion does.
    pub fn lift(&self, content: ContentDigest, exchange: &LoadExchange) {
        self.record(Fact::Completed { content }, exchange);
    }

    /// Signal of new crashes.
    pub fn crashes(&self) -> &ChangeSignal {
        &self.crashes
    }

    /// Returns `true` if any crash is on record.
    pub fn has_crashes(&self) -> bool {
        self.known.borrow().has_crashes()
    }

    /// Quarantined contents, with the time since each was quarantined.
    pub fn quarantined(&self) -> Vec<(ContentDigest, Duration)> {
        self.known.borrow().quarantined(Instant::now())
    }

    /// Adds quarantines from the platform's store, with their ages.
    pub fn merge_stored(&self, quarantines: &[(ContentDigest, Duration)], exchange: &LoadExchange) {
        let now = Instant::now();
        for (content, age) in quarantines {
            let is_known = self
                .known
                .borrow()
                .quarantine_remaining(*content, now)
                .is_some();
            let is_new = !is_known
                && self
                    .known
                    .borrow_mut()
                    .note_stored_quarantine(*content, *age, now);
            if is_new {
                self.propagate(&[Fact::Quarantined { content: *content }], exchange);
            }
        }
    }

    /// Remaining quarantine of the request whose content is `content()`. The content is only
    /// computed if there are advisories.
    pub fn quarantine_remaining(
        &self,
        content: impl FnOnce() -> ContentDigest,
    ) -> Option<Duration> {
        let known = self.known.borrow();
        if known.is_empty() {
            return None;
        }
        known.quarantine_remaining(content(), Instant::now())
    }

    /// Records that an answer of a target said that it leaves.
    pub fn record_leaving(&self, target: &TargetInstance, exchange: &LoadExchange) {
        let fact = Fact::Leaving {
            target: target.digest(),
        };
        self.record(fact, exchange);
    }

    /// Returns `true` if an answer of this target has said that it leaves.
    pub fn is_leaving(&self, target: &TargetInstance) -> bool {
        let known = self.known.borrow();
        !known.is_empty() && known.is_leaving(target.digest(), Instant::now())
    }

    /// Targets whose answers have said that they leave.
    pub fn leaving(&self) -> IndexSet<InstanceDigest> {
        self.known.borrow().leaving(Instant::now()).collect()
    }

    /// Records the rate limit that a target advertised with an answer.
    pub fn record_rate_limit(
        &self,
        target: &TargetInstance,
        limit: RateLimit,
        exchange: &LoadExchange,
    ) {
        let per_1000_s = match limit {
            RateLimit::PerSecond(rate) => Some(per_1000_s(rate)),
            RateLimit::Unlimited => None,
            RateLimit::Unknown => return,
        };
        let fact = Fact::RateLimit {
            per_1000_s,
            target: target.digest(),
        };
        self.record(fact, exchange);
    }

    /// Rate limits that targets advertise, in requests per second.
    pub fn rate_limits(&self) -> IndexMap<InstanceDigest, f64> {
        self.known.borrow().rate_limits(Instant::now()).collect()
    }

    /// Records how many requests a target can turn away in a second, as its answer says; `None` if the
    /// answer says nothing of it, which is news only of a target that is `taken_for_brittle`.
    pub fn record_brittle(
        &self,
        target: &TargetInstance,
        limit: Option<u32>,
        taken_for_brittle: bool,
        exchange: &LoadExchange,
    ) {
        if limit.is_none() && !taken_for_brittle {
            return;
        }
        let fact = Fact::Brittle {
            limit,
            target: target.digest(),
        };
        self.record(fact, exchange);
    }

    /// What targets said of the requests in a second that each can turn away; `None` if it is sound.
    pub fn brittleness(&self) -> IndexMap<InstanceDigest, Option<u32>> {
        self.known.borrow().brittleness(Instant::now()).collect()
    }

    /// Returns the next sync request to a peer.
    pub fn pull(&self, vm: &VmId) -> Pull {
        let mut cursors = self.cursors.borrow_mut();
        cursors.pull(vm, &self.known.borrow(), Instant::now())
    }

    /// Merges the sync reply of a peer.
    pub fn merge_page(&self, vm: &VmId, page: &Page, exchange: &LoadExchange) {
        let new = {
            let mut known = self.known.borrow_mut();
            let mut cursors = self.cursors.borrow_mut();
            cursors.merge_page(vm, page, &mut known, Instant::now())
        };
        self.propagate(&new, exchange);
    }

    /// Replies to the sync request of a peer, as this daemon's `incarnation`.
    pub fn answer(&self, pull: &Pull, incarnation: Incarnation, exchange: &LoadExchange) -> Page {
        let (page, new) = {
            let mut known = self.known.borrow_mut();
            sync::answer(pull, &mut known, incarnation, Instant::now())
        };
        self.propagate(&new, exchange);
        page
    }

    /// Takes the advisories for the next load update.
    pub fn take_updates(&self) -> Vec<Advisory> {
        let mut known = self.known.borrow_mut();
        known.take_updates(UPDATE_LIMIT, Instant::now())
    }

    /// Merges the advisories of a load update.
    pub fn merge_update(&self, advisories: &[Advisory]) {
        let advisories = &advisories[..advisories.len().min(UPDATE_LIMIT)];
        let new = self
            .known
            .borrow_mut()
            .merge_update(advisories, Instant::now());
        self.publish(&new);
    }

    /// Drops the state of daemons that are no longer members.
    pub fn retain(&self, is_member: impl Fn(&VmId) -> bool) {
        self.cursors.borrow_mut().retain(is_member);
    }

    fn record(&self, fact: Fact, exchange: &LoadExchange) {
        if self.known.borrow_mut().note(fact, Instant::now()) {
            log_observed(fact);
            // Its line says that the request was completed, which is what lifts a quarantine.
            self.known.borrow_mut().take_lifted();
            self.propagate(&[fact], exchange);
        }
    }

    fn propagate(&self, new: &[Fact], exchange: &LoadExchange) {
        if !new.is_empty() {
            exchange.note_change(true);
            self.publish(new);
        }
    }

    /// Signals new crashes, and logs the quarantines that new facts begin or lift here.
    fn publish(&self, new: &[Fact]) {
        let contents = new.iter().copied().filter_map(crashed_or_quarantined);
        for content in contents.collect::<IndexSet<_>>() {
            self.crashes.notify();
            if let Some(remaining) = self.quarantine_remaining(|| content) {
                log::warn!(
                    content:% = format_args!("{content:016x}"),
                    left_ms = remaining.as_millis() as u64;
                    "request quarantined: targets crashed while it was in flight"
                );
            }
        }
        let lifted = self.known.borrow_mut().take_lifted();
        for content in lifted {
            log::info!(
                content:% = format_args!("{content:016x}");
                "a quarantine is lifted: another daemon's target completed the request"
            );
        }
    }
}

fn crashed_or_quarantined(fact: Fact) -> Option<ContentDigest> {
    match fact {
        Fact::Crash { content, .. }
        | Fact::PartCrash { part: content, .. }
        | Fact::Quarantined { content } => Some(content),
        _ => None,
    }
}

/// Logs what a target of this daemon did or said. Daemons that hear of it from others don't log it.
fn log_observed(fact: Fact) {
    match fact {
        Fact::Crash { .. } | Fact::PartCrash { .. } | Fact::Quarantined { .. } => (),
        Fact::Brittle { limit, target } => log::info!(
            limit = limit.map_or(-1, i64::from),
            target_digest = target;
            "a target says how many requests it can turn away"
        ),
        Fact::Leaving { target } => log::info!(
            target_digest = target;
            "a target says that it leaves"
        ),
        Fact::RateLimit { per_1000_s, target } => log::info!(
            per_s:% = per_1000_s.map_or(-1.0, |rate| f64::from(rate) / 1_000.0),
            target_digest = target;
            "a target advertises a rate limit"
        ),
        Fact::Completed { content } => log::info!(
            content:% = format_args!("{content:016x}");
            "a suspected request was completed"
        ),
    }
}

fn per_1000_s(rate: f64) -> u32 {
    (rate * 1_000.0).round() as u32
}

fn was_completed(completed: &RefCell<RecentContents>, content: ContentDigest) -> bool {
    completed.borrow_mut().contains(content, Instant::now())
}
