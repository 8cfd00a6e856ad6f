//! Where a request stands with its key.

use std::time::{Duration, SystemTime};

use lilaccrank::error_kind::Executed;
use lilaccrank::request_key;
use lilaccrank::request_key::{
    BodyDigest, Claim, Claimed, Claims, Error, Marked, MemberRef, Outcome, Wanted,
};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::callers::caller_request::CallerRequest;
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::{Daemon, PlatformStore};
use crate::peers::duties::Duties;
use crate::peers::network::PeerNetwork;

/// The keys of this daemon's requests.
pub type KeyClaims = Claims<MonoioClock, PeerNetwork, Duties, PlatformStore>;
type ClaimIn<State> = Claim<State, MonoioClock, PeerNetwork, Duties, PlatformStore>;

/// What a request may do.
pub enum Access {
    /// Read the answer that this member runs or holds.
    Elsewhere(MemberRef),
    /// Go on by itself.
    Own(KeyState),
}

/// Key of a request on its way.
pub enum KeyState {
    /// Claimed; nothing may be sent to a target yet.
    Claimed(ClaimIn<Claimed>),
    /// The caller gave no key.
    Keyless,
    /// Marked; it may be sent, once.
    Marked(ClaimIn<Marked>),
}

/// Claims the key of a request, if it has one.
///
/// # Errors
///
/// If the key was used, or it can't be told.
pub async fn claim(daemon: &Daemon, caller: &CallerRequest) -> Result<Access> {
    let Some(key) = &caller.facts.key else {
        return Ok(Access::Own(KeyState::Keyless));
    };
    let wanted = Wanted {
        body: digest(caller),
        customer: caller.facts.customer.clone(),
        idempotent: caller.facts.idempotent,
        key: key.clone(),
    };
    match daemon.claims.claim(&wanted).await {
        Ok(request_key::Access::Granted(claim)) => Ok(Access::Own(KeyState::Claimed(claim))),
        Ok(request_key::Access::Held { entry } | request_key::Access::Running { entry }) => {
            Ok(Access::Elsewhere(entry))
        }
        // The first try of a repeated request may have been run by a daemon that has just died.
        // A keeper that can't tell yet doesn't know; "not run" would be untrue to its caller.
        Err(e @ Error::Unsettled) => Err(refusal(&e).ran(Executed::Maybe)),
        Err(e) => Err(refusal(&e)),
    }
}

/// Digest by which a repeat is recognized. Two calls of a plain service may differ in nothing but
/// method or path; by the body alone the second would be given the answer to the first.
fn digest(caller: &CallerRequest) -> BodyDigest {
    let path = caller.head.uri.path_and_query();
    BodyDigest::of_parts(&[
        caller.head.method.as_str().as_bytes(),
        path.map_or("/", |path| path.as_str()).as_bytes(),
        &caller.body,
    ])
}

impl KeyState {
    /// Marks the key, just before something is sent.
    ///
    /// # Errors
    ///
    /// Nothing may be sent.
    pub async fn mark(self) -> Result<Self> {
        match self {
            Self::Claimed(claim) => match claim.mark_dispatching().await {
                Ok(marked) => Ok(Self::Marked(marked)),
                Err(e) => Err(refusal(&e)),
            },
            other => Ok(other),
        }
    }

    /// Marks the key, just before the request is handed on to another data centre.
    ///
    /// # Errors
    ///
    /// Nothing may be handed on.
    pub async fn mark_handed_on(self) -> Result<Self> {
        match self {
            Self::Claimed(claim) => match claim.mark_handed_on().await {
                Ok(marked) => Ok(Self::Marked(marked)),
                Err(e) => Err(refusal(&e)),
            },
            other => Ok(other),
        }
    }

    /// Whether a target here was to have the request.
    #[must_use]
    pub fn is_marked(&self) -> bool {
        matches!(self, Self::Marked(_))
    }

    /// Frees the key: nothing was sent and nothing will be.
    pub async fn release(self) {
        match self {
            Self::Claimed(claim) => claim.release().await,
            Self::Keyless => {}
            Self::Marked(claim) => claim.release().await,
        }
    }

    /// Ends the key with a whole answer, held here for `ttl`, or with a failure.
    pub async fn end(self, result: &Result<()>, ttl: Duration) {
        let Self::Marked(claim) = self else {
            return;
        };
        let outcome = match result {
            Ok(()) => Outcome::Held {
                until_ms: wall_ms(SystemTime::now() + ttl),
            },
            Err(refusal) => Outcome::Failed(refusal.kind),
        };
        claim.end(outcome).await;
    }
}

fn wall_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

fn refusal(e: &Error) -> Refusal {
    Refusal::new(e.kind(), e.to_string()).ran(e.ran())
}
