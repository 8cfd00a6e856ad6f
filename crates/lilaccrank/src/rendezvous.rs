//! Duties by highest random weight: every daemon that sees the same members ranks them alike.
//!
//! A member that leaves moves only its own duties; all others keep their owner.

use std::cmp::Reverse;

use xxhash_rust::xxh3;

use crate::ids::VmId;

/// Owner of a duty and the holder of its second copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owners<'a> {
    /// The member with the highest weight.
    pub primary: &'a VmId,
    /// The next one, `None` if there is only one member.
    pub backup: Option<&'a VmId>,
}

/// The member that owns `duty`; `None` without members.
pub fn owner<'a>(key: &str, members: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    owners(key, members).map(|owners| owners.primary)
}

/// The owner of `duty` and its second copy, in one pass; `None` without members.
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

/// The `count` members with the highest weights for `duty`, the highest first.
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

/// Weight of `vm` for `duty`; equal weights are ordered by name.
#[must_use]
pub fn weight(key: &str, vm: &str) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}
