//! Tracks the last contact with the platform, of this daemon or of a peer.
//!
//! A recent contact means that the platform is reachable, not that the configuration is the
//! newest: a long poll may return what was current when it began.

use std::cell::Cell;
use std::time::Duration;

use lilaccrank::clock::BootTime;

/// Gap between contacts about the list after which entries of live targets may have expired. A
/// target renews its entry about every second; the entry expires after three times as long.
const LIST_OUTAGE: Duration = Duration::from_millis(2_200);
/// Time after such a gap in which live targets renew their entries. Targets still missing then
/// have gone.
const RECOVERY_TIME: Duration = Duration::from_millis(2_200);

/// Times of the last contact with the platform, by source.
#[derive(Default)]
pub struct PlatformContact {
    /// Last contact about configurations, direct or through a peer.
    configuration: Cell<Option<BootTime>>,
    /// Last contact of this daemon itself about configurations.
    direct: Cell<Option<BootTime>>,
    /// Last contact about the list of targets, direct or through a peer.
    list: Cell<Option<BootTime>>,
    /// End of the last gap in which entries of the list may have expired.
    outage_ended: Cell<Option<BootTime>>,
    /// Last direct contact that a watcher reported.
    watcher: Cell<Option<BootTime>>,
}

impl PlatformContact {
    /// Records that the platform answered this daemon about configurations.
    pub fn record_configuration(&self, at: BootTime) {
        advance(&self.configuration, at);
        advance(&self.direct, at);
    }

    /// Records a contact about the list of targets.
    pub fn record_list(&self, at: BootTime) {
        if self
            .list_age(at)
            .is_some_and(|silence| silence > LIST_OUTAGE)
        {
            advance(&self.outage_ended, at);
        }
        advance(&self.list, at);
    }

    /// Records that a peer had a contact at `at`.
    pub fn record_peer(&self, at: BootTime) {
        advance(&self.configuration, at);
        self.record_list(at);
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
        let silent = self.list_age(now).is_some_and(|age| age > LIST_OUTAGE);
        let ended = self.outage_ended.get();
        silent || ended.is_some_and(|ended| now.saturating_sub(ended) < RECOVERY_TIME)
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
