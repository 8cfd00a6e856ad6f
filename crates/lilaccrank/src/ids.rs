//! Aliases for the identifiers that cross module borders.

/// When a target started, in milliseconds since 1970; 0 where it doesn't say.
pub type StartTimeMs = u64;
/// Digest of what a request asks for and who asks, the same for each attempt.
pub type ContentDigest = u64;
/// A customer, as named in the configuration.
pub type CustomerId = String;
/// A data centre, as named in the settings of each daemon and of each target.
pub type DataCentre = String;
/// A configuration's position in the order of all publications, from 1.
pub type Generation = u64;
/// Counts the lives of one vm: a replaced or restarted daemon has a higher one.
pub type Incarnation = u64;
/// A model, as callers name it.
pub type ModelId = String;
/// A pool of targets that serve the same requests.
pub type PoolId = String;
/// Names one attempt to publish, so that a lost answer can be resolved by reading it back.
pub type PublicationId = String;
/// Order between customers; those of a lower rank go first, whatever the tiers of their requests.
pub type Rank = u8;
/// One request inside the system, unique over daemons and time.
pub type RequestId = String;
/// The caller's own name for a request (`Idempotency-Key`).
pub type RequestKey = String;
/// A rule, as named in the configuration.
pub type RuleId = String;
/// A target: one engine or one plain service instance.
pub type TargetId = String;
/// Position of a tier in the configuration's list; 0 is the most urgent.
pub type Tier = u8;
/// An entry vm, the machine that one daemon runs on.
pub type VmId = String;
