//! Member table: applies reports, selects the updates to send and computes the digest.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3;

use super::member::{Member, State};
use super::message::DatagramBudget;
use crate::ids::{Incarnation, VmId};

/// Number of times a change is sent, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Time for which a dead member is kept, so that it can be told of its death if it resumes after
/// a freeze.
const DEAD_MEMBER_TTL: Duration = Duration::from_secs(3_600);

/// Effect of a report on the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Applied {
    /// The report changed the table.
    Changed,
    /// The report added a suspicion that the table did not have.
    NewSuspect,
    /// The report superseded this record, in which the member was dead.
    Resurrected(Member),
    /// The report was about this daemon and older than its own record.
    StaleAboutMe,
    /// The report changed nothing.
    Unchanged,
}

pub(super) struct Table {
    pub(super) declared_dead: u64,
    /// Highest incarnation of this daemon whose declared death was counted; initially the one
    /// before its own, so that deaths of earlier processes are not counted.
    max_counted_incarnation: Incarnation,
    me: VmId,
    members: IndexMap<VmId, Entry>,
    pub(super) version: u64,
}

struct Entry {
    changed_at: Instant,
    member: Member,
    sends_left: u32,
}

impl Table {
    pub(super) fn new(me: Member, now: Instant) -> Self {
        let mut table = Self {
            declared_dead: 0,
            max_counted_incarnation: me.incarnation.saturating_sub(1),
            me: me.vm.clone(),
            members: IndexMap::new(),
            version: 1,
        };
        table.store(me, now);
        table
    }

    pub(super) fn me(&self) -> &Member {
        &self.members[&self.me].member
    }

    pub(super) fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm).map(|entry| &entry.member)
    }

    /// Returns all members, in no particular order.
    pub(super) fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns all other members that are not dead.
    pub(super) fn others(&self) -> impl Iterator<Item = &Member> {
        self.all()
            .filter(|member| member.state != State::Dead && member.vm != self.me)
    }

    /// Applies one report. Reports about other data centres and about the death of unknown members
    /// are ignored.
    pub(super) fn apply(&mut self, report: Member, now: Instant) -> Applied {
        if report.data_centre != self.me().data_centre {
            return Applied::Unchanged;
        }
        if report.vm == self.me {
            return self.apply_to_me(&report, now);
        }
        let known = self.get(&report.vm);
        if known.is_none() && report.state == State::Dead {
            return Applied::Unchanged;
        }
        if known.is_some_and(|known| !report.supersedes(known)) {
            return Applied::Unchanged;
        }
        let declared_dead = known.filter(|known| known.state == State::Dead).cloned();
        let suspect = report.state == State::Suspect;
        self.mark_predecessors_dead(&report, now);
        self.store(report, now);
        match declared_dead {
            Some(record) => Applied::Resurrected(record),
            None if suspect => Applied::NewSuspect,
            None => Applied::Changed,
        }
    }

    /// Sets the state of a member if it is still at `incarnation`. Returns the new record if the
    /// table changed.
    pub(super) fn mark(
        &mut self,
        vm: &str,
        incarnation: Incarnation,
        state: State,
        now: Instant,
    ) -> Option<Member> {
        let mut report = self.get(vm)?.clone();
        if report.incarnation != incarnation {
            return None;
        }
        report.state = state;
        let changed = self.apply(report.clone(), now) != Applied::Unchanged;
        changed.then_some(report)
    }

    /// Marks this daemon as leaving and returns its new record.
    pub(super) fn leave(&mut self, now: Instant) -> Member {
        let mut me = self.me().clone();
        me.state = State::Leaving;
        self.store(me.clone(), now);
        me
    }

    /// Applies a report about this daemon. A report that differs from its own record and is not
    /// older is refuted with a higher incarnation, since the others would otherwise keep it.
    fn apply_to_me(&mut self, report: &Member, now: Instant) -> Applied {
        let mut me = self.me().clone();
        if *report == me {
            return Applied::Unchanged;
        }
        self.count_death(report);
        let leaving = me.state == State::Leaving && report.state < State::Leaving;
        if report.incarnation < me.incarnation || (report.incarnation == me.incarnation && leaving)
        {
            return Applied::StaleAboutMe;
        }
        me.incarnation = report.incarnation + 1;
        self.store(me, now);
        Applied::Changed
    }

    /// Counts each declared death of this daemon once. It also counts a death below the current
    /// incarnation: after a freeze the daemon may receive an older suspicion first and increase its
    /// incarnation to refute that.
    fn count_death(&mut self, report: &Member) {
        if report.state == State::Dead && report.incarnation > self.max_counted_incarnation {
            self.max_counted_incarnation = report.incarnation;
            self.declared_dead += 1;
            self.version += 1;
        }
    }

    /// Marks earlier members at the address of a live one as dead. A replacement VM has another
    /// name but the same address, and the old name would keep its duties until its suspicion ended.
    /// A later start at the same address proves that the earlier process is gone.
    fn mark_predecessors_dead(&mut self, report: &Member, now: Instant) {
        if report.state != State::Live {
            return;
        }
        let predecessors: Vec<_> = self
            .others()
            .filter(|other| other.gossip == report.gossip && other.vm != report.vm)
            .filter(|other| other.incarnation < report.incarnation)
            .cloned()
            .collect();
        for mut member in predecessors {
            member.state = State::Dead;
            self.store(member, now);
        }
    }

    fn store(&mut self, member: Member, now: Instant) {
        let doublings = (self.members.len() + 2).ilog2() + 1;
        let entry = Entry {
            changed_at: now,
            sends_left: SENDS_PER_DOUBLING * doublings,
            member,
        };
        self.members.insert(entry.member.vm.clone(), entry);
        self.version += 1;
    }

    /// Returns the updates for the next datagram and counts them as sent: the records of
    /// `priority`, which are not counted, and then the changes with the most sends left.
    pub(super) fn take_updates(&mut self, priority: &[VmId]) -> Vec<Member> {
        let mut budget = DatagramBudget::new();
        let mut updates: Vec<Member> = Vec::new();
        for vm in priority {
            if let Some(member) = self.get(vm)
                && budget.reserve(member)
            {
                updates.push(member.clone());
            }
        }
        let mut waiting: Vec<&mut Entry> = self
            .members
            .values_mut()
            .filter(|entry| entry.sends_left > 0 && !priority.contains(&entry.member.vm))
            .collect();
        waiting.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in waiting {
            if !budget.reserve(&entry.member) {
                break;
            }
            entry.sends_left -= 1;
            updates.push(entry.member.clone());
        }
        updates
    }

    /// Returns the whole table, split into parts that each fit into one datagram.
    pub(super) fn parts(&self) -> Vec<Vec<Member>> {
        let mut parts = vec![Vec::new()];
        let mut budget = DatagramBudget::new();
        for member in self.all() {
            if !budget.reserve(member) {
                parts.push(Vec::new());
                budget = DatagramBudget::new();
                budget.reserve(member);
            }
            if let Some(part) = parts.last_mut() {
                part.push(member.clone());
            }
        }
        parts
    }

    /// Returns a hash of the state on which all members should agree. Dead members are left out
    /// because each member removes them at a different time, and suspicions because they are
    /// short-lived.
    pub(super) fn digest(&self) -> u64 {
        self.all()
            .filter(|member| member.state != State::Dead)
            .map(|member| {
                let leaving = u64::from(member.state == State::Leaving);
                let seed = member.incarnation.wrapping_mul(2).wrapping_add(leaving);
                xxh3::xxh3_64_with_seed(member.vm.as_bytes(), seed)
            })
            .fold(0, u64::wrapping_add)
    }

    /// Removes members that have been dead for [`DEAD_MEMBER_TTL`].
    pub(super) fn remove_expired_dead(&mut self, now: Instant) {
        self.members.retain(|_, entry| {
            entry.member.state != State::Dead || now - entry.changed_at < DEAD_MEMBER_TTL
        });
    }
}
