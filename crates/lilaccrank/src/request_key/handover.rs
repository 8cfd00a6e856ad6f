//! Transfers records to their new replicas after a membership change.

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

/// Limits of one page of records. They bound the size of its message and the time for which it
/// blocks the daemon's thread.
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
    /// Pushes records to their new replicas and fetches from every live member the records of
    /// which this daemon now is a replica. Until that is done, claims get
    /// [`KeyReply::Unsettled`]. Returns early if the membership changes again.
    ///
    /// [`run`](Self::run) calls this at the start and after each membership change or pause.
    pub async fn handle_membership_change(&self) {
        self.tick_if_paused();
        let view = self.inner.ranking.ranked(0);
        let pause_count = self.inner.pause_count.get();
        self.inner.settled_view.take();
        self.push_all(&view).await;
        let me = self.inner.ranking.me();
        if view == [me.clone()] {
            // A daemon that resumes after a suspension finds all its timers expired, and may
            // briefly consider all others dead. Alone it needs no backup, and would grant requests
            // that the others have run meanwhile. The wait lets their heartbeats arrive.
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

    /// Waits for [`Limits::isolation_wait`], or until the view changes.
    ///
    /// [`Limits::isolation_wait`]: crate::request_key::Limits::isolation_wait
    async fn wait_out_isolation(&self, view: &[MemberRef]) {
        let until = self.inner.clock.now() + self.inner.limits.isolation_wait;
        while self.inner.clock.now() < until && self.inner.ranking.ranked(0) == view {
            self.inner
                .clock
                .sleep(self.inner.limits.retry_interval)
                .await;
        }
    }

    /// Fetches from `member` all records of which this daemon is a replica. Retries until it
    /// succeeds; returns `false` if the membership changed meanwhile.
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
                // If a record doesn't fit into the table, its key would look unknown here. This
                // daemon then stays unsettled and refuses claims.
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

    /// Returns one page of the records of which `replica` is a replica.
    ///
    /// A daemon that doesn't see the new member yet may still act as owner in its place, and the
    /// new member would never learn of claims granted after this reply. The reply is therefore
    /// [`KeyReply::Unsettled`] until this daemon sees the new member and stops granting.
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

    /// Pushes each record to its replicas, unless they are known to have it.
    async fn push_all(&self, view: &[MemberRef]) {
        let mut after = None;
        while self.inner.ranking.ranked(0) == view {
            let page = self.push_page(after);
            let mut delivered = true;
            for (vm, moved) in page.batches {
                // A failed push needs no retry: the new replica fetches its records itself.
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

    /// Excludes the records that have reached their replicas from later pushes and handovers,
    /// unless they have changed since.
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

/// Records to push, grouped by the VM of the replica.
#[derive(Default)]
struct PushPage {
    batches: IndexMap<VmId, Vec<MovedRecord>>,
    last: Option<KeyId>,
    pushed: Vec<Pushed>,
}

/// Identifies the version of a record that was pushed.
struct Pushed {
    id: KeyId,
    replicas: MembersDigest,
    changed_at: Instant,
}
