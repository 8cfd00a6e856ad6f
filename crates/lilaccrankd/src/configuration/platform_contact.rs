//! When the platform was last heard, by this daemon or by one that told it.
//!
//! This is no proof that nothing was published since: a waiting call may have been answered with
//! what was known when it began. It tells whether there still is a way to the platform.

use std::cell::Cell;
use std::time::Duration;

use lilaccrank::clock::BootTime;

/// Silence after which entries of targets that live may have lapsed: a target renews its entry
/// every second or so, and it lapses after three times as long.
const LIST_OUTAGE: Duration = Duration::from_millis(2_200);
/// Time after such a silence in which living targets come back. What is missing then has gone.
const RECOVERY_TIME: Duration = Duration::from_millis(2_200);

/// When the platform was last heard.
#[derive(Default)]
pub struct PlatformContact {
    /// Of configurations, by whichever way.
    configuration: Cell<Option<BootTime>>,
    /// By this daemon itself.
    direct: Cell<Option<BootTime>>,
    /// Of the list of targets, by whichever way.
    list: Cell<Option<BootTime>>,
    /// When the last silence about the list ended in which entries may have lapsed.
    outage_ended: Cell<Option<BootTime>>,
    /// By a watcher itself, which told so.
    watcher: Cell<Option<BootTime>>,
}

impl PlatformContact {
    /// The platform answered this daemon about configurations.
    pub fn record_configuration(&self, at: BootTime) {
        advance(&self.configuration, at);
        advance(&self.direct, at);
    }

    /// The platform answered this daemon about the list of targets.
    pub fn record_list(&self, at: BootTime) {
        if self
            .list_age(at)
            .is_some_and(|silence| silence > LIST_OUTAGE)
        {
            advance(&self.outage_ended, at);
        }
        advance(&self.list, at);
    }

    /// Another daemon had heard it at `at`.
    pub fn record_peer(&self, at: BootTime) {
        advance(&self.configuration, at);
        self.record_list(at);
    }

    /// A watcher had heard it itself at `at`.
    pub fn record_watcher(&self, at: BootTime) {
        advance(&self.watcher, at);
    }

    /// How long ago it was last heard of both; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        let at = self.configuration.get()?.min(self.list.get()?);
        Some(now.saturating_sub(at))
    }

    /// Whether entries of targets that live may be missing from a list that comes now.
    #[must_use]
    pub fn may_lapse(&self, now: BootTime) -> bool {
        let silent = self.list_age(now).is_some_and(|age| age > LIST_OUTAGE);
        let ended = self.outage_ended.get();
        silent || ended.is_some_and(|ended| now.saturating_sub(ended) < RECOVERY_TIME)
    }

    /// How long ago it was last heard of the list of targets.
    #[must_use]
    pub fn list_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.list.get()?))
    }

    /// How long ago this daemon itself heard it.
    #[must_use]
    pub fn direct_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.direct.get()?))
    }

    /// How long ago a watcher itself had heard it.
    #[must_use]
    pub fn watcher_age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.watcher.get()?))
    }
}

fn advance(cell: &Cell<Option<BootTime>>, at: BootTime) {
    cell.set(cell.get().max(Some(at)));
}
