//! Operators' queries on the configuration in force and on earlier ones.

use std::time::Duration;

use lilaccrank::configuration::archive::{self, Archive};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Contents;
use lilaccrank::ids::Generation;
use lilaccrank::operators::{
    ConfigurationView, ExplainRequest, Failure, History, HistoryEntry, path,
};
use lilaccrank::rules::explain::{self, Explanation};
use lilaccrank::store::Store;
use lilaccrank_http::monoio_clock::MonoioClock;

use super::error::Result;
use crate::daemon::Daemon;

/// Timeout for reading the store for one operator request.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// Returns the configuration in force in this daemon.
///
/// # Errors
///
/// If no configuration is in force yet.
pub fn in_force(daemon: &Daemon) -> Result<ConfigurationView> {
    let in_force = daemon.in_force()?;
    Ok(ConfigurationView {
        author: in_force.author.clone(),
        document: in_force.document.as_ref().clone(),
        identity: in_force.identity.clone(),
    })
}

/// Explains how the rules in force match a request.
///
/// # Errors
///
/// If no configuration is in force yet.
pub fn explain(daemon: &Daemon, req: ExplainRequest) -> Result<Explanation> {
    let in_force = daemon.in_force()?;
    let mut facts = req.facts;
    if facts.data_centre.is_empty() {
        facts.data_centre.clone_from(&daemon.cfg.data_centre);
    }
    let environment = req.environment.unwrap_or_else(|| daemon.environment());
    Ok(explain::explain(
        &in_force.document,
        &in_force.rules,
        &facts,
        &environment,
    ))
}

/// Returns the configuration in force and its ancestors.
///
/// # Errors
///
/// If the store can't be read.
pub async fn history(daemon: &Daemon) -> Result<History> {
    let Some(manifest) = held(daemon) else {
        return Ok(History { entries: vec![] });
    };
    let kept = archive(daemon).ancestors(&manifest).await;
    let kept = kept.map_err(unreadable)?;
    let author = |identity: &Identity| {
        let found = kept.iter().find(|kept| kept.identity == *identity);
        found.map(|found| found.author.clone())
    };
    let earlier = manifest.ancestors.iter().map(|identity| HistoryEntry {
        author: author(identity),
        identity: identity.clone(),
    });
    let newest = HistoryEntry {
        author: Some(manifest.author.clone()),
        identity: manifest.identity.clone(),
    };
    Ok(History {
        entries: std::iter::once(newest).chain(earlier).collect(),
    })
}

/// Parses the generation from a path below [`path::HISTORY`].
pub fn generation(path: &str) -> Option<Generation> {
    let rest = path.strip_prefix(path::HISTORY)?;
    rest.strip_prefix('/')?.parse().ok()
}

/// Returns the configuration in force or one of its ancestors.
///
/// Other generations are not returned: after a store was restored to an older state, its history
/// may still hold a displaced generation, and a rollback to it would bring back a configuration
/// that was never in force everywhere.
///
/// # Errors
///
/// If the generation is not kept or no ancestor, or the store can't be read.
pub async fn earlier(daemon: &Daemon, generation: Generation) -> Result<ConfigurationView> {
    let missing = || Failure::NoGeneration { generation };
    let held = held(daemon).ok_or_else(missing)?;
    if held.identity.generation == generation {
        return in_force(daemon);
    }
    let mut ancestors = held.ancestors.iter();
    let identity = ancestors.find(|ancestor| ancestor.generation == generation);
    let identity = identity.ok_or_else(missing)?;
    let archive = archive(daemon);
    let found = archive.find(identity).await.map_err(unreadable)?;
    let manifest = found.ok_or_else(missing)?;
    let document = archive.document(&manifest, &Contents::new()).await;
    Ok(ConfigurationView {
        author: manifest.author,
        document: document.map_err(unreadable)?,
        identity: manifest.identity,
    })
}

fn held(daemon: &Daemon) -> Option<Manifest> {
    let held = daemon.adoption.current()?;
    Some(held.manifest.clone())
}

fn archive(daemon: &Daemon) -> Archive<impl Store, MonoioClock> {
    Archive::new(&daemon.store, &MonoioClock, READ_LIMIT)
}

fn unreadable(e: archive::Error) -> Failure {
    Failure::StoreUnavailable {
        message: e.to_string(),
    }
}
