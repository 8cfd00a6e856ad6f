//! Records move to their new owners when the members change.

use std::time::Instant;

use indexmap::IndexMap;

use crate::clock::Clock;
use crate::ids::VmId;
use crate::peers::Peers;
use crate::request_key::key_id::KeyId;
use crate::request_key::message::{KeyReply, KeyRequest, MovedRecord};
use crate::request_key::owner::KeyOwner;
use crate::request_key::ranking::{MemberRef, Ranking};
use crate::request_key::replicas::{self, MembersDigest, REPLICAS, View};

/// What one page takes at most: bounds how long it keeps the daemon from other work, and its
/// size on the wire.
struct PageLimit {
    moved: usize,
    ranked: usize,
    scanned: usize,
}

const PAGE_LIMIT: PageLimit = PageLimit {
    moved: 512,
    ranked: 256,
    scanned: 16_384,
};

impl<C: Clock, P: Peers<KeyRequest, KeyReply>, R: Ranking> KeyOwner<C, P, R> {
    /// Called by [`run`](Self::run) at the start and after each change of the members: pushes records to
    /// their new owners and asks every live member for what this daemon now owns. Until that
    /// is done, claims get [`KeyReply::Unsettled`]. Returns early if the members change again.
    pub async fn handle_membership_change(&self) {
        self.tick_if_paused();
        let view = self.inner.ranking.ranked(0);
        let pause_count = self.inner.pause_count.get();
        self.inner.settled_view.take();
        self.push_all(&view).await;
        let me = self.inner.ranking.me();
        if view == [me.clone()] {
            // A daemon that was frozen finds all its timers expired, and may think for a moment
            // that all others are dead. Alone it needs no copy, and would run a request that
            // the others have run meanwhile. The wait gives their heartbeats time to arrive.
            self.wait_out_isolation(&view).await;
        }
        for member in view.iter().filter(|member| **member != me) {
            if !self.pull_from(member, &view).await {
                return;
            }
        }
        self.tick_if_paused();
        if self.inner.ranking.ranked(0) == view && self.inner.pause_count.get() == pause_count {
            *self.inner.settled_view.borrow_mut() = Some(view);
        }
    }

    /// Waits out the isolation hold, or until other members are seen.
    async fn wait_out_isolation(&self, view: &[MemberRef]) {
        let until = self.inner.clock.now() + self.inner.limits.isolation_wait;
        while self.inner.clock.now() < until && self.inner.ranking.ranked(0) == view {
            self.inner
                .clock
                .sleep(self.inner.limits.retry_interval)
                .await;
        }
    }

    /// Asks `member` for all its records that belong here; false if the members changed.
    async fn pull_from(&self, member: &MemberRef, view: &[MemberRef]) -> bool {
        let mut after = None;
        while self.inner.ranking.ranked(0) == view {
            let req = KeyRequest::Handover {
                after,
                live: view.to_vec(),
                replica: self.inner.ranking.me(),
            };
            if let Ok(KeyReply::Handover { moved, next }) =
                self.inner.peers.call(&member.vm, req).await
            {
                // Without room for a record of another holder its key would look unknown here;
                // staying unsettled refuses claims instead.
                if self.accept_push(moved) == KeyReply::Done {
                    match next {
                        Some(_) => after = next,
                        None => return true,
                    }
                    continue;
                }
            }
            self.inner
                .clock
                .sleep(self.inner.limits.retry_interval)
                .await;
        }
        false
    }

    /// One page of the records that `owner` is to hold.
    ///
    /// A daemon that doesn't see the new owner yet still acts as keeper in its place. What it
    /// grants after this answer would be unknown to the owner, so it gives none until it sees
    /// the owner, and then no longer grants.
    pub(super) fn hand_over(
        &self,
        after: Option<KeyId>,
        live: &[MemberRef],
        replica: &MemberRef,
    ) -> KeyReply {
        if !self.inner.ranking.is_live(replica) {
            return KeyReply::Unsettled;
        }
        let now = self.inner.clock.now();
        let ranking = &self.inner.ranking;
        let view = View::of(ranking);
        let same_view = view.members == live;
        let table = self.inner.table.borrow();
        let mut moved = Vec::new();
        let mut last = None;
        let mut newly_ranked = 0;
        for (id, slot) in table.after(after).take(PAGE_LIMIT.scanned) {
            last = Some(*id);
            newly_ranked += usize::from(!same_view || !view.has_cached_replicas(slot));
            let (is_replica, digest) = if same_view {
                let replicas = view.replicas(ranking, id, slot);
                (
                    view.resolve(replicas).any(|member| member == replica),
                    replicas.digest,
                )
            } else {
                let mut ranked = ranking.ranked(id.hash());
                ranked.retain(|member| live.contains(member));
                let mut top = ranked.iter().take(REPLICAS);
                (
                    top.any(|member| member == replica),
                    replicas::replicas_digest(&ranked),
                )
            };
            if is_replica && slot.replicated_to != Some(digest) {
                moved.push(slot.moved(*id, now));
            }
            if moved.len() == PAGE_LIMIT.moved || newly_ranked == PAGE_LIMIT.ranked {
                break;
            }
        }
        let next = last.filter(|last| table.after(Some(*last)).next().is_some());
        KeyReply::Handover { moved, next }
    }

    /// Pushes each record to those of its owners that are not known to have it.
    async fn push_all(&self, view: &[MemberRef]) {
        let mut after = None;
        while self.inner.ranking.ranked(0) == view {
            let page = self.push_page(after);
            let mut delivered = true;
            for (vm, moved) in page.batches {
                // A push that fails is made up for by the new owner, which asks.
                let reply = self.inner.peers.call(&vm, KeyRequest::Push { moved }).await;
                delivered &= reply == Ok(KeyReply::Done);
            }
            if delivered {
                self.mark_replicated(page.pushed);
            }
            if page.last.is_none() {
                return;
            }
            after = page.last;
        }
    }

    fn push_page(&self, after: Option<KeyId>) -> PushPage {
        let now = self.inner.clock.now();
        let me = self.inner.ranking.me();
        let ranking = &self.inner.ranking;
        let view = View::of(ranking);
        let table = self.inner.table.borrow();
        let mut page = PushPage::default();
        let mut newly_ranked = 0;
        for (id, slot) in table.after(after).take(PAGE_LIMIT.scanned) {
            if page.pushed.len() == PAGE_LIMIT.moved || newly_ranked == PAGE_LIMIT.ranked {
                break;
            }
            page.last = Some(*id);
            newly_ranked += usize::from(!view.has_cached_replicas(slot));
            let replicas = view.replicas(ranking, id, slot);
            if slot.replicated_to == Some(replicas.digest) {
                continue;
            }
            page.pushed.push(Pushed {
                id: *id,
                replicas: replicas.digest,
                changed_at: slot.changed_at,
            });
            for replica in view.resolve(replicas).filter(|replica| **replica != me) {
                let batch = page.batches.entry(replica.vm.clone()).or_default();
                batch.push(slot.moved(*id, now));
            }
        }
        page
    }

    /// Spares the records that have reached their owners the next push and handover.
    fn mark_replicated(&self, pushed: Vec<Pushed>) {
        let mut table = self.inner.table.borrow_mut();
        for Pushed {
            id,
            replicas,
            changed_at,
        } in pushed
        {
            let slot = table
                .get_mut(&id)
                .filter(|slot| slot.changed_at == changed_at);
            if let Some(slot) = slot {
                slot.replicated_to = Some(replicas);
            }
        }
    }
}

/// Records to push, by the vm of the new owner.
#[derive(Default)]
struct PushPage {
    batches: IndexMap<VmId, Vec<MovedRecord>>,
    last: Option<KeyId>,
    pushed: Vec<Pushed>,
}

/// A record as it was when it was pushed.
struct Pushed {
    id: KeyId,
    replicas: MembersDigest,
    changed_at: Instant,
}
