//! Failure detection: probes one member at a time, first directly and then also through helpers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use indexmap::IndexMap;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Command;
use super::datagrams::Datagrams;
use super::gossip::Node;
use super::member::{Member, State};
use super::message::Body;
use crate::clock::{self, Clock};
use crate::ids::VmId;

/// Time after which a pending ping is removed if no answer arrived.
const PENDING_TTL: Duration = Duration::from_secs(2);

/// Receiver of the answer to a ping: a probe of this daemon, or the member that asked for an
/// indirect ping with its own sequence number.
pub(super) enum Pending {
    Own(oneshot::Sender<()>),
    Relayed { requester: SocketAddr, seq: u64 },
}

/// Pings in progress and the members that are still to be probed in this round.
#[derive(Default)]
pub(super) struct Probes {
    next_seq: u64,
    pending: IndexMap<u64, (Instant, Pending)>,
    round: Vec<VmId>,
}

impl Probes {
    pub(super) fn begin(&mut self, pending: Pending, now: Instant) -> u64 {
        self.next_seq += 1;
        self.pending.insert(self.next_seq, (now, pending));
        self.next_seq
    }

    pub(super) fn finish(&mut self, seq: u64) -> Option<Pending> {
        self.pending.swap_remove(&seq).map(|(_, pending)| pending)
    }

    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.pending
            .retain(|_, (begun, _)| now - *begun < PENDING_TTL);
    }
}

impl<C: Clock, D: Datagrams> Node<C, D> {
    /// Probes the next member of the round and suspects it if it does not answer.
    pub(super) async fn probe_next(&self) {
        let Some(vm) = self.next_in_round() else {
            return;
        };
        if !self.probe(&vm).await {
            self.shared.send(Command::Suspect(vm));
        }
    }

    fn next_in_round(&self) -> Option<VmId> {
        let mut probes = self.probes.borrow_mut();
        let table = self.shared.table.borrow();
        if probes.round.is_empty() {
            probes.round = table.others().map(|member| member.vm.clone()).collect();
            probes.round.shuffle(&mut *self.rng.borrow_mut());
        }
        while let Some(vm) = probes.round.pop() {
            if table.get(&vm).is_some_and(|m| m.state != State::Dead) {
                return Some(vm);
            }
        }
        None
    }

    /// Probes one member once. Returns `true` if it answered.
    pub(super) async fn probe(&self, vm: &str) -> bool {
        let Some(member) = self.shared.table.borrow().get(vm).cloned() else {
            return false;
        };
        let (tx, mut rx) = oneshot::channel();
        let begun = self.clock.now();
        let seq = self.probes.borrow_mut().begin(Pending::Own(tx), begun);
        let limit = self.cfg.probe_timeout;
        let target = member.vm.clone();
        let body = Body::Ping { seq, target };
        self.send(member.gossip, body.clone(), &records_to_refute(&member))
            .await;
        if let Some(answer) = clock::hard_timeout(&self.clock, limit, &mut rx).await {
            return answer.is_ok();
        }
        // Also pings directly again, since with two or three members there are few helpers.
        self.send(member.gossip, body, &records_to_refute(&member))
            .await;
        for helper in self.helpers(&member.vm) {
            let body = Body::IndirectPing {
                address: member.gossip,
                seq,
                target: member.vm.clone(),
            };
            self.send(helper, body, &[]).await;
        }
        let answer = clock::hard_timeout(&self.clock, limit, &mut rx).await;
        self.probes.borrow_mut().finish(seq);
        matches!(answer, Some(Ok(())))
    }

    fn helpers(&self, target: &str) -> Vec<SocketAddr> {
        let table = self.shared.table.borrow();
        let others: Vec<_> = table
            .others()
            .filter(|member| member.vm != target && member.state == State::Live)
            .map(|member| member.gossip)
            .collect();
        let mut rng = self.rng.borrow_mut();
        others
            .sample(&mut *rng, self.cfg.helpers)
            .copied()
            .collect()
    }
}

/// Returns the VMs whose records go first in a ping to `member`: its own if it is suspect or
/// dead, since it can only refute a report that it receives.
fn records_to_refute(member: &Member) -> Vec<VmId> {
    match member.state {
        State::Dead | State::Suspect => vec![member.vm.clone()],
        State::Leaving | State::Live => Vec::new(),
    }
}
