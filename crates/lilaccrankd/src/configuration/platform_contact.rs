//! Tracks the last contact with the platform, of this daemon or of a peer.
//!
//! A recent contact means that the platform is reachable, not that the configuration is the
//! newest: a long poll may return what was current when it began.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use lilaccrank::clock::BootTime;
use lilaccrank::ids::VmId;
use lilaccrank::store_revision::LatestEra;

/// Gap between contacts about the list after which entries of live targets may have expired, if a call
/// failed in it. A target renews its entry about every second; the entry expires after three times as
/// long.
const LIST_OUTAGE: Duration = Duration::from_millis(2_200);
/// Time after an outage in which live targets renew their entries. Targets still missing then have
/// gone. A target that left during the outage may get no request for longer than two seconds.
const RECOVERY_TIME: Duration = Duration::from_millis(1_900);
/// Time after the last known contact of a member with the platform in which it counts as one that reaches
/// it. A watch of the platform returns within 800 ms, and the news of it comes with a poll or two.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Times of the last contact with the platform, by source.
#[derive(Default)]
pub struct PlatformContact {
    /// Last contact about configurations, direct or through a peer.
    configuration: Cell<Option<BootTime>>,
    /// Last contact of this daemon itself about configurations.
    direct: Cell<Option<BootTime>>,
    /// Other member with the last known direct contact, and its time.
    direct_member: RefCell<Option<(VmId, BootTime)>>,
    /// Last contact about the list of targets, direct or through a peer.
    list: Cell<Option<BootTime>>,
    /// Last call about the list that the platform did not answer, to this daemon or another.
    list_failure: Cell<Option<BootTime>>,
    /// The contacts about the list since the last outage.
    list_run: Cell<Option<Run>>,
    /// Latest era of the platform's store.
    pub latest_era: LatestEra,
    /// Last direct contact that a watcher reported.
    watcher: Cell<Option<BootTime>>,
}

/// Contacts without an interruption after which entries of live targets may be missing from the list.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// What came before it; `None` for late news or the start of the daemon.
    follows: Option<Interruption>,
    since: BootTime,
}

/// Why entries of live targets may be missing from the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interruption {
    /// Targets could not renew them.
    Outage,
    /// The store has come back from a copy that lacks them.
    Restore,
}

impl PlatformContact {
    /// Records that the platform answered this daemon about configurations.
    pub fn record_configuration(&self, at: BootTime) {
        advance(&self.configuration, at);
        advance(&self.direct, at);
    }

    /// Records a contact about the list of targets.
    pub fn record_list(&self, at: BootTime) {
        let silence = self.list_age(at);
        if silence.is_none_or(|silence| silence > LIST_OUTAGE) {
            self.list_run.set(Some(Run {
                follows: self.has_list_failed().then_some(Interruption::Outage),
                since: at,
            }));
        }
        advance(&self.list, at);
    }

    /// Records that the platform did not answer a call about the list. Without such a call, a gap between
    /// contacts means that news came late, not that the platform was away.
    pub fn record_list_failure(&self, at: BootTime) {
        advance(&self.list_failure, at);
    }

    /// Records that the platform's store has come back from an older copy, which lacks the entries of
    /// targets that have come since.
    pub fn record_restore(&self, at: BootTime) {
        let follows = match self.may_expire(at) {
            true => Interruption::Outage,
            false => Interruption::Restore,
        };
        self.list_run.set(Some(Run {
            follows: Some(follows),
            since: at,
        }));
        advance(&self.list, at);
    }

    /// Records that a peer had a contact at `at`.
    pub fn record_peer(&self, at: BootTime) {
        advance(&self.configuration, at);
        self.record_list(at);
    }

    /// Records that a peer has had contact about the list without an outage since `since`. What this
    /// daemon did not hear in that time was no outage of the platform.
    pub fn record_peer_run(&self, since: BootTime) {
        if let Some(run) = self.list_run.get() {
            self.list_run.set(Some(Run {
                since: run.since.min(since),
                ..run
            }));
        }
    }

    /// Records that another member had a direct contact at `at`.
    pub fn record_direct_member(&self, vm: &VmId, at: BootTime) {
        let mut member = self.direct_member.borrow_mut();
        if member.as_ref().is_none_or(|(_, known)| *known < at) {
            *member = Some((vm.clone(), at));
        }
    }

    /// Another member that reaches the platform, and the age of its last known contact.
    #[must_use]
    pub fn direct_member(&self, now: BootTime) -> Option<(VmId, Duration)> {
        let member = self.direct_member.borrow();
        let (vm, at) = member.as_ref()?;
        let age = now.saturating_sub(*at);
        (age < MEMBER_TIMEOUT).then(|| (vm.clone(), age))
    }

    /// Records that a watcher had a direct contact at `at`.
    pub fn record_watcher(&self, at: BootTime) {
        advance(&self.watcher, at);
    }

    /// Age of the older of the last contacts about configurations and about the list; `None` if
    /// either is missing.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let at = self.configuration.get()?.min(self.list.get()?);
        Some(now.saturating_sub(at))
    }

    /// Returns `true` if a list that arrives now may lack entries of live targets.
    #[must_use]
    pub fn may_lapse(&self, now: BootTime) -> bool {
        self.may_expire(now) || self.recovers_from(now).is_some()
    }

    /// Returns `true` if entries of live targets may expire now, or may have in an outage that has just
    /// ended.
    #[must_use]
    pub fn may_expire(&self, now: BootTime) -> bool {
        let is_away = self.is_list_silent(now) && self.has_list_failed();
        is_away || self.recovers_from(now) == Some(Interruption::Outage)
    }

    /// What entries of live targets are coming back from, if they are.
    fn recovers_from(&self, now: BootTime) -> Option<Interruption> {
        let run = self.list_run.get()?;
        let is_recent = now.saturating_sub(run.since) < RECOVERY_TIME;
        run.follows.filter(|_| is_recent)
    }

    /// Time for which there has been contact about the list without an outage; `None` if there is
    /// none at present.
    #[must_use]
    pub fn steady_for(&self, now: BootTime) -> Option<Duration> {
        let run = self.list_run.get().filter(|_| !self.is_list_silent(now))?;
        Some(now.saturating_sub(run.since))
    }

    fn is_list_silent(&self, now: BootTime) -> bool {
        self.list_age(now).is_some_and(|age| age > LIST_OUTAGE)
    }

    /// Returns `true` if a call about the list has failed since the last contact about it.
    fn has_list_failed(&self) -> bool {
        let contact = self.list.get();
        contact.is_some() && self.list_failure.get() > contact
    }

    /// Time since a call about the list failed, of this daemon or another; `None` if none has.
    #[must_use]
    pub fn list_failure_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.list_failure.get()?))
    }

    /// Age of the last contact about the list of targets.
    #[must_use]
    pub fn list_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.list.get()?))
    }

    /// Age of the last direct contact of this daemon.
    #[must_use]
    pub fn direct_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.direct.get()?))
    }

    /// Age of the last direct contact that a watcher reported.
    #[must_use]
    pub fn watcher_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.watcher.get()?))
    }
}

fn advance(cell: &Cell<Option<BootTime>>, at: BootTime) {
    cell.set(cell.get().max(Some(at)));
}
