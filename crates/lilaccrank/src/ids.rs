//! Type aliases of identifiers that several modules use.

/// Start time of a target in milliseconds since the Unix epoch; 0 if unknown.
pub type StartTimeMs = u64;
/// Digest of the content and the customer of a request, equal for each of its attempts.
pub type ContentDigest = u64;
/// Name of a customer in the configuration.
pub type CustomerId = String;
/// Name of a data centre in the settings of daemons and targets.
pub type DataCentre = String;
/// Position of a configuration in the sequence of all publications, from 1.
pub type Generation = u64;
/// Incarnation number of the daemon on a VM; a replaced or restarted daemon has a higher one.
pub type Incarnation = u64;
/// Name of a model in the requests of callers.
pub type ModelId = String;
/// Name of a pool of targets that serve the same requests.
pub type PoolId = String;
/// Identifies one attempt to publish. If the answer is lost, the publisher finds out by it
/// whether the attempt succeeded.
pub type PublicationId = String;
/// Priority of a customer. Lower ranks go first, regardless of the tiers of the requests.
pub type Rank = u64;
/// Internal identifier of a request, unique across daemons and restarts.
pub type RequestId = String;
/// Idempotency key that the caller chose for a request (`Idempotency-Key` header).
pub type RequestKey = String;
/// Name of a rule in the configuration.
pub type RuleId = String;
/// Version of the software that a target runs, as the target names it.
pub type SoftwareVersion = String;
/// Name of a target: an engine or an instance of a plain service.
pub type TargetId = String;
/// Position of a tier in the configuration; 0 is the most urgent.
pub type Tier = u8;
/// Name of a VM that runs an entry daemon.
pub type VmId = String;
