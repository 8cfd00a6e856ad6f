//! Brittle targets, which fall over once they have to turn too many requests away in a second.
//!
//! Dispatchers of the same target don't see each other's latest grants. Each slot of a brittle target
//! therefore has an owner. A dispatcher uses its own slots freely, and those of others only while
//! several are free.

use std::time::{Duration, Instant};

/// Time in which a target counts the requests that it turns away.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of free slots that must remain when a dispatcher uses a slot of another one, for grants that
/// it has not heard of.
const MARGIN: u32 = 2;
/// Time after which one more slot is tried on a target that had less room than slots.
const REGROWTH_INTERVAL: Duration = Duration::from_secs(2);

/// What a brittle target said, and what this dispatcher may do about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Requests that the target can turn away in a second.
    pub limit: u32,
    /// Bit set of the slots that this dispatcher owns.
    pub owned: u64,
}

/// State of a brittle target.
#[derive(Clone, Debug)]
pub struct Brittle {
    held_until: Option<Instant>,
    /// Room at the time at which the target turned a request away.
    room: Option<(u32, Instant)>,
    share: Share,
    /// Before the first digests of the other dispatchers, their load is unknown.
    since: Instant,
}

impl Brittle {
    /// Creates the state of a target that has become brittle.
    #[must_use]
    pub fn new(share: Share, now: Instant) -> Self {
        Self {
            held_until: None,
            room: None,
            share,
            since: now,
        }
    }

    /// What the target said last.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Replaces what the target said.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Records that the target turned a request away while it had `running` requests, that one
    /// included.
    pub fn record_turned_away(&mut self, running: u32, now: Instant) {
        let room = running.saturating_sub(1).max(1);
        self.room = Some((room, now));
        let from = self.held_until.map_or(now, |until| until.max(now));
        self.held_until = Some(from + WINDOW / self.share.limit.max(1));
    }

    /// Returns `true` if one more request may be granted on a target with `slots` slots and `running`
    /// requests, `own` of which are this dispatcher's.
    #[must_use]
    pub fn allows(&self, slots: u32, running: u32, own: u32, now: Instant) -> bool {
        if self.held_until.is_some_and(|until| now < until) {
            return false;
        }
        let room = self.room(slots, now);
        let is_settled = now.saturating_duration_since(self.since) >= WINDOW;
        let free = room.saturating_sub(running);
        (free > 0 && own < self.owned(room)) || (is_settled && free > MARGIN)
    }

    /// Slots that can be used: a target with less room than slots is tried with one more from time to
    /// time.
    fn room(&self, slots: u32, now: Instant) -> u32 {
        let Some((room, at)) = self.room else {
            return slots;
        };
        let since = now.saturating_duration_since(at).as_millis();
        let regrown = since / REGROWTH_INTERVAL.as_millis();
        let regrown = u32::try_from(regrown).unwrap_or(u32::MAX);
        room.saturating_add(regrown).min(slots)
    }

    /// Number of the first `room` slots that this dispatcher owns.
    fn owned(&self, room: u32) -> u32 {
        let mask = match room {
            0..64 => (1 << room) - 1,
            _ => u64::MAX,
        };
        (self.share.owned & mask).count_ones()
    }
}
