//! The datagrams between members, in MessagePack.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::member::Member;
use crate::ids::VmId;

/// Result of encoding or decoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Largest datagram in bytes, so that none is fragmented on the way.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// Bytes left free for all but the updates: the sender's name, the body and the framing.
const BODY_RESERVE: usize = 200;

/// Why a datagram can't be read or written.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes are no message of this version.
    #[error("not a gossip message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message can't be written.
    #[error("message can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message is over [`DATAGRAM_LIMIT`].
    #[error("message of {0} bytes is too large")]
    TooLarge(usize),
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Message {
    pub(super) body: Body,
    pub(super) from: VmId,
    pub(super) updates: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Body {
    /// Answer to a ping, sent on by helpers.
    #[serde(rename = "a")]
    Ack { seq: u64 },
    /// Fingerprint of the sender's table; who has another one sends its table.
    #[serde(rename = "d")]
    Digest { hash: u64 },
    /// Asks a helper to ping the target and to pass its answer on.
    #[serde(rename = "i")]
    IndirectPing {
        address: SocketAddr,
        seq: u64,
        target: VmId,
    },
    /// Asks the target to answer; any other vm at this address stays silent.
    #[serde(rename = "p")]
    Ping { seq: u64, target: VmId },
    /// A part of the sender's table, in the updates.
    #[serde(rename = "t")]
    Table { reply_wanted: bool },
    /// Nothing but the updates.
    #[serde(rename = "u")]
    Update,
}

impl Message {
    pub(super) fn decode(bytes: &[u8]) -> Result<Self> {
        Ok(rmp_serde::from_slice(bytes)?)
    }

    pub(super) fn encode(&self) -> Result<Vec<u8>> {
        let bytes = rmp_serde::to_vec(self)?;
        if bytes.len() > DATAGRAM_LIMIT {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }
}

/// Counts the updates into one datagram until it is full.
pub(super) struct DatagramBudget(usize);

impl DatagramBudget {
    pub(super) fn new() -> Self {
        Self(DATAGRAM_LIMIT - BODY_RESERVE)
    }

    /// Takes the room that `member` needs; false if there is not enough.
    pub(super) fn reserve(&mut self, member: &Member) -> bool {
        let size = rmp_serde::to_vec(member).map_or(usize::MAX, |bytes| bytes.len());
        let fits = size <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}
