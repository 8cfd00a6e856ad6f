//! What one daemon tells the others of its load, and whether it is believed.
//!
//! Datagrams come from anywhere: cut short, replayed, from a daemon of another version, or from one that
//! has ended and whose address another one has. A message is believed of a member only, from the
//! address that this member has, and of no earlier life than the one that is known. Whether the
//! member is thought to live does not matter: what it has on the targets is there.

use std::net::{IpAddr, SocketAddr};

use lilaccrank::dispatch::sharing::Digest;
use lilaccrank::ids::{CustomerId, Incarnation, PoolId, VmId};
use lilaccrank::membership::Member;
use lilaccrank::quota::Spent;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Result of reading a datagram.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a datagram is not believed.
#[derive(Debug, Error)]
pub enum Error {
    /// The sender has started again since.
    #[error("{vm} has started again since it said this")]
    EarlierLife {
        /// Who says it.
        vm: VmId,
    },
    /// Its bytes are no message of this version.
    #[error("it can't be read: {0}")]
    Unreadable(#[from] rmp_serde::decode::Error),
    /// The sender is no member, or the member has another address.
    #[error("{vm} is no member with the address {from}")]
    Unknown {
        /// Where it came from.
        from: IpAddr,
        /// Who it claims to be from.
        vm: VmId,
    },
}

/// What one daemon tells.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadMessage {
    /// Life of its sender.
    pub incarnation: Incarnation,
    /// Whether its sender is about to end, and spends nothing more.
    pub ending: bool,
    /// What its sender has on the targets of each pool.
    pub pools: Vec<(PoolId, Digest)>,
    /// Grows with each message of one life.
    pub sequence: u64,
    /// What its sender let pass of customers with quotas.
    pub spent: Vec<(CustomerId, Spent)>,
    /// Its sender.
    pub vm: VmId,
}

impl LoadMessage {
    /// Reads a datagram that came `from` an address.
    ///
    /// # Errors
    ///
    /// It is not believed.
    pub fn read(
        datagram: &[u8],
        from: SocketAddr,
        member: impl FnOnce(&VmId) -> Option<Member>,
    ) -> Result<Self> {
        let message: Self = rmp_serde::from_slice(datagram)?;
        let member = member(&message.vm).filter(|member| member.peers.ip() == from.ip());
        let Some(member) = member else {
            let (from, vm) = (from.ip(), message.vm);
            return Err(Error::Unknown { from, vm });
        };
        if message.incarnation < member.incarnation {
            return Err(Error::EarlierLife { vm: message.vm });
        }
        Ok(message)
    }
}
