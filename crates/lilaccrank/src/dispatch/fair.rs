//! Weighted fair queue of the customers of one priority.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::queue::{Item, RequestClass};
use super::work::Work;
use crate::ids::{CustomerId, RequestId};

/// Virtual time per token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 10;
/// Number of idle customers kept before a cleanup.
const IDLE_FLOW_LIMIT: usize = 4096;

/// Position of a customer's first submission in the order of its priority; lower goes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    virtual_time: u64,
    sequence: u64,
    /// Request of the submission.
    pub request: RequestId,
}

/// Waiting submissions of one customer.
#[derive(Debug, Default)]
struct Flow {
    backlog: Work,
    request_classes: [BTreeMap<u64, RequestId>; RequestClass::ALL.len()],
    virtual_time: u64,
    weight: u64,
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.request_classes.iter().all(BTreeMap::is_empty)
    }

    fn weighted_backlog(&self) -> u64 {
        self.backlog.tokens() * VIRTUAL_TIME_PER_TOKEN / self.weight
    }

    fn position(&self, request_class: RequestClass) -> Option<Position> {
        let (&sequence, request) =
            self.request_classes[request_class as usize].first_key_value()?;
        Some(Position {
            virtual_time: self.virtual_time,
            sequence,
            request: request.clone(),
        })
    }

    fn positions(&self, request_class: RequestClass) -> impl Iterator<Item = Position> + '_ {
        let waiting = self.request_classes[request_class as usize].iter();
        waiting.map(|(&sequence, request)| Position {
            virtual_time: self.virtual_time,
            sequence,
            request: request.clone(),
        })
    }

    fn newest(&self) -> Option<&RequestId> {
        let last = self
            .request_classes
            .iter()
            .filter_map(BTreeMap::last_key_value);
        last.max_by_key(|(sequence, _)| **sequence)
            .map(|(_, request)| request)
    }
}

/// Waiting submissions of one priority.
#[derive(Debug, Default)]
pub struct FairQueue {
    weighted_backlogs: BTreeSet<(u64, CustomerId)>,
    flows: IndexMap<CustomerId, Flow>,
    heads: [BTreeSet<Position>; RequestClass::ALL.len()],
    idle: usize,
    len: usize,
    total: Work,
    virtual_time: u64,
}

impl FairQueue {
    /// Adds a submission. A customer without waiting submissions starts at the queue's virtual
    /// time: idle time earns no credit, since a customer could otherwise accumulate credit and then
    /// block the others.
    pub fn push(&mut self, item: &Item, sequence: u64) {
        let virtual_time = self.virtual_time;
        let idle = self.flows.get(&item.customer).is_some_and(Flow::is_empty);
        self.idle -= usize::from(idle);
        self.update(&item.customer, |flow| {
            flow.weight = u64::from(item.weight.max(1));
            flow.virtual_time = match flow.is_empty() {
                true => flow.virtual_time.max(virtual_time),
                false => flow.virtual_time,
            };
            flow.backlog += item.work;
            flow.request_classes[item.request_class as usize]
                .insert(sequence, item.request.clone());
        });
        self.len += 1;
        self.total += item.work;
    }

    /// Removes a submission.
    pub fn remove(&mut self, item: &Item, sequence: u64) {
        self.update(&item.customer, |flow| {
            flow.backlog -= item.work;
            flow.request_classes[item.request_class as usize].remove(&sequence);
        });
        self.len -= 1;
        self.total -= item.work;
        if self.flows[&item.customer].is_empty() {
            self.idle += 1;
            self.prune_idle();
        }
    }

    /// Advances the virtual time of a customer whose submission is granted.
    pub fn charge(&mut self, item: &Item) {
        let mut start = 0;
        self.update(&item.customer, |flow| {
            start = flow.virtual_time;
            flow.virtual_time += item.work.tokens() * VIRTUAL_TIME_PER_TOKEN / flow.weight;
        });
        self.virtual_time = self.virtual_time.max(start);
    }

    /// First submission of each customer in a request class, in order.
    pub fn heads(&self, request_class: RequestClass) -> impl Iterator<Item = &Position> + '_ {
        self.heads[request_class as usize].iter()
    }

    /// All submissions of a request class, in order.
    pub fn in_class(&self, request_class: RequestClass) -> Vec<Position> {
        if self.heads[request_class as usize].is_empty() {
            return Vec::new();
        }
        let flows = self.flows.values();
        let mut positions: Vec<_> = flows
            .flat_map(|flow| flow.positions(request_class))
            .collect();
        positions.sort_unstable();
        positions
    }

    /// Newest submission of the customer with the largest backlog per weight.
    pub fn victim(&self) -> Option<&RequestId> {
        let (_, customer) = self.weighted_backlogs.last()?;
        self.flows[customer].newest()
    }

    /// Work ahead of a new submission of `customer`: its own backlog, and for each other customer
    /// the share that its weight allows meanwhile.
    pub fn work_ahead(&self, customer: &str, weight: u32) -> Work {
        let own = self.flows.get(customer);
        let own = own.map_or(Work::default(), |flow| flow.backlog);
        let rounds = own.tokens() as f64 / f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(id, _)| *id != customer);
        others.fold(own, |sum, (_, flow)| {
            let tokens = flow.backlog.tokens() as f64;
            let part = (rounds * flow.weight as f64 / tokens).min(1.0);
            sum + Work {
                decode: (flow.backlog.decode as f64 * part) as u64,
                prefill: (flow.backlog.prefill as f64 * part) as u64,
            }
        })
    }

    /// Total work of all waiting submissions.
    pub fn total(&self) -> Work {
        self.total
    }

    /// Number of waiting submissions.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if no submission waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Updates one flow and keeps the ordered sets consistent with it.
    fn update(&mut self, customer: &str, f: impl FnOnce(&mut Flow)) {
        let flow = self.flows.entry(customer.to_owned()).or_default();
        for request_class in RequestClass::ALL {
            if let Some(position) = flow.position(request_class) {
                self.heads[request_class as usize].remove(&position);
            }
        }
        if !flow.is_empty() {
            self.weighted_backlogs
                .remove(&(flow.weighted_backlog(), customer.to_owned()));
        }
        f(flow);
        for request_class in RequestClass::ALL {
            self.heads[request_class as usize].extend(flow.position(request_class));
        }
        if !flow.is_empty() {
            self.weighted_backlogs
                .insert((flow.weighted_backlog(), customer.to_owned()));
        }
    }

    /// Removes idle customers whose virtual time isn't ahead of the queue's. Customers that are
    /// ahead are kept, since their virtual time would otherwise be reset when they return.
    fn prune_idle(&mut self) {
        if self.idle <= IDLE_FLOW_LIMIT {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.virtual_time > virtual_time);
        self.idle = self.flows.values().filter(|flow| flow.is_empty()).count();
    }
}
