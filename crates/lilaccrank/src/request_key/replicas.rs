//! Finds the replicas of a key and caches them with its record until the membership changes.

use xxhash_rust::xxh3;

use crate::request_key::key_id::KeyId;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::table::Slot;

/// Number of replicas of each record: the owner and its backup.
pub(super) const REPLICAS: usize = 2;

/// Hash that identifies a list of members.
pub(super) type MembersDigest = u64;

/// Snapshot of the live members as this daemon sees them.
pub(super) struct View {
    digest: MembersDigest,
    /// The members, ranked for key hash 0.
    pub(super) members: Vec<MemberRef>,
}

/// The replicas of one key in one view.
///
/// After a membership change each member asks for all records that it should hold. Ranking
/// every record for every such request took seconds of CPU time; with this cache each record
/// is ranked once per change.
#[derive(Clone, Copy)]
pub(super) struct KeyReplicas {
    /// Identifies the replicas.
    pub(super) digest: MembersDigest,
    positions: [Option<u16>; REPLICAS],
    view: MembersDigest,
}

impl View {
    /// Takes a snapshot of the live members of `ranking`.
    pub(super) fn of(ranking: &impl Ranking) -> Self {
        let members = ranking.ranked(0);
        Self {
            digest: digest(&members),
            members,
        }
    }

    /// Returns the replicas of `id`, from the cache in `slot` unless the membership has changed.
    pub(super) fn replicas(&self, ranking: &impl Ranking, id: &KeyId, slot: &Slot) -> KeyReplicas {
        let known = slot.replicas.get();
        if let Some(replicas) = known.filter(|replicas| replicas.view == self.digest) {
            return replicas;
        }
        let ranked = ranking.ranked(id.hash());
        let mut positions = [None; REPLICAS];
        for (position, replica) in positions.iter_mut().zip(&ranked) {
            *position = self.position(replica);
        }
        let replicas = KeyReplicas {
            digest: replicas_digest(&ranked),
            positions,
            view: self.digest,
        };
        slot.replicas.set(Some(replicas));
        replicas
    }

    /// Returns `true` if `slot` has the replicas for this view in its cache.
    pub(super) fn has_cached_replicas(&self, slot: &Slot) -> bool {
        let known = slot.replicas.get();
        known.is_some_and(|replicas| replicas.view == self.digest)
    }

    /// Returns the members of this view at the positions in `replicas`.
    pub(super) fn resolve(&self, replicas: KeyReplicas) -> impl Iterator<Item = &MemberRef> {
        let positions = replicas.positions.into_iter().flatten();
        positions.filter_map(|position| self.members.get(usize::from(position)))
    }

    fn position(&self, member: &MemberRef) -> Option<u16> {
        let position = self.members.iter().position(|other| other == member)?;
        u16::try_from(position).ok()
    }
}

/// Identifies the replicas of a key, given the members ranked for it.
pub(super) fn replicas_digest(ranked: &[MemberRef]) -> MembersDigest {
    digest(&ranked[..ranked.len().min(REPLICAS)])
}

fn digest(members: &[MemberRef]) -> MembersDigest {
    let mut hasher = xxh3::Xxh3::new();
    for member in members {
        hasher.update(&member.vm.len().to_le_bytes());
        hasher.update(member.vm.as_bytes());
        hasher.update(&member.incarnation.to_le_bytes());
    }
    hasher.digest()
}
