//! What request keys need to know of the membership.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VmId};

/// One life of a daemon.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{vm}/{incarnation}")]
pub struct MemberRef {
    /// Which life of the vm.
    pub incarnation: Incarnation,
    /// The vm that the daemon runs on.
    pub vm: VmId,
}

/// Live members of this data centre, ranked for a key.
pub trait Ranking: Clone + 'static {
    /// Whether `member`, in this very incarnation, is thought live.
    fn is_live(&self, member: &MemberRef) -> bool;

    /// This daemon.
    fn me(&self) -> MemberRef;

    /// All live members, this daemon included, the best for `key_hash` first.
    fn ranked(&self, key_hash: u64) -> Vec<MemberRef>;
}
