//! How one daemon is, as operators see it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::configuration::manifest::Identity;
use crate::dispatch::status;
use crate::ids::{DataCentre, PoolId, VmId};
use crate::membership::Member;

/// State of one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Where it runs.
    pub data_centre: DataCentre,
    /// The configuration in force in it.
    pub identity: Identity,
    /// Requests in progress.
    pub in_progress: usize,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Members of its data centre as it sees them, itself among them.
    pub members: Vec<Member>,
    /// Pools that it dispatches.
    pub pools: IndexMap<PoolId, status::Status>,
    /// Entries of the list of targets that name no target to use, and what is wrong with each.
    #[serde(default)]
    pub unusable_entries: IndexMap<String, String>,
    /// The vm it runs on.
    pub vm: VmId,
}
