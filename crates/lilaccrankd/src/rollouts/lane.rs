//! The version that a request goes to while a roll-out runs.

use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::dispatch::message::Submission;
use lilaccrank::document::Target;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::ids::PoolId;
use lilaccrank::rollout::order::OrderId;
use lilaccrank::rollout::participant::{Lane, Participant};
use lilaccrank::software_version::{Origin, VersionDigest, VersionFilter};

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::lifecycle::RoutedRequest;

/// The choice of a version for one request, until the request ends or is granted a target anew.
pub struct LaneUse {
    daemon: Rc<Daemon>,
    lane: Lane,
    order: OrderId,
    /// Set if the stream has begun, so that its version is decided.
    is_resumed: bool,
    version: VersionDigest,
}

impl LaneUse {
    /// Chooses the version for a request; `None` if no roll-out concerns it.
    #[must_use]
    pub fn choose(
        daemon: &Rc<Daemon>,
        routed: &RoutedRequest,
        origin: Origin,
        is_repeat: bool,
    ) -> Option<Self> {
        let mut participants = daemon.rollouts.participants.borrow_mut();
        let participant = participants.get_mut(&routed.route.pool)?;
        let version = participant.order().version();
        let lane = match origin {
            Origin::New => participant.choose(&routed.route.rule, is_repeat, Instant::now()),
            Origin::At(origin) if origin == version => Lane::New,
            Origin::At(_) | Origin::Unknown => Lane::Old,
        };
        participant.open_old += u32::from(lane == Lane::Old);
        Some(Self {
            daemon: Rc::clone(daemon),
            lane,
            order: participant.order().id.clone(),
            is_resumed: !origin.is_new(),
            version,
        })
    }

    /// Returns `true` if the request goes to the new version only to try it.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.lane == Lane::Trial
    }

    /// Chooses an old version instead, since the new one has no target for the trial.
    pub fn give_up_trial(&mut self) {
        self.lane = Lane::Old;
        self.with_participant(|participant| {
            participant.give_back_trial();
            participant.open_old += 1;
        });
    }

    /// Restricts a submission to the targets of the lane.
    #[must_use]
    pub fn restrict(&self, submission: Submission) -> Submission {
        let versions = match self.lane {
            _ if self.is_resumed => VersionFilter::Any,
            Lane::Any => VersionFilter::Any,
            Lane::Old => VersionFilter::Except(self.version),
            Lane::Trial | Lane::New => VersionFilter::Only(self.version),
        };
        let wait_at_most = match self.is_trial() {
            true => Some(Duration::ZERO),
            false => submission.wait_at_most,
        };
        Submission {
            versions,
            wait_at_most,
            ..submission
        }
    }

    fn with_participant(&self, change: impl FnOnce(&mut Participant)) {
        let mut participants = self.daemon.rollouts.participants.borrow_mut();
        let participant = participants.get_mut(&self.order.pool);
        if let Some(participant) = participant.filter(|p| p.order().id == self.order) {
            change(participant);
        }
    }
}

impl Drop for LaneUse {
    fn drop(&mut self) {
        if self.lane == Lane::Old {
            self.with_participant(|participant| {
                participant.open_old = participant.open_old.saturating_sub(1);
            });
        }
    }
}

/// Checks right before a send that the target may get the request.
///
/// # Errors
///
/// [`ErrorKind::NoTarget`] if the target has a version that gets no requests of this daemon now.
pub fn check(daemon: &Daemon, pool: &PoolId, target: &Target) -> Result<()> {
    let participants = daemon.rollouts.participants.borrow();
    let Some(participant) = participants.get(pool) else {
        return Ok(());
    };
    let is_new = VersionDigest::of(target) == Some(participant.order().version());
    if !is_new || participant.may_expose(Instant::now()) {
        return Ok(());
    }
    let message = "the target has a version that no judge of its roll-out allows now";
    Err(Refusal::new(ErrorKind::NoTarget, message).ran(Executed::No))
}
