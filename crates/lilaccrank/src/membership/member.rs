//! Member records and the rule by which one replaces another.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Incarnation, VmId};

/// Record of one daemon, as announced by itself or reported by another member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address of the admin interface.
    pub admin: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Start time of the daemon in milliseconds; increased whenever it refutes a report about
    /// itself.
    pub incarnation: Incarnation,
    /// Address for calls from peers.
    pub peers: SocketAddr,
    /// State of the daemon.
    pub state: State,
    /// VM it runs on.
    pub vm: VmId,
}

/// State of a member. Of two reports with the same incarnation, the greater state wins, in the
/// order of declaration.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// Answers probes.
    #[display("live")]
    #[serde(rename = "l")]
    Live,
    /// Failed to answer probes and has not refuted the suspicion yet.
    #[display("suspect")]
    #[serde(rename = "s")]
    Suspect,
    /// Announced that it takes no new work.
    #[display("leaving")]
    #[serde(rename = "e")]
    Leaving,
    /// Failed to refute the suspicion in time, or was replaced by another VM at its address.
    #[display("dead")]
    #[serde(rename = "d")]
    Dead,
}

impl Member {
    /// Returns `true` if this report replaces `other`, a report about the same VM.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns `true` if the member may own duties. A suspect keeps its duties because most
    /// suspicions are refuted, and moving duties back and forth costs more than a short wait.
    #[must_use]
    pub fn can_own_duties(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }
}
