//! Probes suspects until they refute the suspicion or are declared dead.

use std::future::Future;

use super::Command;
use super::datagrams::Datagrams;
use super::gossip::Node;
use super::member::{Member, State};
use crate::clock::Clock;
use crate::ids::{Incarnation, VmId};

/// A member that learned of a suspicion from another one waits this many times the length of a
/// suspicion before it probes the suspect itself.
const REPORTED_SUSPICION_FACTOR: u32 = 2;

impl<C: Clock, D: Datagrams> Node<C, D> {
    pub(super) async fn handle_command(&self, command: Command) {
        match command {
            Command::ProbeHint(vm) => self.watch_once(&vm, self.check_hint(&vm)).await,
            Command::Leave(done) => {
                self.leave().await;
                // The caller may have stopped waiting; the announcement was sent anyway.
                let _ = done.send(());
            }
            Command::ReportedSuspect(vm) => {
                self.watch_once(&vm, self.watch_reported_suspect(&vm)).await
            }
            Command::Suspect(vm) => self.watch_once(&vm, self.watch(&vm)).await,
        }
    }

    /// Announces the departure to all members twice, since datagrams may be lost. Members that
    /// miss both learn of it through gossip.
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

    /// Probes a member that another one reported as suspect, if it is still suspect well after the
    /// suspicion should have ended, for instance because the reporter died. If every member that
    /// learned of a suspicion declared the death by a timer, one lost refutation would be enough to
    /// declare a live member dead; so this daemon's own probes decide.
    async fn watch_reported_suspect(&self, vm: &str) {
        let probes = self.cfg.suspicion_probes(self.member_count()) * REPORTED_SUSPICION_FACTOR;
        self.clock
            .sleep(self.cfg.max_probe_duration() * probes)
            .await;
        if self.state(vm) == Some(State::Suspect) {
            self.watch(vm).await;
        }
    }

    /// Probes a suspect repeatedly and declares it dead once enough of this daemon's own probes
    /// failed in a row. Failures are counted rather than timed: after a freeze of this daemon every
    /// deadline has passed, and it would declare the members that it was probing dead.
    ///
    /// The suspicion is only gossiped after a second failed probe. On a lossy network most
    /// suspicions end before that, and gossip about them would add to the load.
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

    /// Returns the incarnation of a member, or `None` if it is unknown or dead.
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
