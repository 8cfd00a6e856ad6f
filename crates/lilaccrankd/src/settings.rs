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
    /// The file is not of the format that is read.
    #[error("{path}: {message}")]
    Format {
        /// What is wrong, and where.
        message: String,
        /// The file.
        path: PathBuf,
    },
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
    /// Milliseconds for which a configuration is acted on without a proof that no newer one was
    /// published; 0 for ever. It bounds the time in which a key that was taken away still works
    /// at a daemon that is cut off.
    pub configuration_lease_ms: u64,
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Which daemon grants targets to the requests of a pool.
    pub dispatch: Dispatch,
    /// Milliseconds between two questions to a watcher whether something has changed.
    pub feed_ms: u64,
    /// Milliseconds until the first token.
    pub first_token_ms: u64,
    /// Where heartbeats are exchanged (UDP).
    pub gossip: SocketAddr,
    /// Milliseconds a keyed request runs on after its last caller has gone.
    pub grace_ms: u64,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
    /// Data centres that act as one with this one: their daemons are members, their targets are
    /// as good as those here.
    pub neighbours: Vec<DataCentre>,
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
    /// Units of a quota (requests or tokens) beyond its burst that all daemons together may let pass
    /// at once. Parts of a quota are small where daemons are many, and requests come in clumps.
    pub quota_reserve: f64,
    /// Where `GET` tells a balancer whether to send callers here, beside the admin address.
    pub readiness: Option<SocketAddr>,
    /// Whether callers may name their requests, so that a repeat reads the same answer.
    pub request_keys: bool,
    /// Requests in progress at once; more are refused.
    pub request_limit: usize,
    /// Second sends of requests over all daemons.
    pub retries: Retries,
    /// Gossip addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds a graceful shutdown may take before what is left is cut.
    pub shutdown_limit_ms: u64,
    /// Milliseconds of a graceful shutdown in which callers that still come are served, as long
    /// as the balancer takes to send them elsewhere.
    pub shutdown_serving_ms: u64,
    /// Non-idempotent claims that this daemon may write to the store each second, ten times as
    /// many at once after a quiet time. All daemons together share the store's writes.
    pub store_claims_per_s: u32,
    /// Events kept for the time line.
    pub timeline_events: usize,
    /// Milliseconds for a connection to a target.
    pub target_connect_ms: u64,
    /// Milliseconds since its last answer within which a connection to a target carries a request
    /// that is not sent again if it fails; 0 if each such request has a connection of its own.
    pub unrepeatable_rest_ms: u64,
    /// Name of the vm.
    pub vm: VmId,
    /// Daemons that watch the platform's store; the others hear from them. A second one, so that
    /// the death of one costs no time.
    pub watchers: usize,
}

/// Which daemon grants targets to the requests of a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dispatch {
    /// Each entry by itself; the daemons tell each other what they have sent.
    Each,
    /// One daemon for each pool, found by rendezvous hashing.
    #[default]
    OneForEachPool,
}

/// Second sends of requests to the targets of one pool, over all daemons.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Parts of the reserve at least; where there are more members, it is divided by them.
    pub daemons: u32,
    /// Second sends that all daemons together may save up.
    pub reserve: f64,
    /// Second sends for each first one.
    pub share: f64,
}

impl Default for Retries {
    /// A tenth more load can't hold down a pool that comes back; the reserve lets rare requests
    /// be repeated too.
    fn default() -> Self {
        Self {
            daemons: 10,
            reserve: 50.0,
            share: 0.1,
        }
    }
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
            configuration_lease_ms: 0,
            data_centre: "local".to_owned(),
            dispatch: Dispatch::default(),
            feed_ms: 1_000,
            first_token_ms: 30_000,
            gossip: port(7403),
            grace_ms: 2_000,
            log_level: log::LevelFilter::Info,
            neighbours: Vec::new(),
            order_in_flight_ms: 5_000,
            order_lease_ms: 10_000,
            other_data_centres: IndexMap::new(),
            peer: port(7402),
            platform: port(7300),
            quota_reserve: 0.0,
            readiness: None,
            request_keys: true,
            request_limit: 20_000,
            retries: Retries::default(),
            seeds: Vec::new(),
            shutdown_limit_ms: 60_000,
            shutdown_serving_ms: 0,
            store_claims_per_s: 10,
            target_connect_ms: 1_000,
            timeline_events: 20_000,
            unrepeatable_rest_ms: 0,
            vm: "vm-1".to_owned(),
            watchers: 2,
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

    /// Whether a data centre is this one, or acts as one with it.
    #[must_use]
    pub fn is_near(&self, data_centre: &str) -> bool {
        let mut near = std::iter::once(&self.data_centre).chain(&self.neighbours);
        near.any(|near| near == data_centre)
    }

    /// Name of the data centres that act as one: the first by name.
    #[must_use]
    pub fn group(&self) -> &DataCentre {
        let near = std::iter::once(&self.data_centre).chain(&self.neighbours);
        near.min().unwrap_or(&self.data_centre)
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
            ("feed_ms", self.feed_ms),
            ("first_token_ms", self.first_token_ms),
            ("order_in_flight_ms", self.order_in_flight_ms),
            ("order_lease_ms", self.order_lease_ms),
            ("request_limit", self.request_limit as u64),
            ("shutdown_limit_ms", self.shutdown_limit_ms),
            ("store_claims_per_s", self.store_claims_per_s.into()),
            ("target_connect_ms", self.target_connect_ms),
            ("timeline_events", self.timeline_events as u64),
            ("watchers", self.watchers as u64),
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
