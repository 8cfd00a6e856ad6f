//! The owners of a key, kept with its record for as long as the members stay the same.

use xxhash_rust::xxh3;

use crate::request_key::key_id::KeyId;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::table::Slot;

/// Holders of each record: the keeper and its copy.
pub(super) const REPLICAS: usize = 2;

/// Names a list of members, as a hash.
pub(super) type MembersDigest = u64;

/// The live members as this daemon sees them at one moment.
pub(super) struct View {
    digest: MembersDigest,
    /// The members, in the order of rank for key hash 0.
    pub(super) members: Vec<MemberRef>,
}

/// The owners of one key in one view.
///
/// After a change each member asks for all records that it owns now. Ranking every record for
/// every member that asks took seconds of processor time; with this it is done once a change.
#[derive(Clone, Copy)]
pub(super) struct KeyReplicas {
    /// Names the owners.
    pub(super) digest: MembersDigest,
    positions: [Option<u16>; REPLICAS],
    view: MembersDigest,
}

impl View {
    /// The present view of `ranking`.
    pub(super) fn of(ranking: &impl Ranking) -> Self {
        let members = ranking.ranked(0);
        Self {
            digest: digest(&members),
            members,
        }
    }

    /// The owners of `id`, ranked anew only if the members have changed.
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

    /// Whether the owners of the record in `slot` need no ranking.
    pub(super) fn has_cached_replicas(&self, slot: &Slot) -> bool {
        let known = slot.replicas.get();
        known.is_some_and(|replicas| replicas.view == self.digest)
    }

    /// The members that `owners` stands for.
    pub(super) fn resolve(&self, replicas: KeyReplicas) -> impl Iterator<Item = &MemberRef> {
        let positions = replicas.positions.into_iter().flatten();
        positions.filter_map(|position| self.members.get(usize::from(position)))
    }

    fn position(&self, member: &MemberRef) -> Option<u16> {
        let position = self.members.iter().position(|other| other == member)?;
        u16::try_from(position).ok()
    }
}

/// Names the owners of a key in this ranking.
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
