//! Settings of the membership protocol.

use std::time::Duration;

/// Settings of the membership protocol. With the defaults, a killed daemon is declared dead within
/// two to three seconds among up to about a hundred members, and each member sends less than
/// 2 KB/s.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Number of helpers asked to ping a member that does not answer directly.
    pub helpers: usize,
    /// Interval between probes; each member probes one other at a time.
    pub period: Duration,
    /// Timeout for a direct answer, and again for an answer after the helpers were asked.
    pub probe_timeout: Duration,
    /// Consecutive failed probes of a suspect before it is declared dead; one is added for each
    /// fourfold growth of the number of members.
    pub suspicion_probes: u32,
    /// Mean interval between comparisons of the whole table with another member.
    pub sync_period: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            helpers: 3,
            period: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(100),
            suspicion_probes: 4,
            sync_period: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Returns the longest time that one probe takes.
    #[must_use]
    pub fn max_probe_duration(&self) -> Duration {
        self.probe_timeout * 2
    }

    /// Returns the number of consecutive failed probes after which a suspect is declared dead in a
    /// group of `members`.
    #[must_use]
    pub fn suspicion_probes(&self, members: usize) -> u32 {
        self.suspicion_probes + members.max(1).ilog2() / 2
    }
}
