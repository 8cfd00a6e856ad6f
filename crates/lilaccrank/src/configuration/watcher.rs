//! Follows the store: adopts what is newer, and heals a store that came back older.

use std::convert::Infallible;
use std::time::Duration;

use thiserror::Error;

use super::adoption::{self, Adoption, Configuration};
use super::archive::{self, Archive, Current};
use super::commit::{self, Outcome};
use super::manifest::{Identity, Manifest, Standing};
use super::retry::Retry;
use super::sections::Contents;
use crate::backoff::{self, Backoff};
use crate::clock::{self, Clock};
use crate::steps::Steps;
use crate::store::{self, Store, Version};

/// Result of one look at the store.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why one look at the store changed nothing.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Error {
    /// What is in the store was not adopted.
    #[error(transparent)]
    Adoption(#[from] adoption::Error),
    /// The store failed.
    #[error(transparent)]
    Read(#[from] archive::Error),
}

/// Times of a watcher.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Watchers heal at a random time within this one, so that mostly one of them does.
    pub heal_spread: Duration,
    /// Longest time for the calls that one look takes.
    pub limit: Duration,
    /// Longest wait after failures.
    pub longest_wait: Duration,
    /// Longest wait of one watch; a watch that went silent is given up a little later.
    pub watch: Duration,
}

/// What one look at the store led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Look {
    /// What is in the store was adopted.
    Adopted,
    /// The store was older and has again what is in force here.
    Healed,
    /// The store was older, and another write came first: look again.
    Overtaken,
    /// Store and daemon have the same.
    Same,
}

const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Time beyond the wait of a watch after which its connection counts as silent; a slow store takes
/// some hundred milliseconds.
const WATCH_GRACE: Duration = Duration::from_millis(1_500);

impl Default for Timing {
    /// A change has to be in force within four seconds, also if the connections of all watchers
    /// have fallen silent or the store has just come back. Two watchers in each of eleven data
    /// centres then cost the store eleven calls a second.
    fn default() -> Self {
        Self {
            heal_spread: Duration::from_secs(1),
            limit: Duration::from_secs(10),
            longest_wait: Duration::from_secs(1),
            watch: Duration::from_secs(2),
        }
    }
}

/// Watches the store for as long as it is polled.
pub async fn run_watcher<S: Store, C: Clock>(
    store: S,
    clock: C,
    adoption: Adoption,
    timing: Timing,
) -> Infallible {
    let mut backoff = Backoff::new(FIRST_WAIT, timing.longest_wait);
    let mut seen = None;
    loop {
        let outcome = follow(&store, &clock, &adoption, timing, seen).await;
        seen = match outcome {
            Ok(version) => {
                backoff.reset();
                version
            }
            Err(e) => {
                log::warn!("the configuration can't be followed: {e}");
                clock.sleep(backoff.next_wait()).await;
                None
            }
        };
    }
}

/// Waits for another version than `seen`, deals with it and returns it.
async fn follow<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    adoption: &Adoption,
    timing: Timing,
    seen: Option<Version>,
) -> Result<Option<Version>> {
    // A connection that went silent never ends the watch; the configuration would stand still
    // without any error. The bound lies on this side, so it ends whatever the network does.
    let asked = clock.boot_time();
    let watch = store.watch(super::manifest::KEY, seen, timing.watch);
    let found = clock::timeout(clock, timing.watch + WATCH_GRACE, watch).await;
    let found = found.unwrap_or(Err(store::Error::Unknown));
    let found = found.map_err(archive::Error::from)?;
    let current = found.as_ref().map(archive::read_current).transpose()?;
    let look = reconcile(store, clock, adoption, timing, current.as_ref()).await?;
    if look == Look::Overtaken || look == Look::Healed {
        return Ok(None);
    }
    adoption.confirm(asked);
    Ok(current.map(|current| current.version))
}

/// Looks at the store once: adopts what is newer there, or heals it.
///
/// # Errors
/// The store failed, or what it has can't be adopted.
pub async fn look<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    adoption: &Adoption,
    timing: Timing,
) -> Result<Look> {
    let archive = Archive::new(store, clock, timing.limit);
    let current = archive.current().await?;
    reconcile(store, clock, adoption, timing, current.as_ref()).await
}

async fn reconcile<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    adoption: &Adoption,
    timing: Timing,
    current: Option<&Current>,
) -> Result<Look> {
    let archive = Archive::new(store, clock, timing.limit);
    let held = adoption.current();
    match (held, current) {
        (None, None) => Ok(Look::Same),
        (None, Some(current)) => adopt(&archive, clock, adoption, &current.manifest).await,
        (Some(held), None) => heal(store, clock, timing, &held, None).await,
        (Some(held), Some(current)) => {
            let found = &current.manifest.identity;
            match found.standing(&held.manifest.identity) {
                Standing::Newer => adopt(&archive, clock, adoption, &current.manifest).await,
                Standing::Same => Ok(Look::Same),
                Standing::Older | Standing::Sibling => {
                    heal(store, clock, timing, &held, Some(current)).await
                }
            }
        }
    }
}

async fn adopt<S: Store, C: Clock>(
    archive: &Archive<S, C>,
    clock: &C,
    adoption: &Adoption,
    manifest: &Manifest,
) -> Result<Look> {
    let known = adoption.known(manifest, &Contents::new());
    let contents = archive.contents(manifest, &known).await?;
    let pace = Steps::new(clock.clone());
    let adopted = adoption.adopt_in_steps(manifest.clone(), &contents, &pace);
    match adopted.await {
        Ok(_) | Err(adoption::Error::NotNewer(_)) => Ok(Look::Adopted),
        Err(e) => Err(e.into()),
    }
}

/// Writes the configuration in force here back to a store that has forgotten it.
async fn heal<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    timing: Timing,
    held: &Configuration,
    seen: Option<&Current>,
) -> Result<Look> {
    clock.sleep(backoff::full_jitter(timing.heal_spread)).await;
    let archive = Archive::new(store, clock, timing.limit);
    let current = archive.current().await?;
    if current.as_ref() != seen {
        return Ok(Look::Overtaken);
    }
    let next = above(&held.manifest, seen);
    let mut retry = Retry::new(clock, timing.limit);
    let contents = &held.contents;
    let outcome = commit::replace(store, &mut retry, seen, &next, contents).await?;
    match outcome {
        Outcome::Done => {
            log::warn!(
                "the store came back older and was healed with {}",
                next.identity
            );
            Ok(Look::Healed)
        }
        Outcome::Overtaken => Ok(Look::Overtaken),
        Outcome::Unknown => Err(archive::Error::from(store::Error::Unknown).into()),
    }
}

/// The manifest held here, above what the store has.
///
/// A store that came back older can have accepted another publication under the generation held
/// here. Daemons that adopted that one stay at it for ever, as the generations are equal; a
/// higher one brings all of them together again.
fn above(held: &Manifest, current: Option<&Current>) -> Manifest {
    let sibling = current.is_some_and(|current| {
        current.manifest.identity.standing(&held.identity) == Standing::Sibling
    });
    if !sibling {
        return held.clone();
    }
    Manifest {
        ancestors: held.lineage(),
        identity: Identity {
            generation: held.identity.generation + 1,
            publication: held.identity.publication.clone(),
        },
        ..held.clone()
    }
}
