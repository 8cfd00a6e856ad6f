//! Properties of a request that the rules and the dispatcher use. The body stays with the entry
//! daemon.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, DataCentre, ModelId, RequestKey, Tier};

/// Properties of a request that rules match on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Facts {
    /// Customer that the bearer key belongs to; empty for a caller without a key.
    pub customer: CustomerId,
    /// Data centre of the entry daemon.
    pub data_centre: DataCentre,
    /// Remaining time until the caller's deadline.
    pub deadline: Option<Duration>,
    /// Request headers, with names in lower case.
    pub headers: IndexMap<String, String>,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Idempotency key of the request.
    pub key: Option<RequestKey>,
    /// Maximum number of tokens to generate; 0 for plain services.
    pub max_tokens: u32,
    /// Requested model; `None` for plain services.
    pub model: Option<ModelId>,
    /// Path of the request.
    pub path: String,
    /// Estimated prompt length in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Tier that the caller asked for and may use.
    #[serde(rename = "tier_wish")]
    pub requested_tier: Option<Tier>,
}

impl Facts {
    /// Returns `true` if the caller sent no key.
    #[must_use]
    pub fn is_anonymous(&self) -> bool {
        self.customer.is_empty()
    }
}
