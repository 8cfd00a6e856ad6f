//! Fair order between the customers of one tier.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::queue::{Item, Lane};
use super::work::Work;
use crate::ids::{CustomerId, RequestId};

/// Virtual time of one token at weight 1.
const SCALE: u64 = 1 << 10;
/// Customers without waiting work that are remembered before a sweep.
const IDLE_LIMIT: usize = 4096;

/// Place of a customer's first ask in the order of its tier; lesser goes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
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

    fn excess(&self) -> u64 {
        self.backlog.tokens() * SCALE / self.weight
    }

    fn place(&self, lane: Lane) -> Option<Place> {
        let (&sequence, request) = self.lanes[lane as usize].first_key_value()?;
        Some(Place {
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
    excesses: BTreeSet<(u64, CustomerId)>,
    flows: IndexMap<CustomerId, Flow>,
    heads: [BTreeSet<Place>; Lane::ALL.len()],
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
        self.change(&item.customer, |flow| {
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
        self.change(&item.customer, |flow| {
            flow.backlog -= item.work;
            flow.lanes[item.lane as usize].remove(&sequence);
        });
        self.len -= 1;
        self.total -= item.work;
        if self.flows[&item.customer].is_empty() {
            self.idle += 1;
            self.forget_idle();
        }
    }

    /// Charges a customer for a granted ask.
    pub fn charge(&mut self, item: &Item) {
        let mut start = 0;
        self.change(&item.customer, |flow| {
            start = flow.virtual_time;
            flow.virtual_time += item.work.tokens() * SCALE / flow.weight;
        });
        self.virtual_time = self.virtual_time.max(start);
    }

    /// The first ask of each customer in a lane, in order.
    pub fn heads(&self, lane: Lane) -> impl Iterator<Item = &Place> + '_ {
        self.heads[lane as usize].iter()
    }

    /// The newest ask of the customer with the most work for its weight.
    pub fn victim(&self) -> Option<&RequestId> {
        let (_, customer) = self.excesses.last()?;
        self.flows[customer].newest()
    }

    /// Work before a new ask of `customer`: its own, and of each other customer as much as its
    /// weight lets pass meanwhile.
    pub fn ahead(&self, customer: &str, weight: u32) -> Work {
        let own = self.flows.get(customer);
        let own = own.map_or(Work::default(), |flow| flow.backlog);
        let turn = own.tokens() as f64 / f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(id, _)| *id != customer);
        others.fold(own, |sum, (_, flow)| {
            let tokens = flow.backlog.tokens() as f64;
            let part = (turn * flow.weight as f64 / tokens).min(1.0);
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
    fn change(&mut self, customer: &str, with: impl FnOnce(&mut Flow)) {
        let flow = self.flows.entry(customer.to_owned()).or_default();
        for lane in Lane::ALL {
            if let Some(place) = flow.place(lane) {
                self.heads[lane as usize].remove(&place);
            }
        }
        if !flow.is_empty() {
            self.excesses.remove(&(flow.excess(), customer.to_owned()));
        }
        with(flow);
        for lane in Lane::ALL {
            self.heads[lane as usize].extend(flow.place(lane));
        }
        if !flow.is_empty() {
            self.excesses.insert((flow.excess(), customer.to_owned()));
        }
    }

    /// An idle customer is remembered while it is ahead of the tier's virtual time: forgotten
    /// sooner, it would come back without the debt. Behind it the memory has no effect.
    fn forget_idle(&mut self) {
        if self.idle <= IDLE_LIMIT {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.is_empty() || flow.virtual_time > virtual_time);
        self.idle = self.flows.values().filter(|flow| flow.is_empty()).count();
    }
}
