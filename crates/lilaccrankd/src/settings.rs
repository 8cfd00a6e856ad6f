//! Settings of the daemon: identity, addresses, limits and timeouts.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::ids::{DataCentre, VmId};
use lilaccrank::quota;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The file has a format that can't be parsed.
    #[error("{path}: {message}")]
    Format {
        /// What is wrong, and where.
        message: String,
        /// The file.
        path: PathBuf,
    },
    /// A value is invalid.
    #[error("{field} is {value}: {hint}")]
    Invalid {
        /// Name of the setting.
        field: &'static str,
        /// Describes a valid value.
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
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// All settings; every field has a default.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Listen address for operators and metrics.
    pub admin: SocketAddr,
    /// Maximum size of the cache of finished answers, in bytes.
    pub answer_cache_bytes: usize,
    /// Maximum size in bytes up to which an answer is kept for callers that repeat its key, and maximum size
    /// of an engine's answer; a longer one of an engine is aborted.
    pub answer_limit: usize,
    /// Size of all bodies and answers in progress, in bytes, beyond which no request is taken, no answer is
    /// kept for repeats and targets are read at the pace of the callers.
    pub answers_total_limit: usize,
    /// Milliseconds for which a finished answer is cached for callers that repeat its key.
    pub answer_ttl_ms: u64,
    /// Milliseconds without a token after which a stream is resumed on a new connection.
    pub between_tokens_ms: u64,
    /// Maximum size of a request body in bytes.
    pub body_limit: usize,
    /// Milliseconds for a caller to send its body, and to read a part of its answer.
    pub body_timeout_ms: u64,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Milliseconds for which a configuration is used without confirmation that it is the newest;
    /// 0 for no limit. It bounds how long a revoked key still works at a daemon that is cut off.
    pub configuration_lease_ms: u64,
    /// Open connections of callers beyond which the one that has been idle for longest is closed for each new
    /// one.
    pub connection_limit: usize,
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Which daemon grants targets to the requests of a pool.
    pub dispatch: Dispatch,
    /// Mean milliseconds between two polls of a watcher for changes.
    pub feed_ms: u64,
    /// Timeout for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Listen address for gossip (UDP).
    pub gossip: SocketAddr,
    /// Milliseconds for which a keyed request continues after its last caller disconnected.
    pub grace_ms: u64,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: log::LevelFilter,
    /// Data centres that form one group with this one: their daemons are members, and their targets
    /// are used like local ones.
    pub neighbours: Vec<DataCentre>,
    /// Milliseconds after which an order that was sent can no longer reach its target.
    pub order_in_flight_ms: u64,
    /// Duration of the lease for orders in milliseconds, without renewal.
    pub order_lease_ms: u64,
    /// Daemons in other data centres, for spilled requests and for newer configurations.
    pub other_data_centres: IndexMap<DataCentre, Vec<OtherDaemon>>,
    /// Listen address for other daemons.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Bytes of next requests that are read while one is in progress, over all connections of callers. More
    /// waits in the kernel, and that a caller hangs up behind it is seen only after the answer.
    pub read_ahead_limit: usize,
    /// Listen address for requests of other daemons to targets that they can't reach; `None` to relay
    /// none.
    pub relay: Option<SocketAddr>,
    /// Units of a quota (requests or tokens) that all daemons together may admit at once beyond its
    /// burst. With many daemons each has a small share of a quota, and requests come in bursts.
    pub quota_reserve: f64,
    /// Time in milliseconds over which a quota is judged. A request that exceeds its quota over that time
    /// by itself is refused.
    pub quota_window_ms: u64,
    /// Additional listen address of the readiness check for load balancers.
    pub readiness: Option<SocketAddr>,
    /// Enables request keys, with which a repeated request gets the answer of the first.
    pub request_keys: bool,
    /// Maximum number of requests in progress; more are refused. Bodies and answers in progress count as the
    /// requests that their memory would hold, 140 KB each.
    pub request_limit: usize,
    /// Retry budget of each pool over all daemons.
    pub retries: Retries,
    /// Whether operators may order roll-outs of software versions on this platform.
    pub rollouts: bool,
    /// Maximum age in milliseconds of the list of targets at a send, while the platform can be
    /// reached; 0 for no limit. Set it to the time for which a leaving target may still get
    /// requests, less the time that a request takes to reach it.
    pub listing_lease_ms: u64,
    /// Bytes a second that this VM's link carries each way, which bounds how fast requests are sent to
    /// targets; 0 for no limit.
    pub link_bytes_per_s: u64,
    /// Gossip addresses of the members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Whether a second signal aborts the requests that are left of a graceful shutdown. Unset it where
    /// signals may be sent again and the process is killed at the end of its grace.
    pub shutdown_cut_by_signal: bool,
    /// Milliseconds after which a graceful shutdown aborts the remaining requests.
    pub shutdown_limit_ms: u64,
    /// Milliseconds at the start of a graceful shutdown in which new requests are still served. Set
    /// it to the time that the load balancer needs to send callers elsewhere.
    pub shutdown_serving_ms: u64,
    /// Non-idempotent claims that this daemon may write to the store per second, with bursts of ten
    /// times as many. The limit exists because all daemons share the store's write capacity.
    pub store_claims_per_s: u32,
    /// Maximum number of events kept for the timeline.
    pub timeline_events: usize,
    /// Timeout for connecting to a target, in milliseconds.
    pub target_connect_ms: u64,
    /// Maximum idle time in milliseconds of a connection that is reused for a request that must not
    /// be retried; 0 to open a new connection for each such request.
    pub unrepeatable_rest_ms: u64,
    /// Name of the VM.
    pub vm: VmId,
    /// Number of daemons that watch the platform's store and pass changes on to the others. With
    /// two, the failure of one causes no delay.
    pub watchers: usize,
}

/// Which daemon grants targets to the requests of a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dispatch {
    /// Each daemon for its own requests; the daemons report their load to each other.
    Each,
    /// One daemon for each pool, found by rendezvous hashing.
    #[default]
    OneForEachPool,
}

/// Retry budget of one pool, over all daemons.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Minimum number of parts of the reserve; with more members, there is one part for each.
    pub daemons: u32,
    /// Maximum number of retries that all daemons together may accumulate.
    pub reserve: f64,
    /// Retries allowed per first attempt.
    pub share: f64,
}

impl Default for Retries {
    /// 10% of additional load does not keep a recovering pool down; the reserve allows retries in
    /// pools with few requests too.
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
    /// Address at which it serves callers.
    pub callers: SocketAddr,
    /// Address at which it serves other daemons.
    pub peer: SocketAddr,
}

impl Default for Settings {
    fn default() -> Self {
        let port = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            admin: port(7401),
            answer_cache_bytes: 32 << 20,
            answer_limit: 32 << 20,
            answers_total_limit: 128 << 20,
            answer_ttl_ms: 60_000,
            between_tokens_ms: 2_000,
            body_limit: 4 << 20,
            body_timeout_ms: 10_000,
            callers: port(7400),
            configuration_lease_ms: 0,
            connection_limit: 20_000,
            data_centre: "local".to_owned(),
            dispatch: Dispatch::default(),
            feed_ms: 1_000,
            first_token_ms: 30_000,
            gossip: port(7403),
            grace_ms: 2_000,
            link_bytes_per_s: 0,
            listing_lease_ms: 0,
            log_level: log::LevelFilter::Info,
            neighbours: Vec::new(),
            order_in_flight_ms: 5_000,
            order_lease_ms: 10_000,
            other_data_centres: IndexMap::new(),
            peer: port(7402),
            platform: port(7300),
            quota_reserve: 0.0,
            quota_window_ms: quota::DEFAULT_WINDOW.as_millis() as u64,
            read_ahead_limit: 32 << 20,
            readiness: None,
            relay: None,
            request_keys: true,
            request_limit: 20_000,
            retries: Retries::default(),
            rollouts: false,
            seeds: Vec::new(),
            shutdown_cut_by_signal: true,
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
    /// Reads a JSON file; missing fields keep their defaults.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not valid JSON or has an unknown field.
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

    /// Returns the peer addresses of the daemons in other data centres.
    #[must_use]
    pub fn other_peers(&self) -> Rc<[SocketAddr]> {
        let others = self.other_data_centres.values().flatten();
        others.map(|daemon| daemon.peer).collect()
    }

    /// Returns `true` if `data_centre` is this one or a neighbour.
    #[must_use]
    pub fn is_near(&self, data_centre: &str) -> bool {
        let mut near = std::iter::once(&self.data_centre).chain(&self.neighbours);
        near.any(|near| near == data_centre)
    }

    /// Returns the name of the group of data centres, which is the first of their names.
    #[must_use]
    pub fn group(&self) -> &DataCentre {
        let near = std::iter::once(&self.data_centre).chain(&self.neighbours);
        near.min().unwrap_or(&self.data_centre)
    }

    /// Validates values that the types don't constrain.
    ///
    /// # Errors
    ///
    /// The first invalid value.
    pub fn check(&self) -> Result<()> {
        let positive = [
            ("answer_limit", self.answer_limit as u64),
            ("answer_ttl_ms", self.answer_ttl_ms),
            ("answers_total_limit", self.answers_total_limit as u64),
            ("between_tokens_ms", self.between_tokens_ms),
            ("body_limit", self.body_limit as u64),
            ("body_timeout_ms", self.body_timeout_ms),
            ("connection_limit", self.connection_limit as u64),
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
