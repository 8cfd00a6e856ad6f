//! Decides whether a request may be sent to the target of its grant.
//!
//! A dispatcher grants by what it knew then. The sender checks again by its own configuration and
//! list of targets, which may be newer.

use std::rc::Rc;
use std::time::Instant;

use lilaccrank::document::{Target, TargetState};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::PoolId;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::targets::freshness;

/// Returns the state of a target. What its own answers said goes before the list, which lags; a roll-out
/// may rule out what the list allows.
#[must_use]
pub fn state_of(daemon: &Daemon, pool: &PoolId, target: &Target) -> TargetState {
    if daemon.advisories.is_leaving(&TargetInstance::of(target)) {
        return TargetState::Draining;
    }
    match daemon.live_list.state_of(target) {
        TargetState::Live if daemon.version_record.is_withheld(daemon, pool, target) => {
            TargetState::Draining
        }
        TargetState::Live => daemon.rollouts.state_of(pool, target, Instant::now()),
        TargetState::Draining => TargetState::Draining,
    }
}

/// Returns the target if it may get a request now, by a list that is recent enough.
///
/// # Errors
///
/// Those of [`check`].
pub async fn until_usable(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    instance: &TargetInstance,
) -> Result<Target> {
    freshness::until_usable(daemon).await;
    daemon.live_list.lapsed.until_verified(instance).await;
    check(daemon, pool, instance)
}

/// Checks a target right before a request is written to it. What [`until_usable`] waited for may have
/// passed since, while the request waited for the link or a connection.
///
/// # Errors
///
/// Those of [`check`], and [`ErrorKind::NoTarget`] if a newer list has to come first.
pub fn check_at_write(daemon: &Daemon, pool: &PoolId, instance: &TargetInstance) -> Result<()> {
    if !freshness::is_usable(daemon) {
        return Err(refused("the list of targets is too old to send by it").own_stop());
    }
    if daemon.live_list.lapsed.is_unverified(instance) {
        return Err(refused("whether the target has left is being asked").own_stop());
    }
    check(daemon, pool, instance).map(drop)
}

/// Returns the target if it may get a request now.
///
/// # Errors
///
/// [`ErrorKind::NoTarget`] if it was removed, is leaving, or has asked this daemon for a pause.
pub fn check(daemon: &Daemon, pool: &PoolId, instance: &TargetInstance) -> Result<Target> {
    let target = daemon.target(pool, instance);
    let target = target.ok_or_else(|| refused("the target was removed"))?;
    match state_of(daemon, pool, &target) {
        TargetState::Live if daemon.pauses.contains(instance, Instant::now()) => {
            Err(refused("the target has asked for a pause"))
        }
        TargetState::Live => Ok(target),
        TargetState::Draining => Err(refused("the target is leaving")),
    }
}

fn refused(message: &str) -> Refusal {
    Refusal::new(ErrorKind::NoTarget, message).ran(Executed::No)
}
