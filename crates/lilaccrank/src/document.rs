//! The configuration document that operators write and publish.
//!
//! Unknown fields are rejected everywhere. Otherwise a rule with a misspelt condition would match
//! more requests than intended.

use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::ids::{
    CustomerId, DataCentre, ModelId, PoolId, Rank, RuleId, SoftwareVersion, StartTimeMs, TargetId,
    Tier, VmId,
};

/// A whole configuration, without its generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Limits for callers that replace those in the daemons' settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Customers, who may send requests.
    pub customers: Vec<Customer>,
    /// Operators, who may publish configurations and query the daemons.
    pub operators: Vec<Operator>,
    /// Groups of targets that serve the same requests.
    pub pools: Vec<Pool>,
    /// Rules in order; the first one that matches a request applies.
    pub rules: Vec<Rule>,
    /// Names of the tiers, the most urgent first.
    pub tiers: Vec<String>,
}

/// Limits on the size and the duration of what a caller sends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum time to receive a complete head, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_ms: u64,
}

/// A customer, its keys and its share of the capacity.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// Quota over all daemons; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Priority among customers; those of a lower rank go first.
    #[serde(default)]
    pub rank: Rank,
    /// Tiers that its requests may ask for; a request that asks for none gets the last one.
    pub tiers: Vec<String>,
    /// Weight among the customers of one tier, 1 by default.
    #[serde(default = "default_one")]
    pub weight: u32,
}

/// Quota of a customer over all daemons: a token bucket with a rate and a burst.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Units that may be used at once after an idle period.
    pub burst: f64,
    /// Units per second.
    pub per_s: f64,
    /// Units that a request without a token count uses if the unit is tokens.
    #[serde(default = "default_plain_tokens")]
    pub plain_tokens: u64,
    /// Unit in which usage is counted.
    pub unit: QuotaUnit,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Every request counts as one unit.
    #[default]
    #[display("requests")]
    Requests,
    /// A request counts as the tokens of its prompt plus the maximum number of tokens to generate.
    #[display("tokens")]
    Tokens,
}

/// An operator and its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name of the operator.
    pub id: String,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_sha256: Vec<String>,
}

/// Kind of the targets in a pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines with continuous batching.
    #[default]
    #[display("engine")]
    Engine,
    /// Plain services; bodies are proxied unchanged.
    #[display("service")]
    Service,
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// Kind of the targets.
    #[serde(default)]
    pub kind: PoolKind,
    /// Set if the platform's list of targets adds further targets to the pool.
    #[serde(default)]
    pub listed: bool,
    /// Models that the pool serves; empty for services.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Targets in all data centres.
    pub targets: Vec<Target>,
    /// Number of tokens in one event of a streamed answer.
    #[serde(default = "default_one")]
    pub tokens_in_event: u32,
    /// Maximum length of this pool's queue in one data centre.
    #[serde(default = "default_waiting_limit")]
    pub waiting_limit: usize,
}

/// How a target treats the fencing token of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Refuses orders with an outdated token.
    Checked,
    /// Ignores the token.
    #[default]
    Ignored,
}

/// State of a target with regard to new requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Gets no new requests and finishes those in progress.
    #[display("draining")]
    Draining,
    /// Gets new requests.
    #[default]
    #[display("live")]
    Live,
}

/// An engine or an instance of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// IP address and port.
    pub address: String,
    /// Start time in milliseconds since the Unix epoch, 0 if unknown. A target that restarted
    /// under the same name counts as a different instance.
    #[serde(rename = "born", default, skip_serializing_if = "is_unknown")]
    pub started_ms: StartTimeMs,
    /// Milliseconds for which it is slow after it was listed.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub cold_ms: u64,
    /// Data centre that the target runs in.
    pub data_centre: DataCentre,
    /// How it treats fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Name of the target.
    pub id: TargetId,
    /// Maximum number of requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// State with regard to new requests.
    #[serde(default)]
    pub state: TargetState,
    /// Version of its software; `None` if unknown. A stream is resumed only at its own version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// Name of its VM in the platform's list, if it differs from the name of the target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmId>,
}

/// A rule: conditions and the action for the requests that meet them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Stable name of the rule.
    pub id: RuleId,
    /// Action for matching requests.
    pub then: Then,
    /// Conditions; without any, the rule matches every request.
    #[serde(default)]
    pub when: When,
}

/// Conditions of a rule; a request matches if all that are present hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// The customer is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customer: Option<Vec<CustomerId>>,
    /// The entry daemon is in one of these data centres.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<Vec<DataCentre>>,
    /// Each of these headers (names in lower case) has the given value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<IndexMap<String, String>>,
    /// The time of day is within these hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<Hours>,
    /// The request is idempotent, or is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// The queue of a pool in this data centre has at least this length.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// The model is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Vec<ModelId>>,
    /// The path begins with this prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// The prompt length in tokens is within this range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<Range>,
    /// The requested tier is one of these.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tier: Option<Vec<String>>,
}

/// Hours of the day in UTC, from `from` (inclusive) to `to` (exclusive); may span midnight.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hours {
    /// First hour, 0 to 23.
    pub from: u8,
    /// Hour after the last one, 1 to 24.
    pub to: u8,
}

/// A condition on the load of a pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Pool whose queue is examined.
    pub pool: PoolId,
    /// Minimum number of waiting requests.
    pub waiting_at_least: usize,
}

/// An inclusive range; an absent bound is open.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Range {
    /// Largest value that matches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<u32>,
    /// Smallest value that matches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<u32>,
}

/// Action of a rule: sends the request to `pool` or to one of `split`, or refuses it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Then {
    /// Limits on rate and concurrency.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Pool that gets the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// Refuses the request with this reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<String>,
    /// Pools that share the requests in proportion to their weights.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedPool>,
    /// Data centres to try in this order if this one refuses the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub spill: Vec<DataCentre>,
    /// Retries, time limits and form of the answer.
    #[serde(skip_serializing_if = "Terms::is_default")]
    pub terms: Terms,
    /// Tier that replaces the one of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tier: Option<String>,
    /// Maximum wait in the queue, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_at_most_ms: Option<u64>,
}

/// One of several pools that share requests by weight.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Weight of the pool; its share of the requests is the weight divided by the sum of all
    /// weights.
    pub weight: u32,
}

/// Retries, time limits and form of the answer of the requests that a rule matches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Accepts callers without a key.
    pub anonymous: bool,
    /// Maximum number of targets that may run one request, 1 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Overrides what the caller says about the request being idempotent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Latency objective in milliseconds, until the answer or the first event of a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Objective for the longest pause between two events, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pause_ms: Option<u64>,
    /// Lets another target resume an interrupted stream after its last event.
    pub resumable: bool,
    /// The answer is a stream of events.
    pub stream: bool,
    /// Timeout until the answer, in milliseconds; a request that exceeds it is abandoned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Rate and concurrency limits of one rule in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Maximum number of requests in progress.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// Applies the limits to each customer separately.
    pub per_customer: bool,
    /// Requests per second, with a burst of one second's worth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
}

impl Document {
    /// Returns the position of a tier, `None` if there is no tier with this name.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<Tier> {
        let position = self.tiers.iter().position(|tier| tier == name)?;
        Tier::try_from(position).ok()
    }

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, id: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == id)
    }
}

impl Hours {
    /// Returns `true` if `hour` is within these hours.
    #[must_use]
    pub fn contains(self, hour: u8) -> bool {
        if self.from < self.to {
            (self.from..self.to).contains(&hour)
        } else {
            hour >= self.from || hour < self.to
        }
    }
}

impl Range {
    /// Returns `true` if `value` is within the range.
    #[must_use]
    pub fn contains(self, value: u32) -> bool {
        self.min.is_none_or(|min| min <= value) && self.max.is_none_or(|max| value <= max)
    }
}

impl Terms {
    /// Returns `true` if every field has its default value.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Latency objective until the answer or the first event of a stream.
    #[must_use]
    pub fn objective(&self) -> Option<Duration> {
        self.objective_ms.map(clock::millis)
    }

    /// Timeout until the answer.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        self.timeout_ms.map(clock::millis)
    }
}

impl Then {
    /// Maximum wait in the queue.
    #[must_use]
    pub fn wait_at_most(&self) -> Option<Duration> {
        self.wait_at_most_ms.map(clock::millis)
    }
}

fn default_one() -> u32 {
    1
}

fn default_plain_tokens() -> u64 {
    1
}

fn default_slots() -> u32 {
    8
}

fn is_unknown(started_ms: &StartTimeMs) -> bool {
    *started_ms == 0
}

fn default_waiting_limit() -> usize {
    10_000
}
