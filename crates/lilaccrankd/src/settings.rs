//! The daemon's settings: where it runs, where it listens, and its bounds.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::ids::{DataCentre, VmId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum Error {
    /// A value makes no sense.
    #[error("{field} is {value}: {hint}")]
    Invalid {
        /// Name of the setting.
        field: &'static str,
        /// What would do.
        hint: &'static str,
        /// The value found.
        value: String,
    },
    /// The file is not valid JSON or has an unknown field.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: PathBuf,
        /// Line, column and what was expected.
        source: serde_json::Error,
    },
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
}

/// All settings; every field has a default.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Where operators and metrics are served.
    pub admin: SocketAddr,
    /// Bytes of ended answers kept for callers that repeat a key.
    pub answer_cache_bytes: usize,
    /// Largest answer in bytes; a longer one is broken off.
    pub answer_limit: usize,
    /// Milliseconds for which an ended answer is kept for callers that repeat its key.
    pub answer_ttl_ms: u64,
    /// Milliseconds without a token after which a stream is taken up on a new connection.
    pub between_tokens_ms: u64,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Milliseconds for a caller to send its body, and to take a part of its answer.
    pub body_timeout_ms: u64,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Milliseconds until the first token.
    pub first_token_ms: u64,
    /// Where heartbeats are exchanged (UDP).
    pub gossip: SocketAddr,
    /// Milliseconds a keyed request runs on after its last caller has gone.
    pub grace_ms: u64,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
    /// Milliseconds from the start of an order to a target until it can no longer reach it.
    pub order_in_flight_ms: u64,
    /// Milliseconds for which the lease for orders is held without being renewed.
    pub order_lease_ms: u64,
    /// Daemons in other data centres, for spilled requests and for configurations.
    pub other_data_centres: IndexMap<DataCentre, Vec<OtherDaemon>>,
    /// Where other daemons are served.
    pub peer: SocketAddr,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Requests in progress at once; more are refused.
    pub request_limit: usize,
    /// Gossip addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds a graceful shutdown may take before what is left is cut.
    pub shutdown_limit_ms: u64,
    /// Non-idempotent claims that this daemon may write to the store each second, ten times as
    /// many at once after a quiet time. All daemons together share the store's writes.
    pub store_claims_per_s: u32,
    /// Events kept for the time line.
    pub timeline_events: usize,
    /// Name of the vm.
    pub vm: VmId,
}

/// A daemon of another data centre.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OtherDaemon {
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
}

impl Default for Settings {
    fn default() -> Self {
        let port = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            admin: port(7401),
            answer_cache_bytes: 32 << 20,
            answer_limit: 32 << 20,
            answer_ttl_ms: 60_000,
            between_tokens_ms: 2_000,
            body_limit: 4 << 20,
            body_timeout_ms: 10_000,
            callers: port(7400),
            data_centre: "local".to_owned(),
            first_token_ms: 30_000,
            gossip: port(7403),
            grace_ms: 2_000,
            log_level: log::LevelFilter::Info,
            order_in_flight_ms: 5_000,
            order_lease_ms: 10_000,
            other_data_centres: IndexMap::new(),
            peer: port(7402),
            platform: port(7300),
            request_limit: 20_000,
            seeds: Vec::new(),
            shutdown_limit_ms: 60_000,
            store_claims_per_s: 10,
            timeline_events: 20_000,
            vm: "vm-1".to_owned(),
        }
    }
}

impl Settings {
    /// Reads a file; what it does not name keeps its default.
    ///
    /// # Errors
    ///
    /// If it can't be read or is not JSON of this shape.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| Error::Json {
            path: path.to_owned(),
            source,
        })
    }

    /// Peer addresses in other data centres.
    #[must_use]
    pub fn other_peers(&self) -> Rc<[SocketAddr]> {
        let others = self.other_data_centres.values().flatten();
        others.map(|daemon| daemon.peer).collect()
    }

    /// Checks what the types can't.
    ///
    /// # Errors
    ///
    /// The first value that makes no sense.
    pub fn check(&self) -> Result<()> {
        let positive = [
            ("answer_limit", self.answer_limit as u64),
            ("answer_ttl_ms", self.answer_ttl_ms),
            ("between_tokens_ms", self.between_tokens_ms),
            ("body_limit", self.body_limit as u64),
            ("body_timeout_ms", self.body_timeout_ms),
            ("first_token_ms", self.first_token_ms),
            ("order_in_flight_ms", self.order_in_flight_ms),
            ("order_lease_ms", self.order_lease_ms),
            ("request_limit", self.request_limit as u64),
            ("shutdown_limit_ms", self.shutdown_limit_ms),
            ("store_claims_per_s", self.store_claims_per_s.into()),
            ("timeline_events", self.timeline_events as u64),
        ];
        for (field, value) in positive {
            if value == 0 {
                return Err(invalid(field, value, "give a number above 0"));
            }
        }
        for (field, value) in [("vm", &self.vm), ("data_centre", &self.data_centre)] {
            if value.is_empty() {
                return Err(invalid(field, "empty", "give a name"));
            }
        }
        if self.other_data_centres.contains_key(&self.data_centre) {
            let hint = "leave out the daemon's own data centre";
            return Err(invalid("other_data_centres", &self.data_centre, hint));
        }
        Ok(())
    }
}

fn invalid(field: &'static str, value: impl ToString, hint: &'static str) -> Error {
    Error::Invalid {
        field,
        hint,
        value: value.to_string(),
    }
}
