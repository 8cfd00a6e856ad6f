//! What the rules and the dispatcher know of a request; its body stays with the entry daemon.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, DataCentre, ModelId, RequestKey, Tier};

/// The facts of one request that rules match on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Facts {
    /// The customer that the bearer key belongs to; empty for a caller without a key.
    pub customer: CustomerId,
    /// Data centre of the entry daemon.
    pub data_centre: DataCentre,
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
    /// Request headers, names in lower case.
    pub headers: IndexMap<String, String>,
    /// False if the request must not run more than once.
    pub idempotent: bool,
    /// The caller's key for this request.
    pub key: Option<RequestKey>,
    /// Most tokens the caller wants generated; 0 for plain services.
    pub max_tokens: u32,
    /// Model asked for; `None` for plain services.
    pub model: Option<ModelId>,
    /// Path of the request.
    pub path: String,
    /// Estimated prompt length in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Tier the caller wishes for, if it may have it.
    #[serde(rename = "tier_wish")]
    pub requested_tier: Option<Tier>,
}

impl Facts {
    /// Whether the caller has shown no key.
    #[must_use]
    pub fn is_anonymous(&self) -> bool {
        self.customer.is_empty()
    }
}
