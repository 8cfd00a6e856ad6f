//! Which member of the data centre has which duty.

use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::membership::{Member, Membership};
use lilaccrank::rendezvous;
use lilaccrank::request_key::{MemberRef, Ranking};

use crate::settings::{Dispatch, Settings};

/// Name of the duty to watch the store.
const WATCHER_DUTY: &str = "watch/configuration";
/// Duties by rendezvous hashing over the live members.
#[derive(Clone)]
pub struct Duties {
    dispatch: Dispatch,
    membership: Membership,
    /// Waiting watches grow with the data centres, not with the daemons.
    watchers: usize,
}

impl Duties {
    /// Duties of the members that `membership` thinks live.
    #[must_use]
    pub fn new(cfg: &Settings, membership: Membership) -> Self {
        Self {
            dispatch: cfg.dispatch,
            membership,
            watchers: cfg.watchers,
        }
    }

    /// The dispatcher of a pool here.
    #[must_use]
    pub fn dispatcher(&self, pool: &PoolId) -> Option<MemberRef> {
        if self.dispatch == Dispatch::Each {
            return Some(self.me());
        }
        let live = self.membership.live();
        let duty = format!("pool/{pool}");
        let vm = rendezvous::owner(&duty, live.members.iter().map(|m| &m.vm))?;
        let member = live.members.iter().find(|member| member.vm == *vm)?;
        Some(member_ref(member))
    }

    /// Whether this daemon watches the store for its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let live = self.membership.live();
        let vms = live.members.iter().map(|member| &member.vm);
        let watchers = rendezvous::top(WATCHER_DUTY, vms, self.watchers);
        watchers.contains(&&self.membership.me().vm)
    }

    /// The watchers of the data centre, the first one first.
    #[must_use]
    pub fn watchers(&self) -> Vec<VmId> {
        let live = self.membership.live();
        let vms = live.members.iter().map(|member| &member.vm);
        let watchers = rendezvous::top(WATCHER_DUTY, vms, self.watchers);
        watchers.into_iter().cloned().collect()
    }

    /// Whether each daemon grants targets to its own requests.
    #[must_use]
    pub fn is_dispatch_local(&self) -> bool {
        self.dispatch == Dispatch::Each
    }

    /// Whether this daemon, in its present life, is the dispatcher of a pool.
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
        let duty = format!("key/{key_hash:x}");
        let vms = live.members.iter().map(|member| &member.vm);
        let ranked = rendezvous::top(&duty, vms, live.members.len());
        ranked
            .into_iter()
            .filter_map(|vm| live.members.iter().find(|member| member.vm == *vm))
            .map(member_ref)
            .collect()
    }
}

/// The life of a member.
#[must_use]
pub fn member_ref(member: &Member) -> MemberRef {
    MemberRef {
        incarnation: member.incarnation,
        vm: member.vm.clone(),
    }
}
