//! Fair order between the customers of one tier.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::queue::{Item, Lane};
use super::work::Work;
use crate::ids::{CustomerId, RequestId};

/// Virtual time of one token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 10;
/// Customers without waiting work that are remembered before a sweep.
const IDLE_FLOW_LIMIT: usize = 4096;

/// Place of a customer's first ask in the order of its tier; lesser goes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    virtual_time: u64,
    sequence: u64,
    /// The ask.
    pub request: RequestId,
}

/// Waiting asks of one customer.
#[derive(Debug, Default)]
struct Flow {
    backlog: Work,
    lanes: [BTreeMap<u64, RequestId>; Lane::ALL.len()],
    virtual_time: u64,
    weight: u64,
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.lanes.iter().all(BTreeMap::is_empty)
    }

    fn weighted_backlog(&self) -> u64 {
        self.backlog.tokens() * VIRTUAL_TIME_PER_TOKEN / self.weight
    }

    fn position(&self, lane: Lane) -> Option<Position> {
        let (&sequence, request) = self.lanes[lane as usize].first_key_value()?;
        Some(Position {
            virtual_time: self.virtual_time,
            sequence,
            request: request.clone(),
        })
    }

    fn newest(&self) -> Option<&RequestId> {
        let last = self.lanes.iter().filter_map(BTreeMap::last_key_value);
        last.max_by_key(|(sequence, _)| **sequence)
            .map(|(_, request)| request)
    }
}

/// Waiting asks of one tier.
#[derive(Debug, Default)]
pub struct FairQueue {
    weighted_backlogs: BTreeSet<(u64, CustomerId)>,
    flows: IndexMap<CustomerId, Flow>,
    heads: [BTreeSet<Position>; Lane::ALL.len()],
    idle: usize,
    len: usize,
    total: Work,
    virtual_time: u64,
}

impl FairQueue {
    /// Adds an ask. A customer that had nothing waiting starts at the tier's virtual time: time
    /// without work earns no credit, else a customer could save up and then shut others out.
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
            flow.lanes[item.lane as usize].insert(sequence, item.request.clone());
        });
        self.len += 1;
        self.total += item.work;
    }

    /// Takes out an ask.
    pub fn remove(&mut self, item: &Item, sequence: u64) {
        self.update(&item.customer, |flow| {
            flow.backlog -= item.work;
            flow.lanes[item.lane as usize].remove(&sequence);
        });
        self.len -= 1;
        self.total -= item.work;
        if self.flows[&item.customer].is_empty() {
            self.idle += 1;
            self.prune_idle();
        }
    }

    /// Charges a customer for a granted ask.
    pub fn charge(&mut self, item: &Item) {
        let mut start = 0;
        self.update(&item.customer, |flow| {
            start = flow.virtual_time;
            flow.virtual_time += item.work.tokens() * VIRTUAL_TIME_PER_TOKEN / flow.weight;
        });
        self.virtual_time = self.virtual_time.max(start);
    }

    /// The first ask of each customer in a lane, in order.
    pub fn heads(&self, lane: Lane) -> impl Iterator<Item = &Position> + '_ {
        self.heads[lane as usize].iter()
    }

    /// The newest ask of the customer with the most work for its weight.
    pub fn victim(&self) -> Option<&RequestId> {
        let (_, customer) = self.weighted_backlogs.last()?;
        self.flows[customer].newest()
    }

    /// Work before a new ask of `customer`: its own, and of each other customer as much as its
    /// weight lets pass meanwhile.
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

    /// Work of all waiting asks.
    pub fn total(&self) -> Work {
        self.total
    }

    /// Number of waiting asks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Changes one flow and keeps the ordered sets in step with it.
    fn update(&mut self, customer: &str, f: impl FnOnce(&mut Flow)) {
        let flow = self.flows.entry(customer.to_owned()).or_default();
        for lane in Lane::ALL {
            if let Some(position) = flow.position(lane) {
                self.heads[lane as usize].remove(&position);
            }
        }
        if !flow.is_empty() {
            self.weighted_backlogs
                .remove(&(flow.weighted_backlog(), customer.to_owned()));
        }
        f(flow);
        for lane in Lane::ALL {
            self.heads[lane as usize].extend(flow.position(lane));
        }
        if !flow.is_empty() {
            self.weighted_backlogs
                .insert((flow.weighted_backlog(), customer.to_owned()));
        }
    }

    /// An idle customer is remembered while it is ahead of the tier's virtual time: forgotten
    /// sooner, it would come back without the debt. Behind it the memory has no effect.
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
