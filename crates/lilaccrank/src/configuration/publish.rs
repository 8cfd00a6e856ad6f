//! Publishing: one winner for each generation, each publication at most once.

use std::fmt;
use std::time::Duration;

use thiserror::Error;

use super::adoption::Adoption;
use super::archive::{self, Archive, Current};
use super::commit::{self, Outcome};
use super::garbage::Garbage;
use super::manifest::{Identity, Manifest, Standing};
use super::retry::{self, Retry};
use super::sections::{self, Contents, Sections};
use crate::clock::Clock;
use crate::document::Document;
use crate::ids::PublicationId;
use crate::rules::check;
use crate::rules::difference::Difference;
use crate::rules::problem::Problem;
use crate::steps::Steps;
use crate::store::{self, Store};

/// Result of publishing.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a publication was not accepted.
///
/// [`Unresolved`](Self::Unresolved) leaves open whether it took effect. So does a conflict if
/// an answer was lost and the store came back older in the same moment. Publishing with the same
/// id again tells.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Error {
    /// Another publication came first.
    #[error("the base of this publication is not in force, but {0}")]
    Conflict(Box<Conflict>),
    /// The id was used before for another document.
    #[error("publication {0} has already published something else")]
    IdReused(PublicationId),
    /// The document has problems that prevent publishing.
    #[error("the document has {} problems", .0.len())]
    Invalid(Vec<Problem>),
    /// The store failed for longer than the limit, before anything took effect.
    #[error(transparent)]
    Read(#[from] archive::Error),
    /// A part of the document is too large.
    #[error(transparent)]
    TooLarge(#[from] sections::Error),
    /// An answer was lost and the store could not be asked again: publish with the same id
    /// again to learn the outcome.
    #[error("publication {0} may have taken effect")]
    Unresolved(PublicationId),
}

/// What is in force in place of a publication's base.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// What changed from the base to the winner; `None` if one of them can't be read.
    pub difference: Option<Difference>,
    /// What is in force; `None` if nothing is, as after a store was emptied.
    pub winner: Option<Manifest>,
}

/// An attempt to put a document in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// The operator.
    pub author: String,
    /// The configuration that the document was made from; `None` for the first one.
    pub base: Option<Identity>,
    /// The document.
    pub document: Document,
    /// Names this attempt; a repetition with the same id never publishes twice.
    pub id: PublicationId,
}

/// Whether what was published stays in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// The store had come back older and was healed since: the publication is void.
    Displaced {
        /// What is in force.
        by: Identity,
    },
    /// It, or one made from it, is in force.
    InForce,
    /// The store has yet to be healed by a daemon; ask again.
    Pending,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.winner {
            None => f.write_str("nothing"),
            Some(winner) => write!(f, "{} by {}", winner.identity, winner.author),
        }
    }
}

/// Publishes a document and adopts it here; the name it got is returned.
///
/// The daemon first [takes over](super::exchange::take_newest) the newest configuration of all
/// live daemons, so that a store that came back older can't give out a generation again. What
/// counts is what this daemon holds at the moment of the write: a report of others would be out
/// of date once its holder died, and could undo what the older store has accepted since.
///
/// # Errors
/// It was not accepted within `limit`, see [`enum@Error`].
pub async fn publish<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    adoption: &Adoption,
    publication: &Publication,
    limit: Duration,
) -> Result<Identity> {
    let problems = check::check(&publication.document);
    if check::has_error(&problems) {
        return Err(Error::Invalid(problems));
    }
    let sections = Sections::split(&publication.document)?;
    let mut publisher = Publisher {
        adoption,
        archive: Archive::new(store, clock, limit),
        clock,
        publication,
        retry: Retry::new(clock, limit),
        sections,
        store,
    };
    publisher.run().await
}

struct Publisher<'a, S, C> {
    adoption: &'a Adoption,
    archive: Archive<S, C>,
    clock: &'a C,
    publication: &'a Publication,
    retry: Retry<C>,
    sections: Sections,
    store: &'a S,
}

enum Attempt {
    Overtaken,
    Published(Identity),
    Unknown,
}

impl<S: Store, C: Clock> Publisher<'_, S, C> {
    async fn run(&mut self) -> Result<Identity> {
        let mut in_doubt = false;
        loop {
            let failure = match self.attempt().await {
                Ok(Attempt::Published(identity)) => return Ok(identity),
                Ok(Attempt::Overtaken) => store::Error::Conflict { current: None },
                Ok(Attempt::Unknown) => {
                    in_doubt = true;
                    store::Error::Unknown
                }
                Err(Error::Read(archive::Error::Store(e))) if retry::may_pass(&e) => e,
                Err(Error::Read(_)) if in_doubt => return Err(self.unresolved()),
                Err(e) => return Err(e),
            };
            if let Err(e) = self.retry.pause(failure).await {
                return Err(if in_doubt {
                    self.unresolved()
                } else {
                    archive::Error::from(e).into()
                });
            }
        }
    }

    async fn attempt(&mut self) -> Result<Attempt> {
        let current = self.archive.current().await?;
        let current = current.as_ref();
        // An earlier attempt may have taken effect although its answer was lost: publishing
        // again would put the document in force twice, and undo what came in between.
        if let Some(published) = self.published(current).await? {
            return Ok(Attempt::Published(published));
        }
        let stored = current.map(|current| &current.manifest);
        let held = self.adoption.current();
        let in_force = in_force(stored, held.as_ref().map(|held| &held.manifest));
        if in_force.map(|in_force| &in_force.identity) != self.publication.base.as_ref() {
            let conflict = self.conflict(in_force).await;
            return Err(Error::Conflict(Box::new(conflict)));
        }
        let next = self.next(in_force);
        let garbage = Garbage::find(self.store, self.clock, current, &next).await;
        let contents = &self.sections.contents;
        let replace = commit::replace(self.store, &mut self.retry, current, &next, contents);
        Ok(match replace.await? {
            Outcome::Done => {
                garbage.delete(self.store).await;
                self.adopt(&next).await;
                Attempt::Published(next.identity)
            }
            Outcome::Overtaken => Attempt::Overtaken,
            Outcome::Unknown => Attempt::Unknown,
        })
    }

    fn next(&self, in_force: Option<&Manifest>) -> Manifest {
        let generation = in_force.map_or(0, |in_force| in_force.identity.generation);
        Manifest {
            ancestors: in_force.map(Manifest::lineage).unwrap_or_default(),
            author: self.publication.author.clone(),
            identity: Identity {
                generation: generation + 1,
                publication: self.publication.id.clone(),
            },
            sections: self.sections.index.clone(),
        }
    }

    /// The name that this publication got, if it already took effect.
    async fn published(&self, current: Option<&Current>) -> Result<Option<Identity>> {
        let found = current.and_then(|current| current.manifest.find(&self.publication.id));
        let Some(found) = found else {
            return Ok(None);
        };
        let manifest = self.archive.find(found).await?;
        if manifest.is_some_and(|manifest| manifest.sections != self.sections.index) {
            return Err(Error::IdReused(self.publication.id.clone()));
        }
        Ok(Some(found.clone()))
    }

    async fn adopt(&self, manifest: &Manifest) {
        let contents = &self.sections.contents;
        let pace = Steps::new(self.clock.clone());
        let adopted = self
            .adoption
            .adopt_in_steps(manifest.clone(), contents, &pace);
        if let Err(e) = adopted.await {
            log::warn!("{} was published and not adopted: {e}", manifest.identity);
        }
    }

    async fn conflict(&self, in_force: Option<&Manifest>) -> Conflict {
        let difference = match (&self.publication.base, in_force) {
            (Some(base), Some(winner)) => difference(&self.archive, base, winner).await,
            _ => None,
        };
        Conflict {
            difference,
            winner: in_force.cloned(),
        }
    }

    fn unresolved(&self) -> Error {
        Error::Unresolved(self.publication.id.clone())
    }
}

/// The configuration in force: the store's, unless this daemon holds one that it has forgotten.
///
/// A store that came back older would otherwise give out a generation that daemons already
/// hold, and they would never adopt what is published under it.
fn in_force<'a>(stored: Option<&'a Manifest>, held: Option<&'a Manifest>) -> Option<&'a Manifest> {
    let (Some(stored), Some(held)) = (stored, held) else {
        return stored.or(held);
    };
    match held.identity.standing(&stored.identity) {
        Standing::Newer | Standing::Sibling => Some(held),
        Standing::Older | Standing::Same => Some(stored),
    }
}

async fn difference<S: Store, C: Clock>(
    archive: &Archive<S, C>,
    base: &Identity,
    winner: &Manifest,
) -> Option<Difference> {
    let base = archive.find(base).await.ok()??;
    let contents = archive.contents(&base, &Contents::new()).await.ok()?;
    let before = sections::assemble(&base.sections, &contents).ok()?;
    let after = archive.document(winner, &contents).await.ok()?;
    Some(Difference::new(&before, &after))
}

/// Tells whether a publication stays in force, once all live daemons were asked again what they
/// hold.
///
/// A store that came back older between taking over the newest and the write accepts a
/// publication that the daemons then displace; so the answer to the operator waits for this.
///
/// # Errors
/// The store failed for longer than the limit.
pub async fn confirm<S: Store, C: Clock>(
    archive: &Archive<S, C>,
    published: &Identity,
    held: &[Identity],
) -> archive::Result<Confirmation> {
    let Some(current) = archive.current().await? else {
        return Ok(Confirmation::Pending);
    };
    let identity = &current.manifest.identity;
    let forgotten = |held: &Identity| {
        let standing = held.standing(identity);
        matches!(standing, Standing::Newer | Standing::Sibling)
    };
    if held.iter().any(forgotten) {
        return Ok(Confirmation::Pending);
    }
    if current.manifest.find(&published.publication).is_some() {
        return Ok(Confirmation::InForce);
    }
    Ok(Confirmation::Displaced {
        by: identity.clone(),
    })
}
