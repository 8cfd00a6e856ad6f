//! Assigns duties to the members of a data centre.

use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::membership::{Member, Membership};
use lilaccrank::rendezvous;
use lilaccrank::request_key::{MemberRef, Ranking};

use crate::settings::{Dispatch, Settings};

/// Rendezvous key of the duty to watch the store.
const WATCHER_DUTY: &str = "watch/configuration";
/// Rendezvous key of the duty to judge roll-outs.
const JUDGE_DUTY: &str = "judge/rollouts";
/// Number of daemons that judge roll-outs. With two, the failure of one loses no evidence.
const JUDGE_COUNT: usize = 2;

/// Duties, assigned by rendezvous hashing over the live members.
#[derive(Clone)]
pub struct Duties {
    dispatch: Dispatch,
    membership: Membership,
    /// Number of daemons that watch the store, so that open watches grow with the data centres and
    /// not with the daemons.
    watchers: usize,
}

impl Duties {
    /// Assigns duties to the live members of `membership`.
    #[must_use]
    pub fn new(cfg: &Settings, membership: Membership) -> Self {
        Self {
            dispatch: cfg.dispatch,
            membership,
            watchers: cfg.watchers,
        }
    }

    /// The dispatcher of a pool in this data centre.
    #[must_use]
    pub fn dispatcher(&self, pool: &PoolId) -> Option<MemberRef> {
        if self.dispatch == Dispatch::Each {
            return Some(self.me());
        }
        let live = self.membership.live();
        let key = format!("pool/{pool}");
        let vm = rendezvous::owner(&key, live.members.iter().map(|m| &m.vm))?;
        let member = live.members.iter().find(|member| member.vm == *vm)?;
        Some(member_ref(member))
    }

    /// Returns `true` if this daemon watches the store for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let live = self.membership.live();
        let vms = live.members.iter().map(|member| &member.vm);
        let watchers = rendezvous::top(WATCHER_DUTY, vms, self.watchers);
        watchers.contains(&&self.membership.me().vm)
    }

    /// The watchers of the data centre, highest rank first.
    #[must_use]
    pub fn watchers(&self) -> Vec<VmId> {
        self.ranked_for(WATCHER_DUTY, self.watchers)
    }

    /// The judges of roll-outs, highest rank first.
    #[must_use]
    pub fn judges(&self) -> Vec<VmId> {
        self.ranked_for(JUDGE_DUTY, JUDGE_COUNT)
    }

    fn ranked_for(&self, duty: &str, count: usize) -> Vec<VmId> {
        let live = self.membership.live();
        let vms = live.members.iter().map(|member| &member.vm);
        let ranked = rendezvous::top(duty, vms, count);
        ranked.into_iter().cloned().collect()
    }

    /// Returns `true` if each daemon grants targets to its own requests.
    #[must_use]
    pub fn is_dispatch_local(&self) -> bool {
        self.dispatch == Dispatch::Each
    }

    /// Returns `true` if this daemon, in its current incarnation, is the dispatcher of a pool.
    #[must_use]
    pub fn is_dispatcher(&self, pool: &PoolId) -> bool {
        self.dispatcher(pool) == Some(self.me())
    }
}

impl Ranking for Duties {
    fn is_live(&self, member: &MemberRef) -> bool {
        let live = self.membership.live();
        live.members.iter().any(|m| member_ref(m) == *member)
    }

    fn me(&self) -> MemberRef {
        member_ref(&self.membership.me())
    }

    fn ranked(&self, key_hash: u64) -> Vec<MemberRef> {
        let live = self.membership.live();
        let key = format!("key/{key_hash:x}");
        let vms = live.members.iter().map(|member| &member.vm);
        let ranked = rendezvous::top(&key, vms, live.members.len());
        ranked
            .into_iter()
            .filter_map(|vm| live.members.iter().find(|member| member.vm == *vm))
            .map(member_ref)
            .collect()
    }
}

/// The VM and incarnation of a member.
#[must_use]
pub fn member_ref(member: &Member) -> MemberRef {
    MemberRef {
        incarnation: member.incarnation,
        vm: member.vm.clone(),
    }
}
