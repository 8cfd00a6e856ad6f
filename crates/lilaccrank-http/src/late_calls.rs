//! Calls that were not answered in time and may still be.
//!
//! A client that gives a call up and asks again never gets an answer from a server that takes longer than the
//! client waits, and makes that server slower. Here the call goes on beside the next one for the same thing,
//! and whichever is answered first is used. The next call is needed all the same: the connection of the first
//! one may be dead.

use std::cell::RefCell;
use std::future;
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use lilaccrank::clock::{BootTime, Clock};

use crate::monoio_clock::MonoioClock;
use crate::timeout::{self, timeout};

/// Maximum number of calls that are kept.
const KEPT_LIMIT: usize = 16;

/// Result of waiting for an answer.
pub type Result<T, E = timeout::Elapsed> = std::result::Result<T, E>;

/// Calls by what they ask for.
pub struct LateCalls<T> {
    kept: RefCell<IndexMap<String, Call<T>>>,
    /// Time from its beginning for which a call is kept.
    limit: Duration,
}

struct Call<T> {
    began_at: BootTime,
    outcome: LocalBoxFuture<'static, T>,
}

/// The outcome of a call.
#[derive(Debug, Eq, PartialEq)]
pub struct Answered<T> {
    /// When the call began, which may be one that was late.
    pub began_at: BootTime,
    /// What became of it.
    pub outcome: T,
}

impl<T> LateCalls<T> {
    /// Keeps calls for `limit` from their beginning.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            kept: RefCell::default(),
            limit,
        }
    }

    /// Waits for `call`, and for the late call for the same thing, for at most `wait`. An outcome of the late one
    /// counts only if it `is_answer`.
    ///
    /// # Errors
    ///
    /// [`timeout::Elapsed`] if neither is there in time. The older one is then kept.
    pub async fn first(
        &self,
        key: &str,
        call: impl Future<Output = T> + 'static,
        wait: Duration,
        is_answer: impl Fn(&T) -> bool,
    ) -> Result<Answered<T>> {
        let mut late = self.take(key);
        let mut own = Call {
            began_at: MonoioClock.boot_time(),
            outcome: call.boxed_local(),
        };
        let answered = future::poll_fn(|cx| {
            if let Some(call) = &mut late
                && let Poll::Ready(outcome) = call.outcome.poll_unpin(cx)
            {
                let began_at = call.began_at;
                late = None;
                if is_answer(&outcome) {
                    return Poll::Ready(Answered { began_at, outcome });
                }
            }
            let outcome = own.outcome.poll_unpin(cx);
            outcome.map(|outcome| Answered {
                began_at: own.began_at,
                outcome,
            })
        });
        let answered = timeout(wait, answered).await;
        let kept = match &answered {
            Ok(answered) => late.filter(|_| !is_answer(&answered.outcome)),
            Err(_) => late.or(Some(own)),
        };
        if let Some(call) = kept {
            self.keep(key, call);
        }
        answered
    }

    /// Takes the late call for the same thing, unless it is too old.
    fn take(&self, key: &str) -> Option<Call<T>> {
        let now = MonoioClock.boot_time();
        let mut kept = self.kept.borrow_mut();
        kept.retain(|_, call| now.saturating_sub(call.began_at) < self.limit);
        kept.swap_remove(key)
    }

    fn keep(&self, key: &str, call: Call<T>) {
        let mut kept = self.kept.borrow_mut();
        if kept.len() < KEPT_LIMIT {
            kept.insert(key.to_owned(), call);
        }
    }
}
