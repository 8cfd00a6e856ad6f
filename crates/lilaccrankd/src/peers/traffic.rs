//! Counts the daemon's control traffic by channel.

use lilaccrank_http::tally::Tally;

/// One tally for each channel of control traffic.
#[derive(Default)]
pub struct Traffic {
    /// Membership gossip, over UDP.
    pub gossip: Tally,
    /// Load on targets, over UDP.
    pub load_exchange: Tally,
    /// Calls to peers about news of configurations and of the platform.
    pub peer_configuration: Tally,
    /// Calls to peers about the backups of request keys.
    pub peer_copies: Tally,
    /// Calls to owners of request keys.
    pub peer_keys: Tally,
    /// Calls to peers about paths to targets.
    pub peer_paths: Tally,
    /// Calls to peers about pools.
    pub peer_pools: Tally,
    /// Calls from peers, of all kinds.
    pub peer_served: Tally,
    /// Contents of configurations from peers.
    pub peer_transfers: Tally,
    /// Calls to the platform.
    pub store: Tally,
    /// Records of where streams began, over UDP.
    pub stream_origins: Tally,
    /// Polls of the reports of targets.
    pub target_reports: Tally,
}

impl Traffic {
    /// Returns each tally with the name of its channel in the metrics.
    #[must_use]
    pub fn channels(&self) -> [(&'static str, &Tally); 12] {
        [
            ("gossip", &self.gossip),
            ("load_exchange", &self.load_exchange),
            ("peer_configuration", &self.peer_configuration),
            ("peer_copies", &self.peer_copies),
            ("peer_keys", &self.peer_keys),
            ("peer_paths", &self.peer_paths),
            ("peer_pools", &self.peer_pools),
            ("peer_served", &self.peer_served),
            ("peer_transfers", &self.peer_transfers),
            ("store", &self.store),
            ("stream_origins", &self.stream_origins),
            ("target_reports", &self.target_reports),
        ]
    }
}
