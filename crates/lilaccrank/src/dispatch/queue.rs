//! The queue of a pool: tiers in order, and inside a tier customers in fair order.
//!
//! Inside a tier the customer with the least virtual time goes first; a grant moves its virtual
//! time on by the request's tokens over the customer's weight. Work is counted in tokens because
//! lengths differ a hundredfold: counted in requests, a customer with long ones takes nearly all.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fair::{FairQueue, Position};
use super::work::Work;
use crate::ids::{CustomerId, Rank, RequestId, Tier};

/// Kinds of asks that wait for different room, so that one kind doesn't block another.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lane {
    /// Another target is to resume the answer.
    Resumed,
    /// Some targets are excluded.
    Excluding,
    /// The prompt is long.
    Long,
    /// All others.
    Short,
}

impl Lane {
    /// Every lane.
    pub const ALL: [Self; 4] = [Self::Resumed, Self::Excluding, Self::Long, Self::Short];
}

/// Where an ask stands among all that wait; lesser goes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Priority {
    /// Rank of its customer.
    pub rank: Rank,
    /// Its tier.
    pub tier: Tier,
}

/// What the queue knows of a waiting ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Whose request it is.
    pub customer: CustomerId,
    /// Where it waits.
    pub lane: Lane,
    /// The request.
    pub request: RequestId,
    /// Its standing.
    pub priority: Priority,
    /// When waiting longer has no use.
    pub until: Option<Instant>,
    /// Share of the customer.
    pub weight: u32,
    /// Its length.
    pub work: Work,
}

/// Asks that wait, in order of dispatch.
#[derive(Debug, Default)]
pub struct Queue {
    expiries: BTreeSet<(Instant, RequestId)>,
    items: IndexMap<RequestId, Item>,
    next_sequence: u64,
    sequences: IndexMap<RequestId, u64>,
    priorities: BTreeMap<Priority, FairQueue>,
}

impl Queue {
    /// Puts an ask behind the others of its customer. A request waits once: an earlier item of
    /// the same request is replaced.
    pub fn push(&mut self, item: Item) {
        self.remove(&item.request);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if let Some(until) = item.until {
            self.expiries.insert((until, item.request.clone()));
        }
        self.priorities
            .entry(item.priority)
            .or_default()
            .push(&item, sequence);
        self.sequences.insert(item.request.clone(), sequence);
        self.items.insert(item.request.clone(), item);
    }

    /// Takes an ask out because it is granted, and charges its customer.
    pub fn grant(&mut self, request: &str) -> Option<Item> {
        self.take(request, FairQueue::charge)
    }

    /// Takes an ask out without a charge.
    pub fn remove(&mut self, request: &str) -> Option<Item> {
        self.take(request, |_, _| ())
    }

    fn take(&mut self, request: &str, on_take: impl Fn(&mut FairQueue, &Item)) -> Option<Item> {
        let item = self.items.swap_remove(request)?;
        let sequence = self.sequences.swap_remove(request)?;
        if let Some(until) = item.until {
            self.expiries.remove(&(until, item.request.clone()));
        }
        let queue = self.priorities.get_mut(&item.priority)?;
        on_take(queue, &item);
        queue.remove(&item, sequence);
        Some(item)
    }

    /// Standings with waiting asks, the first to go first.
    pub fn priorities(&self) -> impl Iterator<Item = Priority> + '_ {
        let nonempty = self
            .priorities
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        nonempty.map(|(priority, _)| *priority)
    }

    /// The first standing with an ask that would take any target with room. A resumed answer takes only
    /// targets that finish it in time, so that room left to it would mostly stay unused.
    #[must_use]
    pub fn first_competing_priority(&self) -> Option<Priority> {
        let lanes = [Lane::Excluding, Lane::Long, Lane::Short];
        let has_competing_ask = |priority: &Priority| {
            let mut lanes = lanes.into_iter();
            lanes.any(|lane| self.heads(*priority, lane).next().is_some())
        };
        self.priorities().find(has_competing_ask)
    }

    /// The first ask of each customer in one lane, in fair order.
    pub fn heads(&self, priority: Priority, lane: Lane) -> impl Iterator<Item = &Position> + '_ {
        self.priorities
            .get(&priority)
            .into_iter()
            .flat_map(move |queue| queue.heads(lane))
    }

    /// The ask to shed next: of the last standing that waits, of the customer with the most work
    /// waiting for its weight, the newest. So a burst of one customer costs only its own places.
    #[must_use]
    pub fn victim(&self) -> Option<&Item> {
        let request = self.priorities.values().rev().find_map(FairQueue::victim)?;
        self.items.get(request)
    }

    /// The next ask for which it is too late at `now`. One that may not wait at all still has its
    /// chance at the moment it comes.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Option<&RequestId> {
        let (until, request) = self.expiries.first()?;
        (*until < now).then_some(request)
    }

    /// Work that goes before a new ask of this customer: all of the standings before its own, and
    /// of its own only each customer's fair part up to the new ask's turn.
    #[must_use]
    pub fn work_ahead(&self, priority: Priority, customer: &str, weight: u32) -> Work {
        let before = self.priorities.range(..priority);
        let before = before.map(|(_, queue)| queue.total());
        let own = self.priorities.get(&priority);
        let own = own.map_or(Work::default(), |queue| queue.work_ahead(customer, weight));
        before.fold(own, |sum, work| sum + work)
    }

    /// All work of this standing and of those before it.
    #[must_use]
    pub fn work_up_to(&self, priority: Priority) -> Work {
        let queues = self.priorities.range(..=priority);
        let works = queues.map(|(_, queue)| queue.total());
        works.fold(Work::default(), |sum, work| sum + work)
    }

    /// An ask by its request.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&Item> {
        self.items.get(request)
    }

    /// Asks that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of asks waiting in a tier.
    #[must_use]
    pub fn waiting(&self, tier: Tier) -> usize {
        let queues = self.priorities.iter();
        let of_tier = queues.filter(|(priority, _)| priority.tier == tier);
        of_tier.map(|(_, queue)| queue.len()).sum()
    }

    /// All that waits, in no order.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> + '_ {
        self.items.keys()
    }
}
