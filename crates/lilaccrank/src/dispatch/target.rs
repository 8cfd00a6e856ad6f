//! State of one target of the pool.

use std::time::{Duration, Instant};

use super::estimate::Estimate;
use super::health::{Health, State};
use super::pushback::Pushback;
use super::queue::Priority;
use super::rate_limit::{RateLimit, Share};
use super::unanswered::Unanswered;
use crate::ids::{DataCentre, VmId};
use crate::paths::Route;
use crate::software_version::{VersionDigest, VersionNeeds};
use crate::target_instance::{InstanceDigest, TargetInstance};

/// Time for which a slot freed by another daemon is left to the daemon whose submission goes first.
///
/// All daemons of a cell learn of a free slot at the same time. If each of them used it, most of
/// these submissions would wait in the target's own queue, which ignores tiers: in a burst, a third
/// of the grants went to targets that were already full. The grant of the first daemon is announced
/// within 25 ms; if that daemon doesn't use the slot, it stays free for the rest of this time.
const FREED_SLOT_HOLD: Duration = Duration::from_millis(40);

/// First waiting submission of the other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerWaiter {
    /// Set if it goes before submissions of this daemon with the same priority, decided by a
    /// rendezvous hash per target.
    pub wins_ties: bool,
    /// Priority of the submission.
    pub priority: Priority,
}

impl PeerWaiter {
    /// Returns `true` if it goes before a submission of this daemon with this priority.
    fn precedes(self, priority: Priority) -> bool {
        self.priority < priority || (self.priority == priority && self.wins_ties)
    }
}

/// Target with its estimated load, speed and health.
#[derive(Clone, Debug)]
pub struct Target {
    /// Estimated load and speed.
    pub estimate: Estimate,
    /// Observed health.
    pub health: Health,
    /// Time until which it has no free slot, as the arbiter of its slots said.
    pub(super) held_until: Option<Instant>,
    /// Data centre of the target.
    pub data_centre: DataCentre,
    /// Name and incarnation of the target.
    pub instance: TargetInstance,
    /// Digest of its incarnation, used in messages between daemons.
    pub digest: InstanceDigest,
    /// Set if the target may get new work.
    pub live: bool,
    /// Number of its requests with a long prompt and no first token yet.
    pub long_prefills: u32,
    /// When another daemon last freed capacity, and the first submission waiting elsewhere at that
    /// time.
    pub(super) freed_by_peer: Option<(Instant, PeerWaiter)>,
    /// Pause that it has asked for, until a request has been accepted after it.
    pub pushback: Option<Pushback>,
    /// How requests of this daemon get to it.
    pub route: Route,
    /// The cell's share of the rate limit that the target advertises.
    pub rate_limit: Option<RateLimit>,
    /// First waiting submission of the other daemons of the cell.
    pub peer_waiter: Option<PeerWaiter>,
    /// Cumulative number of requests that this daemon has sent to it.
    pub sent: u32,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Set if the target belongs to another cell and may get resumed streams only.
    pub spare: bool,
    /// Sequence number of its last grant, counted over all targets.
    pub grant_sequence: u64,
    /// Requests that lie there without a sign of life.
    pub unanswered: Unanswered,
    /// Version of its software; `None` if unknown.
    pub version: Option<VersionDigest>,
}

impl Target {
    /// Creates a live target without any history.
    #[must_use]
    pub fn new(instance: TargetInstance, slots: u32, now: Instant) -> Self {
        Self {
            digest: instance.digest(),
            estimate: Estimate::new(now),
            health: Health::new(now),
            data_centre: DataCentre::default(),
            held_until: None,
            instance,
            live: true,
            long_prefills: 0,
            freed_by_peer: None,
            pushback: None,
            route: Route::default(),
            rate_limit: None,
            peer_waiter: None,
            sent: 0,
            slots,
            spare: false,
            grant_sequence: 0,
            unanswered: Unanswered::new(now),
            version: None,
        }
    }

    /// Creates a target that is not in the configuration and known only from a running request.
    #[must_use]
    pub fn unlisted(instance: TargetInstance, now: Instant) -> Self {
        Self {
            live: false,
            ..Self::new(instance, 0, now)
        }
    }

    /// Returns `true` if a request that demands this of the version may be sent to the target.
    #[must_use]
    pub fn serves(&self, needs: VersionNeeds) -> bool {
        (self.live || (self.spare && !needs.origin.is_new())) && needs.permit(self.version)
    }

    /// Applies the observation of a part of an answer, which is a sign of life.
    pub(super) fn observe_answer(
        &mut self,
        observer: &VmId,
        now: Instant,
        observe: impl FnOnce(&mut Health),
    ) {
        self.unanswered.record_sign_of_life(now);
        self.observe(observer, now, observe);
    }

    /// Applies an observation to the health, and logs a change of its state with the daemon that made
    /// the observation. Returns `true` if the target has become unresponsive.
    pub(super) fn observe(
        &mut self,
        observer: &VmId,
        now: Instant,
        observe: impl FnOnce(&mut Health),
    ) -> bool {
        let before = self.health.state();
        observe(&mut self.health);
        let state = self.health.state();
        let is_silent = before == State::Healthy && state == State::Unresponsive;
        if is_silent {
            self.unanswered.record_silent(self.estimate.batch(now), now);
        }
        if state != before {
            log::info!(
                before:% = before,
                observer = observer.as_str(),
                state:% = state,
                target = self.instance.id.as_str();
                "health of a target changed"
            );
        }
        is_silent
    }

    /// Records that the connection of a request was lost.
    pub(super) fn fail(&mut self, observer: &VmId, now: Instant) {
        self.unanswered.record_lost(self.estimate.batch(now), now);
        self.observe(observer, now, |health| health.record_failure(now));
    }

    /// Stops requests to a target at whose address another one answered a request. Returns `true` if
    /// the request was a trial of a silent target.
    pub(super) fn record_misdirected(&mut self, observer: &VmId, now: Instant) -> bool {
        self.unanswered.record_ended(now);
        self.eject(observer, now)
    }

    /// Stops requests to a target that is silent. Returns `true` if what shows it once more was a trial,
    /// which is counted.
    pub(super) fn eject(&mut self, observer: &VmId, now: Instant) -> bool {
        let is_trial = !self.observe(observer, now, |health| health.eject(now));
        if is_trial {
            self.unanswered.record_abandoned(1);
        }
        is_trial
    }

    /// Records that a request granted at `granted` was given up. Returns `true` if the target has become
    /// unresponsive.
    pub(super) fn give_up(&mut self, observer: &VmId, granted: Instant, now: Instant) -> bool {
        let is_silent = self.unanswered.shows_silence(granted, now)
            && self.observe(observer, now, |health| health.eject(now));
        if !self.unanswered.has_answered_since(granted) {
            self.unanswered.record_abandoned(1);
        }
        is_silent
    }

    /// Sets the cell's share of the rate limit that the target advertises; `None` removes the
    /// limit.
    pub fn set_rate_limit(&mut self, share: Option<Share>, now: Instant) {
        if self.rate_limit.map(|limit| limit.share()) == share {
            return;
        }
        log::info!(
            burst:% = share.map_or(-1.0, |share| share.burst),
            per_s:% = share.map_or(-1.0, |share| share.per_s),
            target_digest = self.digest,
            target_id = self.instance.id.as_str();
            "share of a target's rate limit"
        );
        match (&mut self.rate_limit, share) {
            (Some(limit), Some(share)) => limit.set(share, now),
            (limit, share) => *limit = share.map(|share| RateLimit::new(share, now)),
        }
    }

    /// Keeps the target from new grants until this time.
    pub(super) fn hold(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Returns `true` while the target gets no grants.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Returns `true` if the rate limit allows a request in addition to those reserved for earlier
    /// tiers and for a waiting submission of another daemon that goes first.
    #[must_use]
    pub fn is_within_rate_limit(
        &self,
        priority: Priority,
        reserved_for_tiers: u32,
        now: Instant,
    ) -> bool {
        self.rate_limit.is_none_or(|limit| {
            let peer_waiter = self
                .peer_waiter
                .is_some_and(|peer_waiter| peer_waiter.precedes(priority));
            limit.allows(reserved_for_tiers + u32::from(peer_waiter), now)
        })
    }

    /// Ends a pushback if the request that tried the target was accepted.
    pub(super) fn end_pushback(&mut self, was_trial: bool) {
        if was_trial {
            self.pushback = None;
        }
    }

    /// Charges the rate limit with requests that another daemon of the cell has sent.
    pub fn sent_by_peer(&mut self, requests: u32, now: Instant) {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(requests, now);
        }
    }

    /// Records that another daemon has freed capacity while `peer_waiter` was waiting.
    pub fn freed_by_peer(&mut self, peer_waiter: Option<PeerWaiter>, now: Instant) {
        self.freed_by_peer = peer_waiter.map(|peer_waiter| (now, peer_waiter));
    }

    /// Returns `true` if capacity that another daemon has just freed is left to a submission
    /// waiting elsewhere.
    #[must_use]
    pub fn is_held_for_peer(&self, priority: Priority, now: Instant) -> bool {
        self.freed_by_peer.is_some_and(|(at, peer_waiter)| {
            peer_waiter.precedes(priority) && now.saturating_duration_since(at) < FREED_SLOT_HOLD
        })
    }

    /// Number of slots usable at the current speed: a slow target gets fewer requests, but at least
    /// one to show that it has recovered.
    #[must_use]
    pub fn effective_slots(&self, now: Instant) -> u32 {
        let slowness = self.estimate.slowness(now);
        if slowness <= 1.0 {
            return self.slots;
        }
        let slots = f64::from(self.slots) / slowness;
        (slots.round() as u32).clamp(1.min(self.slots), self.slots)
    }
}
