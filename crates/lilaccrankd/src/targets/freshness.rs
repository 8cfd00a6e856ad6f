//! How old this daemon's list of targets is, and whether that is too old to send by it.
//!
//! A target that leaves may get requests for a bounded time only, so the list must not be older than
//! that at a send. A daemon that can't reach the platform is the exception: it goes on serving by the
//! last list it has.

use std::cell::Cell;
use std::time::{Duration, Instant};

use event_listener::Event;
use lilaccrank::clock::{BootTime, Clock};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;

/// Time after which a call that the platform has not answered shows that it is unreachable. A
/// reachable one answers within milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Longest time between two observations of a process that was not paused.
const MAX_OBSERVATION_GAP: Duration = Duration::from_millis(500);

/// How recent the list of targets is.
#[derive(Default)]
pub struct Freshness {
    /// When the list was last known to be the newest.
    confirmed_at: Cell<Option<BootTime>>,
    /// When the answer of the first unanswered call was due.
    due_at: Cell<Option<BootTime>>,
    /// Last observation, from which pauses of the process are told.
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

    /// Records that calls to the platform are given up, since other daemons follow it.
    pub fn forget_calls(&self) {
        self.due_at.take();
    }

    /// Notes that the process is running; has to be called at intervals well below half a second.
    /// After a pause, answers that seem to be overdue may be waiting to be read.
    pub fn observe(&self, now: BootTime) {
        let since = self.observed_at.replace(Some(now));
        let was_paused = since.is_some_and(|since| now.saturating_sub(since) > MAX_OBSERVATION_GAP);
        if was_paused && self.due_at.get().is_some() {
            self.due_at.set(Some(now));
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
        match self.due_at.get() {
            Some(due_at) if now >= due_at + ANSWER_TIME => Usability::BestAvailable,
            _ => Usability::Outdated,
        }
    }

    /// Completes once a send needs a newer list.
    pub async fn needed(&self) {
        self.needed.listen().await;
    }
}

/// Waits while the list of targets is too old to send by it and the platform may still give a newer
/// one.
pub async fn until_usable(daemon: &Daemon) {
    let lease = Duration::from_millis(daemon.cfg.listing_lease_ms);
    if lease.is_zero() {
        return;
    }
    let freshness = &daemon.live_list.freshness;
    let started = Instant::now();
    loop {
        let confirmed = freshness.confirmed.listen();
        let now = MonoioClock.boot_time();
        freshness.observe(now);
        if freshness.usability(lease, now) != Usability::Outdated {
            return;
        }
        let left = (ANSWER_TIME * 2).saturating_sub(started.elapsed());
        if left.is_zero() {
            let age = freshness.age(now);
            log::warn!(
                list_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
                "sending by an old list: the platform was not asked for a newer one"
            );
            return;
        }
        freshness.needed.notify(usize::MAX);
        let _ = monoio::time::timeout(left.min(ANSWER_TIME / 5), confirmed).await;
    }
}
