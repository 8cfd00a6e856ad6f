//! What a caller is told if the dispatcher refuses its request.

use std::time::Instant;

use lilaccrank::dispatch::message::Refuse;
use lilaccrank::error_kind::{ErrorKind, Executed};

use crate::callers::refusal::Refusal;
use crate::daemon::Daemon;

/// Returns the refusal that a caller gets.
pub fn refusal(daemon: &Daemon, refuse: &Refuse) -> Refusal {
    let message = match refuse.kind {
        ErrorKind::CannotResume => {
            "no live target has the software version that began the stream; begin it anew"
        }
        ErrorKind::DeadlineUnmeetable => "the deadline can't be met",
        ErrorKind::NoTarget => "no live target here serves the pool",
        ErrorKind::Overloaded => "work of this tier is shed, or all targets want a pause",
        ErrorKind::RateLimited => "the rule's limit is reached",
        _ => "the dispatcher refused",
    };
    let message = match refuse.unmeetable {
        Some(unmeetable) => format!("{message}: {unmeetable}"),
        None => message.to_owned(),
    };
    let refusal = Refusal::new(refuse.kind, message).ran(Executed::No);
    match refuse.retry_after {
        Some(after) => after_pauses(daemon, refusal.retry_after(after)),
        None => refusal,
    }
}

/// Adds the shortest pause to `Retry-After` if no target is left. A dispatcher of several daemons
/// does not know of the pauses that this one was asked for.
fn after_pauses(daemon: &Daemon, refusal: Refusal) -> Refusal {
    if refusal.kind != ErrorKind::NoTarget || daemon.duties.is_dispatch_local() {
        return refusal;
    }
    let shortest = daemon.pauses.in_force(Instant::now()).into_iter().next();
    match (refusal.retry_after, shortest) {
        (Some(after), Some((_, left))) => refusal.retry_after(after + left),
        _ => refusal,
    }
}
