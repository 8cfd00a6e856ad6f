//! State of a request's idempotency key.

use std::time::{Duration, SystemTime};

use lilaccrank::error_kind::Executed;
use lilaccrank::request_key;
use lilaccrank::request_key::{
    BodyDigest, Claim, ClaimRequest, Claimed, Claims, Error, Marked, MemberRef, Outcome,
};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::callers::caller_request::CallerRequest;
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::{Daemon, PlatformStore};
use crate::peers::duties::Duties;
use crate::peers::network::PeerNetwork;

/// The idempotency keys that this daemon claims for its requests.
pub type KeyClaims = Claims<MonoioClock, PeerNetwork, Duties, PlatformStore>;
type ClaimIn<State> = Claim<State, MonoioClock, PeerNetwork, Duties, PlatformStore>;

/// How a request proceeds after the claim of its key.
pub enum ClaimOutcome {
    /// Read the answer that this member is running or holds.
    Attach(MemberRef),
    /// Run the request here.
    Proceed(KeyState),
}

/// State of the key of a request in progress.
pub enum KeyState {
    /// Claimed. Nothing may be sent to a target yet.
    Claimed(ClaimIn<Claimed>),
    /// The request has no key.
    Keyless,
    /// Marked. The request may be dispatched to a target, once.
    Marked(ClaimIn<Marked>),
}

/// Claims the key of a request, if it has one.
///
/// # Errors
///
/// The key belongs to another request or a finished one, or the claim failed.
pub async fn claim(daemon: &Daemon, caller: &CallerRequest) -> Result<ClaimOutcome> {
    let Some(key) = &caller.facts.key else {
        return Ok(ClaimOutcome::Proceed(KeyState::Keyless));
    };
    let req = ClaimRequest {
        body: digest(caller),
        customer: caller.facts.customer.clone(),
        idempotent: caller.facts.idempotent,
        key: key.clone(),
    };
    match daemon.claims.claim(&req).await {
        Ok(request_key::Access::Granted(claim)) => {
            Ok(ClaimOutcome::Proceed(KeyState::Claimed(claim)))
        }
        Ok(request_key::Access::Held { entry } | request_key::Access::Running { entry }) => {
            Ok(ClaimOutcome::Attach(entry))
        }
        // A daemon that has just died may have run the first attempt of a repeated request. While
        // the owner cannot tell, "not run" would be wrong.
        Err(e @ Error::Unsettled) => Err(refusal(&e).ran(Executed::Maybe)),
        Err(e) => Err(refusal(&e)),
    }
}

/// Digest that identifies a repeated request. It covers method and path, since two calls of a plain
/// service may have the same body: by the body alone, the second would get the answer to the first.
fn digest(caller: &CallerRequest) -> BodyDigest {
    let path = caller.head.uri.path_and_query();
    BodyDigest::of_parts(&[
        caller.head.method.as_str().as_bytes(),
        path.map_or("/", |path| path.as_str()).as_bytes(),
        &caller.body,
    ])
}

impl KeyState {
    /// Marks the key as dispatching, right before the request is sent to a target.
    ///
    /// # Errors
    ///
    /// The key could not be marked; nothing may be sent.
    pub async fn mark(self) -> Result<Self> {
        match self {
            Self::Claimed(claim) => match claim.mark_dispatching().await {
                Ok(marked) => Ok(Self::Marked(marked)),
                Err(e) => Err(refusal(&e)),
            },
            other => Ok(other),
        }
    }

    /// Marks the key right before the request is spilled to another data centre.
    ///
    /// # Errors
    ///
    /// The key could not be marked; the request may not be spilled.
    pub async fn mark_handed_on(self) -> Result<Self> {
        match self {
            Self::Claimed(claim) => match claim.mark_forwarded().await {
                Ok(marked) => Ok(Self::Marked(marked)),
                Err(e) => Err(refusal(&e)),
            },
            other => Ok(other),
        }
    }

    /// Returns `true` if the key is marked, so that a target may have the request.
    #[must_use]
    pub fn is_marked(&self) -> bool {
        matches!(self, Self::Marked(_))
    }

    /// Releases the key. Nothing was sent, and nothing will be.
    pub async fn release(self) {
        match self {
            Self::Claimed(claim) => claim.release().await,
            Self::Keyless => {}
            Self::Marked(claim) => claim.release().await,
        }
    }

    /// Records the outcome of the request: a complete answer that this daemon holds for `ttl`, or a
    /// failure.
    pub async fn end(self, result: &Result<()>, ttl: Duration) {
        let Self::Marked(claim) = self else {
            return;
        };
        let outcome = match result {
            Ok(()) => Outcome::Held {
                until_ms: unix_ms(SystemTime::now() + ttl),
            },
            Err(refusal) => Outcome::Failed(refusal.kind),
        };
        claim.end(outcome).await;
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}

fn refusal(e: &Error) -> Refusal {
    Refusal::new(e.kind(), e.to_string()).ran(e.executed())
}
