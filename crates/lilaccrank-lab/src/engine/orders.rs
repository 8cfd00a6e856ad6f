//! Orders to the engine and their fencing numbers.

use std::collections::VecDeque;

use clap::ValueEnum;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::reply;

/// Orders kept in the list.
const LIMIT: usize = 10_000;

/// Result of taking an order.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an order is refused.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// A later holder has given an order already.
    #[error("fencing number {given} is older than {highest}")]
    Old { given: u64, highest: u64 },
}

/// Whether the engine looks at fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum Fencing {
    /// An order with an old number is refused.
    Checked,
    /// Every order is carried out.
    Ignored,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OrderKind {
    ChangeRole,
    Drain,
    LoadModel,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    #[serde(default)]
    pub(super) argument: String,
    pub(super) fencing: u64,
    pub(super) kind: OrderKind,
}

/// An order received.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Received {
    accepted: bool,
    at_ms: u64,
    #[serde(flatten)]
    order: Order,
}

/// The orders received, in their order.
pub(super) struct Orders {
    fencing: Fencing,
    highest: u64,
    received: VecDeque<Received>,
}

impl Orders {
    pub(super) fn new(fencing: Fencing) -> Self {
        Self {
            fencing,
            highest: 0,
            received: VecDeque::new(),
        }
    }

    /// Notes an order, and whether it is to be carried out.
    pub(super) fn take(&mut self, order: &Order) -> Result<()> {
        let old = order.fencing < self.highest;
        let accepted = !old || self.fencing == Fencing::Ignored;
        if self.received.len() == LIMIT {
            self.received.pop_front();
        }
        self.received.push_back(Received {
            accepted,
            at_ms: reply::wall_ms(),
            order: order.clone(),
        });
        if !accepted {
            return Err(Error::Old {
                given: order.fencing,
                highest: self.highest,
            });
        }
        self.highest = self.highest.max(order.fencing);
        Ok(())
    }

    pub(super) fn list(&self) -> Vec<Received> {
        self.received.iter().cloned().collect()
    }
}
