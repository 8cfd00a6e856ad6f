//! Gossip messages and their MessagePack encoding.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::member::Member;
use crate::ids::VmId;

/// Result of encoding or decoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Largest datagram in bytes; small enough to avoid IP fragmentation.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// Bytes reserved for everything except the updates: the sender's name, the body and the framing.
const BODY_RESERVE: usize = 200;

/// Error of encoding or decoding a message.
#[derive(Debug, Error)]
pub enum Error {
    /// The bytes are not a message of this version.
    #[error("not a gossip message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message could not be encoded.
    #[error("failed to encode gossip message: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The message, of this many bytes, exceeds [`DATAGRAM_LIMIT`].
    #[error("gossip message of {0} bytes exceeds the datagram limit")]
    TooLarge(usize),
}

/// Content of one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Message {
    pub(super) body: Body,
    pub(super) from: VmId,
    pub(super) updates: Vec<Member>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Body {
    /// Answer to a ping; helpers forward it to the requester.
    #[serde(rename = "a")]
    Ack { seq: u64 },
    /// Digest of the sender's table. A receiver with a different digest replies with its table.
    #[serde(rename = "d")]
    Digest { hash: u64 },
    /// Asks a helper to ping the target and to forward the answer.
    #[serde(rename = "i")]
    IndirectPing {
        address: SocketAddr,
        seq: u64,
        target: VmId,
    },
    /// Asks the target to answer; any other VM at this address ignores it.
    #[serde(rename = "p")]
    Ping { seq: u64, target: VmId },
    /// Part of the sender's table, carried in the updates.
    #[serde(rename = "t")]
    Table { reply_wanted: bool },
    /// Carries only updates.
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

/// Bytes still available for updates in one datagram.
pub(super) struct DatagramBudget(usize);

impl DatagramBudget {
    pub(super) fn new() -> Self {
        Self(DATAGRAM_LIMIT - BODY_RESERVE)
    }

    /// Reserves the encoded size of `member`. Returns `false` and reserves nothing if it doesn't
    /// fit.
    pub(super) fn reserve(&mut self, member: &Member) -> bool {
        let size = rmp_serde::to_vec(member).map_or(usize::MAX, |bytes| bytes.len());
        let fits = size <= self.0;
        if fits {
            self.0 -= size;
        }
        fits
    }
}
