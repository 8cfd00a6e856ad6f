//! Times and counts of the membership protocol.

use std::time::Duration;

/// Times and counts of the membership protocol. The defaults declare a killed daemon dead within
/// two to three seconds for up to about a hundred members, at under 2 KB/s for each.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Helpers asked when a member does not answer directly.
    pub helpers: usize,
    /// Time between two probes; each member probes one other at a time.
    pub period: Duration,
    /// Longest wait for a direct answer; as long again for an answer through helpers.
    pub probe_timeout: Duration,
    /// Probes of a suspect that have to fail in a row before it is declared dead, and one more
    /// for each fourfold growth of the members.
    pub suspicion_probes: u32,
    /// Time between two comparisons of whole tables with another member.
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
    /// Longest time that one probe takes.
    #[must_use]
    pub fn max_probe_duration(&self) -> Duration {
        self.probe_timeout * 2
    }

    /// Probes of a suspect that have to fail in a row among `members`.
    #[must_use]
    pub fn suspicion_probes(&self, members: usize) -> u32 {
        self.suspicion_probes + members.max(1).ilog2() / 2
    }
}
