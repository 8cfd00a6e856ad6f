//! Paths of the operators' surface.

/// `GET` reads the configuration in force, `POST` publishes.
pub const CONFIGURATION: &str = "/v1/configuration";
/// `POST` explains a decision.
pub const EXPLAIN: &str = "/v1/explain";
/// `GET` lists generations; with `/GENERATION` it reads one.
pub const HISTORY: &str = "/v1/history";
/// `POST` makes the daemon leave as by SIGTERM.
pub const LEAVE: &str = "/v1/leave";
/// `POST` orders a target to load a model or to change its role.
pub const ORDERS: &str = "/v1/orders";
/// `GET` lists quarantines, `POST` lifts one.
pub const QUARANTINES: &str = "/v1/quarantines";
/// `GET` lists roll-outs of software versions.
pub const ROLLOUTS: &str = "/v1/rollouts";
/// `GET` tells how the daemon is.
pub const STATUS: &str = "/v1/status";
/// `POST` asks for events.
pub const TIMELINE: &str = "/v1/timeline";
