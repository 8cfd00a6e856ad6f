//! The configuration in force, with what is computed from it once.

use std::hash::Hash;
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::configuration::adoption::Configuration;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::document::{Document, PoolKind, Target};
use lilaccrank::ids::{CustomerId, PoolId};
use lilaccrank::rules::matching::RuleSet;

use crate::callers::auth::KeyIndex;
use crate::peers::load_message::{self, CustomerDigest, PoolDigest};
use crate::settings::Settings;

/// One generation in the form that requests use.
pub struct InForce {
    /// The operator who published it.
    pub author: String,
    /// The document as published.
    pub document: Rc<Document>,
    /// Whether some rule is for callers that are not known.
    pub has_anonymous_rules: bool,
    /// Customers by what stands for them in words about load.
    customers: IndexMap<CustomerDigest, CustomerId>,
    /// Whether some customer has a quota.
    pub has_quotas: bool,
    /// Its name.
    pub identity: Identity,
    /// Callers' and operators' keys.
    pub keys: KeyIndex,
    /// Pools by what stands for them in words about load.
    pools: IndexMap<PoolDigest, PoolId>,
    /// The rules, compiled.
    pub rules: Rc<RuleSet>,
}

impl InForce {
    /// The form that requests use of an adopted configuration.
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
            document,
        }
    }

    /// Largest body that a caller may send, in bytes.
    #[must_use]
    pub fn body_limit(&self, cfg: &Settings) -> usize {
        let limits = self.document.caller_limits;
        limits.map_or(cfg.body_limit, |limits| limits.body_bytes)
    }

    /// The target of a pool, with what the pool's targets are.
    #[must_use]
    pub fn target(&self, pool: &str, target: &str) -> Option<(PoolKind, &Target)> {
        let pool = self.document.pool(pool)?;
        let found = pool.targets.iter().find(|t| t.id == target)?;
        Some((pool.kind, found))
    }

    /// The customer that a digest stands for.
    #[must_use]
    pub fn customer(&self, digest: CustomerDigest) -> Option<&CustomerId> {
        self.customers.get(&digest)
    }

    /// The pool that a digest stands for.
    #[must_use]
    pub fn pool(&self, digest: PoolDigest) -> Option<&PoolId> {
        self.pools.get(&digest)
    }

    /// Whether any pool serves this model.
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
