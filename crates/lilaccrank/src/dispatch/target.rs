//! One target of the pool.

use std::time::{Duration, Instant};

use super::estimate::Estimate;
use super::health::Health;
use super::queue::Standing;
use super::rate_limit::{RateLimit, Share};
use crate::ids::DataCentre;
use crate::target_instance::{InstanceDigest, TargetInstance};

/// Time for which room that another daemon gave back is left to the daemon whose ask goes first.
///
/// All daemons of a cell hear of the room at the same moment. If each that has an ask waiting took it,
/// most of these asks would wait in the target's own queue, which knows no tiers: under a burst one
/// grant in three went to a target that was full already. The first daemon's grant is told within 25
/// milliseconds; should it not want the room after all, a slot stands empty for these few.
const LEFT_TO_FIRST: Duration = Duration::from_millis(40);

/// The first of the asks that wait at other daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rival {
    /// Whether it goes before asks of this daemon with the same standing, by a draw for each target.
    pub goes_before_equals: bool,
    /// Where it stands.
    pub standing: Standing,
}

impl Rival {
    /// Whether it goes before an ask of this daemon.
    fn goes_before(self, standing: Standing) -> bool {
        self.standing < standing || (self.standing == standing && self.goes_before_equals)
    }
}

/// A target and what is known of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Load and speed.
    pub estimate: Estimate,
    /// Signs of life.
    pub health: Health,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Its name and its life.
    pub life: TargetInstance,
    /// The number that stands for its life in messages between daemons.
    pub digest: InstanceDigest,
    /// Whether it may get new work.
    pub live: bool,
    /// Long prompts sent whose first token has not come.
    pub long: u32,
    /// When another daemon last gave room back, and who waited elsewhere then.
    pub(super) opened: Option<(Instant, Rival)>,
    /// The cell's share of the rate that the target advertises.
    pub rate_limit: Option<RateLimit>,
    /// The first of the asks that wait at other daemons of the cell.
    pub rival: Option<Rival>,
    /// Running count of this daemon's requests to it.
    pub sent: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Number of the last grant, over all targets.
    pub turn: u64,
}

impl Target {
    /// A live target that was never seen.
    #[must_use]
    pub fn new(life: TargetInstance, slots: u32, now: Instant) -> Self {
        Self {
            digest: life.digest(),
            estimate: Estimate::new(now),
            health: Health::new(now),
            data_centre: DataCentre::default(),
            life,
            live: true,
            long: 0,
            opened: None,
            rate_limit: None,
            rival: None,
            sent: 0,
            slots,
            turn: 0,
        }
    }

    /// A target that is known only from a request that runs there.
    #[must_use]
    pub fn leaving(life: TargetInstance, now: Instant) -> Self {
        Self {
            live: false,
            ..Self::new(life, 0, now)
        }
    }

    /// Sets the cell's share of the rate that the target advertises; `None` if it advertises none.
    pub fn set_rate_limit(&mut self, share: Option<Share>, now: Instant) {
        if self.rate_limit.map(|limit| limit.share()) == share {
            return;
        }
        log::info!(
            burst:% = share.map_or(-1.0, |share| share.burst),
            per_s:% = share.map_or(-1.0, |share| share.per_s),
            target_digest = self.digest,
            target_id = self.life.id;
            "share of a target's rate limit"
        );
        match (&mut self.rate_limit, share) {
            (Some(limit), Some(share)) => limit.set(share, now),
            (limit, share) => *limit = share.map(|share| RateLimit::new(share, now)),
        }
    }

    /// Whether its rate limit admits a request beside the tokens reserved for earlier tiers and for a rival that
    /// goes first.
    #[must_use]
    pub fn is_within_rate_limit(
        &self,
        standing: Standing,
        left_to_tiers: u32,
        now: Instant,
    ) -> bool {
        self.rate_limit.is_none_or(|limit| {
            let rival = self.rival.is_some_and(|rival| rival.goes_before(standing));
            limit.allows(left_to_tiers + u32::from(rival), now)
        })
    }

    /// Charges requests that another daemon of the cell sent.
    pub fn sent_by_peer(&mut self, requests: u32, now: Instant) {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(requests, now);
        }
    }

    /// Another daemon gave room back while `rival` waited elsewhere.
    pub fn opened(&mut self, rival: Option<Rival>, now: Instant) {
        self.opened = rival.map(|rival| (now, rival));
    }

    /// Whether room that another daemon has just given back is left to an ask of a third one.
    #[must_use]
    pub fn is_left_to_rival(&self, standing: Standing, now: Instant) -> bool {
        self.opened.is_some_and(|(at, rival)| {
            rival.goes_before(standing) && now.saturating_duration_since(at) < LEFT_TO_FIRST
        })
    }

    /// Slots that are used at its present speed: a slowed target gets less, but at least one
    /// request, by which it can show that it is well again.
    #[must_use]
    pub fn slots_now(&self, now: Instant) -> u32 {
        let slowness = self.estimate.slowness(now);
        if slowness <= 1.0 {
            return self.slots;
        }
        let slots = f64::from(self.slots) / slowness;
        (slots.round() as u32).clamp(1.min(self.slots), self.slots)
    }
}
