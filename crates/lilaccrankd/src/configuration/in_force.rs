//! The configuration in force, with lookup tables built once when it is adopted.

use std::hash::Hash;
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::configuration::adoption::Configuration;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::document::{Document, PoolKind, Target};
use lilaccrank::ids::{CustomerId, PoolId};
use lilaccrank::rules::matching::RuleSet;
use lilaccrank::versions_in_use::StreamRoutes;

use crate::callers::auth::KeyIndex;
use crate::peers::load_message::{self, CustomerDigest, PoolDigest};
use crate::settings::Settings;

/// One generation of the configuration, indexed for requests.
pub struct InForce {
    /// The operator who published it.
    pub author: String,
    /// The document as published.
    pub document: Rc<Document>,
    /// `true` if some rule admits anonymous callers.
    pub has_anonymous_rules: bool,
    /// Customer ids by their digests in load messages.
    customers: IndexMap<CustomerDigest, CustomerId>,
    /// `true` if some customer has a quota.
    pub has_quotas: bool,
    /// Identity of the generation.
    pub identity: Identity,
    /// API keys of customers and operators.
    pub keys: KeyIndex,
    /// Pool ids by their digests in load messages.
    pools: IndexMap<PoolDigest, PoolId>,
    /// The compiled rules.
    pub rules: Rc<RuleSet>,
    /// Pools that stream rules lead to.
    pub stream_routes: StreamRoutes,
}

impl InForce {
    /// Indexes an adopted configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let document = Rc::clone(&configuration.document);
        Self {
            has_anonymous_rules: document.rules.iter().any(|r| r.then.terms.anonymous),
            author: configuration.manifest.author.clone(),
            customers: by_digest(
                document.customers.iter().map(|c| &c.id),
                load_message::customer_digest,
            ),
            has_quotas: document.customers.iter().any(|c| c.quota.is_some()),
            identity: configuration.manifest.identity.clone(),
            keys: KeyIndex::new(&document),
            pools: by_digest(
                document.pools.iter().map(|pool| &pool.id),
                load_message::pool_digest,
            ),
            rules: Rc::clone(&configuration.rules),
            stream_routes: StreamRoutes::new(&document),
            document,
        }
    }

    /// Maximum size of a request body, in bytes.
    #[must_use]
    pub fn body_limit(&self, cfg: &Settings) -> usize {
        let limits = self.document.caller_limits;
        limits.map_or(cfg.body_limit, |limits| limits.body_bytes)
    }

    /// Returns a target of a pool, with the pool's kind.
    #[must_use]
    pub fn target(&self, pool: &str, target: &str) -> Option<(PoolKind, &Target)> {
        let pool = self.document.pool(pool)?;
        let found = pool.targets.iter().find(|t| t.id == target)?;
        Some((pool.kind, found))
    }

    /// Returns the customer with this digest.
    #[must_use]
    pub fn customer(&self, digest: CustomerDigest) -> Option<&CustomerId> {
        self.customers.get(&digest)
    }

    /// Returns the pool with this digest.
    #[must_use]
    pub fn pool(&self, digest: PoolDigest) -> Option<&PoolId> {
        self.pools.get(&digest)
    }

    /// Returns `true` if some pool serves `model`.
    #[must_use]
    pub fn serves(&self, model: &str) -> bool {
        let pools = &self.document.pools;
        pools
            .iter()
            .any(|pool| pool.models.iter().any(|m| m == model))
    }
}

fn by_digest<'a, D: Eq + Hash>(
    ids: impl Iterator<Item = &'a String>,
    digest: impl Fn(&str) -> D,
) -> IndexMap<D, String> {
    ids.map(|id| (digest(id), id.clone())).collect()
}
