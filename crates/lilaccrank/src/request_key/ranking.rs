//! Interface of the request keys to the membership.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VmId};

/// One incarnation of a daemon.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{vm}/{incarnation}")]
pub struct MemberRef {
    /// Incarnation of the daemon, which differs after each restart.
    pub incarnation: Incarnation,
    /// The VM that the daemon runs on.
    pub vm: VmId,
}

/// Ranks the live members of this data centre for a key.
pub trait Ranking: Clone + 'static {
    /// Returns `true` if `member` is considered live in exactly this incarnation.
    fn is_live(&self, member: &MemberRef) -> bool;

    /// This daemon.
    fn me(&self) -> MemberRef;

    /// Returns all live members, including this daemon, with the highest rank for `key_hash` first.
    fn ranked(&self, key_hash: u64) -> Vec<MemberRef>;
}
