//! What the members know of each other.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Incarnation, VmId};

/// One daemon, as it announced itself or as others see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where it takes gossip datagrams.
    pub gossip: SocketAddr,
    /// Start time of the daemon in milliseconds, raised whenever it refutes a report about it.
    pub incarnation: Incarnation,
    /// Where it takes calls of its peers.
    pub peers: SocketAddr,
    /// How it is.
    pub state: State,
    /// The vm it runs on.
    pub vm: VmId,
}

/// How a member is. Of two reports with one incarnation, the later in this order wins.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum State {
    /// It answers.
    #[display("live")]
    #[serde(rename = "l")]
    Live,
    /// It did not answer, and has not yet refuted that.
    #[display("suspect")]
    #[serde(rename = "s")]
    Suspect,
    /// It announced that it takes no new work.
    #[display("leaving")]
    #[serde(rename = "e")]
    Leaving,
    /// It did not answer for the whole time of suspicion, or another took its address.
    #[display("dead")]
    #[serde(rename = "d")]
    Dead,
}

impl Member {
    /// Whether this report replaces `other`, a report about the same vm.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether it may own duties. A suspect keeps them: most suspicions are refuted, and moving
    /// duties to and fro costs more than a short wait.
    #[must_use]
    pub fn can_own_duties(&self) -> bool {
        matches!(self.state, State::Live | State::Suspect)
    }
}
