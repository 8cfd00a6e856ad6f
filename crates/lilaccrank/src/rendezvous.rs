//! Rendezvous hashing (highest random weight) of keys to members.
//!
//! Daemons that see the same members compute the same owners. When a member leaves, only the keys
//! that it owned get another owner.

use std::cmp::Reverse;

use xxhash_rust::xxh3;

use crate::ids::VmId;

/// The owner of a key and the member that takes over from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owners<'a> {
    /// The member with the highest weight.
    pub primary: &'a VmId,
    /// The member with the second highest weight, `None` if there is only one member.
    pub backup: Option<&'a VmId>,
}

/// Returns the member that owns `key`; `None` without members.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    owners(key, members).map(|owners| owners.primary)
}

/// Returns the owner of `key` and its backup in one pass; `None` without members.
pub fn owners<'a>(key: &str, members: impl IntoIterator<Item = &'a VmId>) -> Option<Owners<'a>> {
    let mut best: Option<(u64, &VmId)> = None;
    let mut next: Option<(u64, &VmId)> = None;
    for vm in members {
        let candidate = Some((weight(key, vm), vm));
        if candidate > best {
            next = best;
            best = candidate;
        } else if candidate > next {
            next = candidate;
        }
    }
    best.map(|(_, primary)| Owners {
        primary,
        backup: next.map(|(_, vm)| vm),
    })
}

/// Returns the `count` members with the highest weights for `key`, the highest first.
pub fn top<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a VmId>,
    count: usize,
) -> Vec<&'a VmId> {
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|vm| Reverse((weight(key, vm), vm)))
        .collect();
    if count == 0 {
        return Vec::new();
    }
    if count < weighted.len() {
        weighted.select_nth_unstable(count - 1);
        weighted.truncate(count);
    }
    weighted.sort_unstable();
    weighted.into_iter().map(|Reverse((_, vm))| vm).collect()
}

/// Returns the weight of `vm` for `key`. Members of equal weight are ordered by name.
#[must_use]
pub fn weight(key: &str, vm: &str) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
