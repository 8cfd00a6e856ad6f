//! Orders of operators to move a pool to another software version.

use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{PoolId, SoftwareVersion};
use crate::software_version::VersionDigest;
use crate::store_revision::StoreRevision;

/// Result of checking an order.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Revision of the platform's store at which an order was created.
pub type Creation = u64;

/// Reason for which an order can't be carried out.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// There is no time to try the version.
    #[error("the order has no duration")]
    NoDuration,
    /// No version is named.
    #[error("the order names no version")]
    NoVersion,
}

/// Identifies an order. The operator may replace an order of a pool by another one.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{pool} to {to}, {created}")]
pub struct OrderId {
    /// When it was created.
    pub created: Creation,
    /// Pool whose requests move.
    pub pool: PoolId,
    /// Version that they move to.
    pub to: SoftwareVersion,
}

/// State of a roll-out in the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The new version is being tried.
    #[display("running")]
    Running,
    /// All requests go to the new version.
    #[display("succeeded")]
    Succeeded,
    /// No request goes to the new version.
    #[display("rolled back")]
    RolledBack,
}

impl State {
    /// Returns `true` if no other state follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// An order of an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Its identity.
    pub id: OrderId,
    /// Time within which the roll-out has to end.
    pub duration: Duration,
    /// State that the store has of it; `None` if there is none yet.
    pub recorded: Option<State>,
}

/// All orders, as the platform's store has them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Orders {
    /// Revision of the store up to which they are known.
    pub revision: StoreRevision,
    /// Orders by pool.
    pub by_pool: IndexMap<PoolId, Order>,
}

impl Order {
    /// Checks that the order can be carried out.
    ///
    /// # Errors
    ///
    /// If it names no version or gives no time.
    pub fn check(&self) -> Result<()> {
        if self.id.to.is_empty() {
            return Err(Error::NoVersion);
        }
        if self.duration.is_zero() {
            return Err(Error::NoDuration);
        }
        Ok(())
    }

    /// Returns `true` if `later` has the same content, as after the platform's store has lost this order and
    /// the operator has written it again.
    #[must_use]
    pub fn is_written_again(&self, later: &Self) -> bool {
        let is_same = self.id.pool == later.id.pool && self.id.to == later.id.to;
        is_same && self.duration == later.duration
    }

    /// Digest of the new version.
    #[must_use]
    pub fn version(&self) -> VersionDigest {
        VersionDigest::new(&self.id.to)
    }
}
