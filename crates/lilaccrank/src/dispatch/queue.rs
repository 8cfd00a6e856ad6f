//! Queue of a pool: priorities in order, and weighted fair queueing between the customers of each.
//!
//! Within a priority, the customer with the least virtual time goes first; a grant advances its
//! virtual time by the tokens of the request divided by the customer's weight. Work is counted in
//! tokens because request lengths differ by a factor of a hundred: counted in requests, a customer
//! with long requests would get nearly all of the capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::fair::{FairQueue, Position};
use super::work::Work;
use crate::ids::{CustomerId, Rank, RequestId, Tier};

/// Classes of submissions that need different targets, so that one class doesn't block another.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// Resumes an answer on another target.
    Resumed,
    /// Excludes some targets, or all but one software version.
    Excluding,
    /// Has a long prompt.
    Long,
    /// All other submissions.
    Short,
}

impl RequestClass {
    /// All request classes.
    pub const ALL: [Self; 4] = [Self::Resumed, Self::Excluding, Self::Long, Self::Short];
}

/// Order of the waiting submissions by rank, then tier; lower goes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Priority {
    /// Rank of the customer.
    pub rank: Rank,
    /// Tier of the request.
    pub tier: Tier,
}

/// Queue entry of a waiting submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Customer that the request belongs to.
    pub customer: CustomerId,
    /// Request class that the submission waits in.
    pub request_class: RequestClass,
    /// Id of the request.
    pub request: RequestId,
    /// Priority of the submission.
    pub priority: Priority,
    /// Time at which the submission expires.
    pub until: Option<Instant>,
    /// Weight of the customer.
    pub weight: u32,
    /// Length in tokens.
    pub work: Work,
}

/// Waiting submissions in order of dispatch.
#[derive(Debug, Default)]
pub struct Queue {
    expiries: BTreeSet<(Instant, RequestId)>,
    items: IndexMap<RequestId, Item>,
    next_sequence: u64,
    sequences: IndexMap<RequestId, u64>,
    priorities: BTreeMap<Priority, FairQueue>,
}

impl Queue {
    /// Adds a submission after the others of its customer, and replaces an earlier submission of
    /// the same request.
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

    /// Removes a granted submission and charges its customer.
    pub fn grant(&mut self, request: &str) -> Option<Item> {
        self.take(request, FairQueue::charge)
    }

    /// Removes a submission without charging its customer.
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

    /// Priorities with waiting submissions, in order.
    pub fn priorities(&self) -> impl Iterator<Item = Priority> + '_ {
        let nonempty = self
            .priorities
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        nonempty.map(|(priority, _)| *priority)
    }

    /// First priority with a submission that would use any free slot. Resumed answers are ignored:
    /// they use only targets that finish them in time, so a slot held for them would mostly stay
    /// unused.
    #[must_use]
    pub fn first_competing_priority(&self) -> Option<Priority> {
        let request_classes = [
            RequestClass::Excluding,
            RequestClass::Long,
            RequestClass::Short,
        ];
        let has_competing_submission = |priority: &Priority| {
            let mut request_classes = request_classes.into_iter();
            request_classes
                .any(|request_class| self.heads(*priority, request_class).next().is_some())
        };
        self.priorities().find(has_competing_submission)
    }

    /// First submission of each customer in one request class, in fair order.
    pub fn heads(
        &self,
        priority: Priority,
        request_class: RequestClass,
    ) -> impl Iterator<Item = &Position> + '_ {
        self.priorities
            .get(&priority)
            .into_iter()
            .flat_map(move |queue| queue.heads(request_class))
    }

    /// All submissions of one request class, in fair order.
    #[must_use]
    pub fn in_class(&self, priority: Priority, request_class: RequestClass) -> Vec<Position> {
        let queue = self.priorities.get(&priority);
        queue.map_or_else(Vec::new, |queue| queue.in_class(request_class))
    }

    /// The submission to shed next: the newest one of the customer with the largest backlog per
    /// weight, in the last priority with waiting submissions. A burst of one customer therefore
    /// displaces only its own submissions.
    #[must_use]
    pub fn victim(&self) -> Option<&Item> {
        let request = self.priorities.values().rev().find_map(FairQueue::victim)?;
        self.items.get(request)
    }

    /// Returns a submission that has expired at `now`. A submission without any waiting time
    /// expires only after the moment of its arrival, so that it can still be granted at once.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Option<&RequestId> {
        let (until, request) = self.expiries.first()?;
        (*until < now).then_some(request)
    }

    /// Work ahead of a new submission of this customer: all work of the priorities before its own,
    /// and the fair share of each customer in its own.
    #[must_use]
    pub fn work_ahead(&self, priority: Priority, customer: &str, weight: u32) -> Work {
        let before = self.priorities.range(..priority);
        let before = before.map(|(_, queue)| queue.total());
        let own = self.priorities.get(&priority);
        let own = own.map_or(Work::default(), |queue| queue.work_ahead(customer, weight));
        before.fold(own, |sum, work| sum + work)
    }

    /// Total work of this priority and those before it.
    #[must_use]
    pub fn work_up_to(&self, priority: Priority) -> Work {
        let queues = self.priorities.range(..=priority);
        let works = queues.map(|(_, queue)| queue.total());
        works.fold(Work::default(), |sum, work| sum + work)
    }

    /// Looks up a submission by its request.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&Item> {
        self.items.get(request)
    }

    /// Number of waiting submissions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns `true` if no submission waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Number of waiting submissions of a tier.
    #[must_use]
    pub fn waiting(&self, tier: Tier) -> usize {
        let queues = self.priorities.iter();
        let of_tier = queues.filter(|(priority, _)| priority.tier == tier);
        of_tier.map(|(_, queue)| queue.len()).sum()
    }

    /// All waiting submissions, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> + '_ {
        self.items.keys()
    }
}
