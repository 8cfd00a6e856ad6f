//! What one daemon tells the others of its load, and whether it is believed.
//!
//! Datagrams come from anywhere: cut short, replayed, from a daemon of another version, or from one that
//! has ended and whose address another one has. A message is believed of a member only, known by its
//! address, and of no earlier life than the one that is known. Whether the member is thought to live
//! does not matter: what it has on the targets is there.
//!
//! Some hundred of these messages come each second: pools and customers are named by digests in them.

use std::net::SocketAddr;

use lilaccrank::advisories::Advisory;
use lilaccrank::dispatch::sharing::Digest;
use lilaccrank::ids::{Incarnation, VmId};
use lilaccrank::membership::Member;
use lilaccrank::quota::{CellDemand, Spent};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3;

/// Result of reading a datagram.
pub type Result<T, E = Error> = std::result::Result<T, E>;
/// Stands for a customer: two of 35,000 have the same one in one of 10^10 configurations.
pub type CustomerDigest = u64;
/// Stands for a pool: two of thirty have the same one in one of 10 million configurations.
pub type PoolDigest = u32;

/// Why a datagram is not believed.
#[derive(Debug, Error)]
pub enum Error {
    /// The sender has started again since.
    #[error("{vm} has started again since it said this")]
    StaleIncarnation {
        /// Who says it.
        vm: VmId,
    },
    /// Its bytes are no message of this version.
    #[error("it can't be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// No member has the sender's address.
    #[error("no member has the address {from}")]
    UnknownSender {
        /// Where it came from.
        from: SocketAddr,
    },
}

/// What one daemon tells.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadMessage {
    /// New advisories of its sender.
    pub advisories: Vec<Advisory>,
    /// What is asked of its sender's cell, if it speaks for it.
    pub cell_demand: Option<CellDemand<CustomerDigest>>,
    /// Life of its sender.
    pub incarnation: Incarnation,
    /// Whether its sender is about to end, and spends nothing more.
    pub ending: bool,
    /// What its sender has on the targets of each pool.
    pub pools: Vec<(PoolDigest, Digest)>,
    /// Grows with each message of one life.
    pub sequence: u64,
    /// What its sender let pass of customers with quotas.
    pub spent: Vec<(CustomerDigest, Spent)>,
}

impl LoadMessage {
    /// Reads a datagram that came `from` an address. Returns the member that sent it, too.
    ///
    /// # Errors
    ///
    /// It is not believed.
    pub fn read(
        datagram: &[u8],
        from: SocketAddr,
        member: impl FnOnce(SocketAddr) -> Option<Member>,
    ) -> Result<(VmId, Self)> {
        let message: Self = rmp_serde::from_slice(datagram)?;
        let member = member(from).ok_or(Error::UnknownSender { from })?;
        if message.incarnation < member.incarnation {
            return Err(Error::StaleIncarnation { vm: member.vm });
        }
        Ok((member.vm, message))
    }
}

/// The digest of a customer.
#[must_use]
pub fn customer_digest(id: &str) -> CustomerDigest {
    xxh3::xxh3_64(id.as_bytes())
}

/// The digest of a pool.
#[must_use]
pub fn pool_digest(id: &str) -> PoolDigest {
    xxh3::xxh3_64(id.as_bytes()) as PoolDigest
}
