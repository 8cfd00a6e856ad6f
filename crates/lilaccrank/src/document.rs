//! The configuration document that operators write and publish.
//!
//! Unknown fields are errors everywhere, so that a misspelt condition never widens a rule.

use std::time::Duration;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{
    CustomerId, DataCentre, ModelId, PoolId, Rank, RuleId, StartTimeMs, TargetId, Tier, VmId,
};

/// A whole configuration, without its generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Bounds on what callers may send, instead of those of the daemons' settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// Who may send requests.
    pub customers: Vec<Customer>,
    /// Who may publish and look.
    pub operators: Vec<Operator>,
    /// Groups of targets that serve the same requests.
    pub pools: Vec<Pool>,
    /// Ordered rules; the first match decides.
    pub rules: Vec<Rule>,
    /// Tier names, the most urgent first.
    pub tiers: Vec<String>,
}

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Longest time for a whole head, in milliseconds.
    pub head_ms: u64,
    /// Longest time without a request on an open connection, in milliseconds.
    pub idle_ms: u64,
}

/// A customer and its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub id: CustomerId,
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_sha256: Vec<String>,
    /// How much it may send, over all daemons.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Order between customers: those of a lower rank go first.
    #[serde(default)]
    pub rank: Rank,
    /// Tiers it may wish for; a request without a wish gets the last one.
    pub tiers: Vec<String>,
    /// Share among customers of one tier, 1 by default.
    #[serde(default = "default_one")]
    pub weight: u32,
}

/// How much a customer may send over all daemons: a rate, and what may come at once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Units that may come at once after a quiet time.
    pub burst: f64,
    /// Units a second.
    pub per_s: f64,
    /// What a request without a length counts as where units are tokens.
    #[serde(default = "default_one")]
    pub plain_tokens: u32,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Each request counts once.
    #[default]
    #[display("requests")]
    Requests,
    /// A request counts as the tokens of its prompt and the most it may generate.
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

/// What the targets of a pool are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines with continuous batching.
    #[default]
    #[display("engine")]
    Engine,
    /// Plain services, proxied with bodies untouched.
    #[display("service")]
    Service,
}

/// A group of targets that serve the same requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub id: PoolId,
    /// What the targets are.
    #[serde(default)]
    pub kind: PoolKind,
    /// Whether the platform's list of targets names further ones.
    #[serde(default)]
    pub listed: bool,
    /// Models served, none for services.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// The targets, over all data centres.
    pub targets: Vec<Target>,
    /// Tokens in one event of a stream of its targets.
    #[serde(default = "default_one")]
    pub tokens_in_event: u32,
    /// Most requests that wait in one data centre's queue of this pool.
    #[serde(default = "default_waiting_limit")]
    pub waiting_limit: usize,
}

/// Whether a target checks the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Refuses orders that carry an old number.
    Checked,
    /// Ignores the number.
    #[default]
    Ignored,
}

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Gets nothing new and finishes what it has.
    #[display("draining")]
    Draining,
    /// Gets work.
    #[default]
    #[display("live")]
    Live,
}

/// One engine or service instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// IP number and port.
    pub address: String,
    /// When it started; a later one under the same name is another target.
    #[serde(rename = "born", default, skip_serializing_if = "is_unknown")]
    pub started_ms: StartTimeMs,
    /// Where the target runs.
    pub data_centre: DataCentre,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Name of the target.
    pub id: TargetId,
    /// Requests it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it may get new work.
    #[serde(default)]
    pub state: TargetState,
    /// Name of its vm in the platform's list, if that is not the target's own name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmId>,
}

/// One rule: when this holds, then do that.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Stable name of the rule.
    pub id: RuleId,
    /// What is done.
    pub then: Then,
    /// What must hold; an empty condition matches everything.
    #[serde(default)]
    pub when: When,
}

/// Conditions; all that are given must hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// One of these customers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customer: Option<Vec<CustomerId>>,
    /// Entry daemon in one of these data centres.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<Vec<DataCentre>>,
    /// Each header (name in lower case) has this value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<IndexMap<String, String>>,
    /// Hours of the day in UTC, from (inclusive) to (exclusive); may pass midnight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hours: Option<Hours>,
    /// Whether the request may run more than once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Requests waiting in the pool's queue here, at least.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
    /// One of these models.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Vec<ModelId>>,
    /// Path begins with this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    /// Prompt length in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<Range>,
    /// One of these tiers is wished for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tier: Option<Vec<String>>,
}

/// Hours of the day in UTC.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hours {
    /// First hour, 0 to 23.
    pub from: u8,
    /// Hour after the last, 1 to 24.
    pub to: u8,
}

/// A condition on the load of a pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The pool looked at.
    pub pool: PoolId,
    /// At least this many requests wait there.
    pub waiting_at_least: usize,
}

/// An inclusive range; an absent end is open.
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

/// What a rule does; either `pool` or `refuse` is given.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Then {
    /// Limits that the request must pass.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Limit>,
    /// Send it to this pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// Refuse it with this reason.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<String>,
    /// Send it to one of these pools, each as often as its weight says.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedPool>,
    /// Data centres to try when this one refuses, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub spill: Vec<DataCentre>,
    /// On what terms it is sent.
    #[serde(skip_serializing_if = "Terms::is_default")]
    pub terms: Terms,
    /// Set the tier.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tier: Option<String>,
    /// Longest wait in the queue, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_at_most_ms: Option<u64>,
}

/// One pool among several.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// How often it is taken, against the sum of all weights.
    pub weight: u32,
}

/// On what terms a request is sent and answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Callers need no key.
    pub anonymous: bool,
    /// Targets that one request may run on, 1 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Whether the request may run more than once, whatever its caller says.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Milliseconds in which callers expect the answer, or its first event where it is a stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Longest pause between two events that callers expect, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pause_ms: Option<u64>,
    /// Whether another target may go on with a stream that broke off, after its last event.
    pub resumable: bool,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Longest time until the answer, in milliseconds; a request over it is given up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Limits of one rule in one data centre.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    /// Requests in progress at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
    /// Count each customer by itself.
    pub per_customer: bool,
    /// Requests per second, with a burst of one second's worth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
}

impl Document {
    /// Position of a tier, `None` if it is not in the list.
    #[must_use]
    pub fn tier(&self, name: &str) -> Option<Tier> {
        let position = self.tiers.iter().position(|tier| tier == name)?;
        Tier::try_from(position).ok()
    }

    /// The pool with this name.
    #[must_use]
    pub fn pool(&self, id: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.id == id)
    }
}

impl Hours {
    /// Whether the hours hold this hour of the day.
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
    /// Whether the range holds this value.
    #[must_use]
    pub fn contains(self, value: u32) -> bool {
        self.min.is_none_or(|min| min <= value) && self.max.is_none_or(|max| value <= max)
    }
}

impl Terms {
    /// Whether all is left to the defaults.
    #[must_use]
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Time in which callers expect the answer or its first event.
    #[must_use]
    pub fn objective(&self) -> Option<Duration> {
        self.objective_ms.map(Duration::from_millis)
    }

    /// Longest time until the answer.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        self.timeout_ms.map(Duration::from_millis)
    }
}

impl Then {
    /// Longest wait in the queue.
    #[must_use]
    pub fn wait_at_most(&self) -> Option<Duration> {
        self.wait_at_most_ms.map(Duration::from_millis)
    }
}

fn default_one() -> u32 {
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
