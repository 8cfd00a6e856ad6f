//! Brittle targets, which fall over once they have to turn too many requests away in a second.

use indexmap::IndexMap;
use lilaccrank::document::Target;
use lilaccrank::ids::PoolId;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

/// Requests in a second that targets can turn away, by target.
#[derive(Debug, Default)]
pub(super) struct BrittleTargets {
    /// Pools of the instances that announced a limit. An instance that has ended still tells that its
    /// pool is brittle, until the announcement expires.
    announcers: IndexMap<InstanceDigest, PoolId>,
    /// What targets announced, as last applied; `None` if the targets have changed since.
    applied: Option<IndexMap<InstanceDigest, Option<u32>>>,
    limits: IndexMap<InstanceDigest, u32>,
}

impl BrittleTargets {
    pub(super) fn limit(&self, target: InstanceDigest) -> Option<u32> {
        self.limits.get(&target).copied()
    }

    /// Records that there are other targets than before.
    pub(super) fn targets_changed(&mut self) {
        self.applied = None;
    }

    /// Returns `true` if the limits follow from what targets `announced`.
    pub(super) fn is_current(&self, announced: &IndexMap<InstanceDigest, Option<u32>>) -> bool {
        (announced.is_empty() && self.limits.is_empty()) || self.applied.as_ref() == Some(announced)
    }

    /// Updates the limits from what targets `announced` (`None` if sound) and the targets of the pools.
    /// Returns `true` if a target has become brittle.
    pub(super) fn update<'a>(
        &mut self,
        announced: &IndexMap<InstanceDigest, Option<u32>>,
        pools: impl Iterator<Item = (&'a PoolId, Vec<Target>)>,
    ) -> bool {
        self.applied = Some(announced.clone());
        let is_brittle = |digest: &InstanceDigest| announced.get(digest).copied().flatten();
        self.announcers
            .retain(|digest, _| is_brittle(digest).is_some());
        let mut limits = IndexMap::new();
        for (pool, targets) in pools {
            let digests = targets.iter().map(|t| TargetInstance::of(t).digest());
            let digests: Vec<InstanceDigest> = digests.collect();
            for digest in digests.iter().filter(|digest| is_brittle(digest).is_some()) {
                self.announcers.insert(*digest, pool.clone());
            }
            let announcers = self.announcers.iter().filter(|(_, of)| *of == pool);
            let inherited = announcers
                .filter_map(|(digest, _)| is_brittle(digest))
                .min();
            for digest in digests {
                let limit = announced.get(&digest).copied().unwrap_or(inherited);
                limits.extend(limit.map(|limit| (digest, limit)));
            }
        }
        let has_new = limits
            .keys()
            .any(|digest| !self.limits.contains_key(digest));
        if limits != self.limits {
            log::info!(
                announced = self.announcers.len(),
                targets = limits.len();
                "brittle targets changed"
            );
            self.limits = limits;
        }
        has_new
    }
}
