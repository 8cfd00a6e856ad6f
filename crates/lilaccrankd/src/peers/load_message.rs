//! Load messages between daemons, and their validation.
//!
//! Datagrams may come from anywhere: truncated, replayed, from a daemon of another version, or from
//! one that has ended and whose address is now used by another. A message is accepted only from a
//! member, identified by its address, and only if its incarnation is not older than the known one.
//! The message is accepted even if the member is not considered live: its load is on the targets
//! all the same.
//!
//! About a hundred of these messages arrive each second, so they name pools and customers by
//! digests.

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
/// Digest of a customer id. Two of 35,000 customers collide in one of 10^10 configurations.
pub type CustomerDigest = u64;
/// Digest of a pool id. Two of thirty pools collide in one of 10 million configurations.
pub type PoolDigest = u32;

/// Why a datagram is rejected.
#[derive(Debug, Error)]
pub enum Error {
    /// The sender has restarted since.
    #[error("{vm} has restarted since it sent this message")]
    StaleIncarnation {
        /// The sender.
        vm: VmId,
    },
    /// The bytes are not a message of this version.
    #[error("cannot decode the message: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// No member has the sender's address.
    #[error("no member has the address {from}")]
    UnknownSender {
        /// Address of the sender.
        from: SocketAddr,
    },
}

/// Load update of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadMessage {
    /// New advisories from the sender.
    pub advisories: Vec<Advisory>,
    /// Demand on the sender's cell, if the sender represents it.
    pub cell_demand: Option<CellDemand<CustomerDigest>>,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Set if the sender is about to end and spends no more quota.
    pub ending: bool,
    /// Load of the sender on the targets of each pool.
    pub pools: Vec<(PoolDigest, Digest)>,
    /// Sequence number within one incarnation.
    pub sequence: u64,
    /// Quota that the sender spent, by customer.
    pub spent: Vec<(CustomerDigest, Spent)>,
}

impl LoadMessage {
    /// Decodes a datagram that came `from` an address. Also returns the member that sent it.
    ///
    /// # Errors
    ///
    /// If the datagram is rejected.
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

/// Returns the digest of a customer id.
#[must_use]
pub fn customer_digest(id: &str) -> CustomerDigest {
    xxh3::xxh3_64(id.as_bytes())
}

/// Returns the digest of a pool id.
#[must_use]
pub fn pool_digest(id: &str) -> PoolDigest {
    xxh3::xxh3_64(id.as_bytes()) as PoolDigest
}
