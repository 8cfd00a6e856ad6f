//! Leases on the slots of brittle targets, which fall over once they have to turn too many requests
//! away in a second.
//!
//! The loads that dispatchers hear of each other are late, so any number of them may take the same
//! free slot. One daemon is therefore the arbiter of each brittle target. It leases out as many slots
//! as the target has room for, learns the room from rejections, and tries one more from time to time,
//! on behalf of all daemons. All state is soft: after a change of the arbiter, the holders register
//! their leases with the new one.

use std::time::{Duration, Instant};

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::dispatch::queue::Priority;
use crate::request_key::MemberRef;
use crate::target_instance::InstanceDigest;

/// Identifies a lease, or a request for one.
pub type LeaseId = u64;

/// Time in which a target counts the requests that it turns away.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after which one more slot is tried on a target that had less room than slots.
const REGROWTH_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a target may have regained all room that it ever had.
const ROOM_LIFETIME: Duration = Duration::from_secs(60);
/// Longest term of a lease. A holder that has lost its release returns the slot by then.
const MAX_TERM: Duration = Duration::from_secs(600);
/// Time after which a holder may ask again for a slot of a full target.
const FULL_RETRY: Duration = Duration::from_millis(20);

/// Requests a lease, or registers a request that runs already.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The daemon that owns the request.
    pub holder: MemberRef,
    /// The lease.
    pub id: LeaseId,
    /// Set if the request runs at the target already.
    pub is_running: bool,
    /// Requests that the target can turn away in a second.
    pub limit: u32,
    /// Set if the request may wait for a slot.
    pub may_wait: bool,
    /// Order among the requests that wait.
    pub priority: Priority,
    /// Slots of the target.
    pub slots: u32,
    /// The target.
    pub target: InstanceDigest,
    /// Time until the request is due.
    pub term: Option<Duration>,
}

/// Returns a lease, or withdraws the request for one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// The lease.
    pub id: LeaseId,
    /// Set if the target turned the request away.
    pub is_turned_away: bool,
    /// The target.
    pub target: InstanceDigest,
}

/// Answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// The request may be sent.
    #[display("granted")]
    Granted,
    /// The arbiter grants the lease once a slot is free.
    #[display("queued")]
    Queued,
    /// The target gets no more requests for this time.
    #[display("declined for {} ms", _0.as_millis())]
    Declined(Duration),
}

/// A lease that is granted to a request that has waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// The daemon that owns the request.
    pub holder: MemberRef,
    /// The lease.
    pub id: LeaseId,
    /// The target.
    pub target: InstanceDigest,
}

/// Leases on the targets that one daemon arbitrates.
#[derive(Debug, Default)]
pub struct Arbiter {
    targets: IndexMap<InstanceDigest, Slots>,
}

#[derive(Debug)]
struct Slots {
    held_until: Option<Instant>,
    leases: IndexMap<LeaseId, Lease>,
    limit: u32,
    /// Room at the time at which the target turned a request away.
    room: Option<(u32, Instant)>,
    slots: u32,
    waiting: Vec<LeaseRequest>,
}

#[derive(Debug)]
struct Lease {
    expires: Instant,
    holder: MemberRef,
}

impl Arbiter {
    /// Decides on a request. An arbiter that has just taken over does not know all leases, and declines
    /// until `settled_at`.
    pub fn acquire(
        &mut self,
        req: &LeaseRequest,
        settled_at: Option<Instant>,
        now: Instant,
    ) -> Decision {
        let slots = self.targets.entry(req.target).or_insert_with(|| Slots {
            held_until: None,
            leases: IndexMap::new(),
            limit: req.limit,
            room: None,
            slots: req.slots,
            waiting: Vec::new(),
        });
        slots.limit = req.limit;
        slots.slots = req.slots;
        if req.is_running || slots.leases.contains_key(&req.id) {
            slots.lease(req, now);
            return Decision::Granted;
        }
        let until = settled_at.max(slots.held_until);
        if let Some(until) = until.filter(|until| now < *until) {
            return Decision::Declined(until - now);
        }
        if slots.waiting.is_empty() && slots.has_room(now) {
            slots.lease(req, now);
            return Decision::Granted;
        }
        if !req.may_wait || slots.waiting.len() >= slots.slots as usize {
            return Decision::Declined(FULL_RETRY);
        }
        slots.waiting.push(req.clone());
        Decision::Queued
    }

    /// Returns a lease, or withdraws the request for one.
    pub fn release(&mut self, release: &Release, now: Instant) {
        let Some(slots) = self.targets.get_mut(&release.target) else {
            return;
        };
        slots.waiting.retain(|req| req.id != release.id);
        let is_held = slots.leases.swap_remove(&release.id).is_some();
        if is_held && release.is_turned_away {
            slots.record_turned_away(now);
        }
    }

    /// Grants slots that are free to the requests that wait, the first in priority first.
    pub fn grant_waiting(&mut self, now: Instant) -> Vec<Granted> {
        let mut granted = Vec::new();
        for (target, slots) in &mut self.targets {
            while !slots.is_held(now) && slots.has_room(now) {
                let Some(req) = slots.next_waiting() else {
                    break;
                };
                slots.lease(&req, now);
                granted.push(Granted {
                    holder: req.holder,
                    id: req.id,
                    target: *target,
                });
            }
        }
        granted
    }

    /// Drops the leases and requests of daemons that have died.
    pub fn retain_holders(&mut self, is_alive: impl Fn(&MemberRef) -> bool) {
        for slots in self.targets.values_mut() {
            slots.leases.retain(|_, lease| is_alive(&lease.holder));
            slots.waiting.retain(|req| is_alive(&req.holder));
        }
    }

    /// Drops leases that have expired, and targets that nothing is known of any more.
    pub fn expire(&mut self, now: Instant) {
        for slots in self.targets.values_mut() {
            slots.leases.retain(|_, lease| now < lease.expires);
        }
        self.targets.retain(|_, slots| !slots.is_unused(now));
    }

    /// Number of leases on a target.
    #[must_use]
    pub fn leases(&self, target: InstanceDigest) -> usize {
        let slots = self.targets.get(&target);
        slots.map_or(0, |slots| slots.leases.len())
    }

    /// Returns `true` if no target has leases or requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

impl Slots {
    fn lease(&mut self, req: &LeaseRequest, now: Instant) {
        let term = req.term.unwrap_or(MAX_TERM).min(MAX_TERM);
        let lease = Lease {
            expires: now + term,
            holder: req.holder.clone(),
        };
        self.leases.insert(req.id, lease);
    }

    fn next_waiting(&mut self) -> Option<LeaseRequest> {
        let waiting = self.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(at, req)| (req.priority, *at));
        let (at, _) = first?;
        Some(self.waiting.remove(at))
    }

    /// Records that the target turned a request away, which has just returned its lease.
    fn record_turned_away(&mut self, now: Instant) {
        let running = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        self.room = Some((running.clamp(1, self.slots.max(1)), now));
        let from = self.held_until.map_or(now, |until| until.max(now));
        self.held_until = Some(from + WINDOW / self.limit.max(1));
    }

    fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    fn has_room(&self, now: Instant) -> bool {
        (self.leases.len() as u64) < u64::from(self.room(now))
    }

    /// Slots that can be used: a target with less room than slots is tried with one more from time to
    /// time.
    fn room(&self, now: Instant) -> u32 {
        let Some((room, at)) = self.room else {
            return self.slots;
        };
        let since = now.saturating_duration_since(at).as_millis();
        let regrown = since / REGROWTH_INTERVAL.as_millis();
        let regrown = u32::try_from(regrown).unwrap_or(u32::MAX);
        room.saturating_add(regrown).min(self.slots)
    }

    fn is_unused(&self, now: Instant) -> bool {
        let is_room_known = self
            .room
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < ROOM_LIFETIME);
        self.leases.is_empty() && self.waiting.is_empty() && !is_room_known
    }
}
