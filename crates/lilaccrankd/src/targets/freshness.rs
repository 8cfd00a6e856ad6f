//! How old this daemon's list of targets is, and whether that is too old to send by it.
//!
//! A target that leaves may get requests for a bounded time only, so the list must not be older than
//! that at a send. A daemon that can't reach the platform is the exception: it goes on serving by the
//! last list it has.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::{Event, EventListener};
use lilaccrank::clock::{self, BootTime, Clock};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrank_http::runtime::usage;

use crate::daemon::Daemon;

/// Time after which a call that the platform has not answered shows that it is unreachable. A
/// reachable one answers within milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Time after which a send that needs a newer list shows that the platform is not asked for one.
const ASKING_TIME: Duration = Duration::from_millis(500);
/// Interval of [`run`].
const TICK: Duration = Duration::from_millis(50);
/// Time between two ticks from which it is logged.
const LOGGED_GAP: Duration = Duration::from_millis(500);

/// How recent the list of targets is.
#[derive(Default)]
pub struct Freshness {
    /// When the list was last known to be the newest.
    confirmed_at: Cell<Option<BootTime>>,
    /// When the answer of the first unanswered call was due. Moves on while the process does not run.
    due_at: Cell<Option<BootTime>>,
    /// When a send first needed a newer list. Moves on while the process does not run.
    needed_at: Cell<Option<BootTime>>,
    /// Last tick, from which pauses of the process are told.
    observed_at: Cell<Option<BootTime>>,
    /// Notified when the list is confirmed.
    confirmed: Event,
    /// Notified when a send needs a newer list.
    needed: Event,
}

/// Whether requests may be sent by the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Usability {
    /// It is recent enough.
    Current,
    /// It is too old, and the platform can't be reached for a newer one.
    BestAvailable,
    /// It is too old, and the platform has not been asked for a newer one since a send needed it.
    NotAsked,
    /// It is too old, and the platform has not been asked or may still answer.
    Outdated,
}

impl Freshness {
    /// Records that the list was the newest at `at`, as another daemon says. A call that the platform
    /// should have answered since then remains unanswered.
    pub fn confirm(&self, at: BootTime) {
        if Some(at) <= self.confirmed_at.get() {
            return;
        }
        self.confirmed_at.set(Some(at));
        self.needed_at.take();
        if self.due_at.get().is_some_and(|due_at| due_at <= at) {
            self.due_at.take();
        }
        self.confirmed.notify(usize::MAX);
    }

    /// Records an answer of the platform, by which the list was the newest at `at`.
    pub fn answered(&self, at: BootTime) {
        self.due_at.take();
        self.confirm(at);
    }

    /// Records a call to the platform about the list, whose answer is due at `at`.
    pub fn expect_answer(&self, at: BootTime) {
        self.due_at.set(self.due_at.get().or(Some(at)));
    }

    /// Records that a part of an answer came at `now`: the platform is there.
    pub fn expect_rest(&self, now: BootTime) {
        let due_at = self.due_at.get();
        self.due_at.set(due_at.map(|due_at| due_at.max(now)));
    }

    /// Records that calls to the platform are given up, since other daemons follow it.
    pub fn forget_calls(&self) {
        self.due_at.take();
    }

    /// Records that a send needs a newer list.
    pub fn need(&self, now: BootTime) {
        self.needed_at.set(self.needed_at.get().or(Some(now)));
        self.needed.notify(usize::MAX);
    }

    /// Notes that the process is running, and has read what had arrived before. Of the time since the last
    /// call for which it was `behind` with its tasks, a half counts at most, so that each wait ends.
    pub fn observe(&self, now: BootTime, behind: Duration) {
        let since = self.observed_at.replace(Some(now));
        let gap = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let period = usage::take_period();
        if gap > LOGGED_GAP {
            log::warn!(
                busiest_ms = period.busiest.time.as_millis() as u64,
                busiest_task = period.busiest.task,
                for_ms = gap.as_millis() as u64,
                longest_poll_ms = period.longest_poll.time.as_millis() as u64,
                longest_poll_task = period.longest_poll.task,
                polls = period.polls;
                "a timer of this process was late"
            );
        }
        let held_up = clock::held_up(gap).max(behind.min(gap / 2));
        for wait in [&self.due_at, &self.needed_at] {
            let passed = wait.get().filter(|at| *at < now);
            if let Some(at) = passed {
                wait.set(Some((at + held_up).min(now)));
            }
        }
    }

    /// Time since the list was known to be the newest; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at.get()?))
    }

    /// Returns whether requests may be sent by a list that must not be older than `lease`.
    #[must_use]
    pub fn usability(&self, lease: Duration, now: BootTime) -> Usability {
        if self.age(now).is_some_and(|age| age <= lease) {
            return Usability::Current;
        }
        let observed_at = self.observed_at.get();
        let ran_until = observed_at.map_or(now, |at| now.min(at + clock::MAX_STEP));
        let is_over = |wait: &Cell<Option<BootTime>>, limit| {
            wait.get().is_some_and(|since| ran_until >= since + limit)
        };
        if is_over(&self.due_at, ANSWER_TIME) {
            Usability::BestAvailable
        } else if self.due_at.get().is_none() && is_over(&self.needed_at, ASKING_TIME) {
            Usability::NotAsked
        } else {
            Usability::Outdated
        }
    }

    /// Completes once a send needs a newer list.
    pub async fn needed(&self) {
        self.needed.listen().await;
    }

    /// Listens for the next confirmation of the list.
    #[must_use]
    pub fn confirmed(&self) -> EventListener {
        self.confirmed.listen()
    }
}

/// Returns `true` if requests may be sent by the list of targets now; asks for a newer one if not.
#[must_use]
pub fn is_usable(daemon: &Daemon) -> bool {
    let lease = clock::millis(daemon.cfg.listing_lease_ms);
    if lease.is_zero() {
        return true;
    }
    let freshness = &daemon.live_list.freshness;
    let now = MonoioClock.boot_time();
    let is_usable = freshness.usability(lease, now) != Usability::Outdated;
    if !is_usable {
        freshness.need(now);
    }
    is_usable
}

/// Waits while the list of targets is too old to send by it and the platform may still give a newer
/// one.
pub async fn until_usable(daemon: &Daemon) {
    let lease = clock::millis(daemon.cfg.listing_lease_ms);
    if lease.is_zero() {
        return;
    }
    let freshness = &daemon.live_list.freshness;
    loop {
        let confirmed = freshness.confirmed();
        let now = MonoioClock.boot_time();
        match freshness.usability(lease, now) {
            Usability::Current | Usability::BestAvailable => return,
            Usability::NotAsked => {
                log::warn!(
                    list_age_ms = freshness.age(now).map_or(-1, |age| age.as_millis() as i64);
                    "sending by an old list: the platform was not asked for a newer one"
                );
                return;
            }
            Usability::Outdated => freshness.need(now),
        }
        let _ = monoio::time::timeout(TICK, confirmed).await;
    }
}

/// Notes at intervals that the process is running, for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        let now = MonoioClock.boot_time();
        let behind = runtime::take_time_behind();
        daemon.live_list.freshness.observe(now, behind);
        monoio::time::sleep(TICK).await;
    }
}
