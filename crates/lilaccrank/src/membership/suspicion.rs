//! Watching suspects until they refute or are declared dead.

use std::future::Future;

use super::Command;
use super::datagrams::Datagrams;
use super::gossip::Node;
use super::member::{Member, State};
use crate::clock::Clock;
use crate::ids::{Incarnation, VmId};

/// Who only heard of a suspicion waits this many times its length before it probes itself.
const REPORTED_SUSPICION_FACTOR: u32 = 2;

impl<C: Clock, D: Datagrams> Node<C, D> {
    pub(super) async fn handle_command(&self, command: Command) {
        match command {
            Command::ProbeHint(vm) => self.watch_once(&vm, self.check_hint(&vm)).await,
            Command::Leave(done) => {
                self.leave().await;
                // The caller may have stopped waiting; all the same the others know.
                let _ = done.send(());
            }
            Command::ReportedSuspect(vm) => {
                self.watch_once(&vm, self.watch_reported_suspect(&vm)).await
            }
            Command::Suspect(vm) => self.watch_once(&vm, self.watch(&vm)).await,
        }
    }

    /// Told to all twice, since each datagram may be lost; who misses both learns it by gossip.
    async fn leave(&self) {
        let now = self.clock.now();
        let me = self.shared.update(|table| table.leave(now));
        self.announce(&me).await;
        self.clock.sleep(self.cfg.period).await;
        self.announce(&me).await;
    }

    async fn watch_once(&self, vm: &VmId, watch: impl Future<Output = ()>) {
        let new = self.shared.watched_suspects.borrow_mut().insert(vm.clone());
        if new {
            watch.await;
            self.shared.watched_suspects.borrow_mut().remove(vm);
        }
    }

    async fn check_hint(&self, vm: &str) {
        if !self.probe(vm).await {
            self.watch(vm).await;
        }
    }

    /// If all who heard of a suspicion ran a timer, one lost refutation among many would kill a
    /// live member. Hearsay counts only when it outlasts the suspicion by far, as when the
    /// first to suspect died itself; and then this daemon's own probes decide.
    async fn watch_reported_suspect(&self, vm: &str) {
        let probes = self.cfg.suspicion_probes(self.member_count()) * REPORTED_SUSPICION_FACTOR;
        self.clock
            .sleep(self.cfg.max_probe_duration() * probes)
            .await;
        if self.state(vm) == Some(State::Suspect) {
            self.watch(vm).await;
        }
    }

    /// Probes a suspect again and again. It is declared dead only when this daemon's own probes
    /// failed many times in a row. They are counted, not timed: after a freeze of this daemon any
    /// time is exceeded, and it would take all that it was probing for dead. The others hear of a suspicion only after its second
    /// failure: on a lossy wire most end there, and their gossip would fill the wire further.
    async fn watch(&self, vm: &str) {
        let Some(incarnation) = self.incarnation(vm) else {
            return;
        };
        let mut failures = 0;
        while failures < self.cfg.suspicion_probes(self.member_count()) {
            if !self.probe(vm).await {
                failures += 1;
                self.mark(vm, incarnation, State::Suspect);
            } else if self.state(vm) == Some(State::Suspect) {
                failures = 0;
                self.clock.sleep(self.cfg.period).await;
            } else {
                return;
            }
            if self.incarnation(vm) != Some(incarnation) {
                return;
            }
        }
        if let Some(dead) = self.mark(vm, incarnation, State::Dead) {
            self.announce(&dead).await;
        }
    }

    fn mark(&self, vm: &str, incarnation: Incarnation, state: State) -> Option<Member> {
        let now = self.clock.now();
        self.shared
            .update(|table| table.mark(vm, incarnation, state, now))
    }

    /// Incarnation of a member, `None` if it is unknown or dead.
    fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        let table = self.shared.table.borrow();
        let member = table.get(vm)?;
        (member.state != State::Dead).then_some(member.incarnation)
    }

    fn member_count(&self) -> usize {
        self.shared.table.borrow().others().count() + 1
    }

    fn state(&self, vm: &str) -> Option<State> {
        self.shared
            .table
            .borrow()
            .get(vm)
            .map(|member| member.state)
    }
}
