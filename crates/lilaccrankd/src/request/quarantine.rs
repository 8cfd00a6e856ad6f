//! Quarantine of queries of death.

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::ContentDigest;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::life::Routed;
use crate::targets::forward::Passed;

impl Routed {
    /// Digest of the caller's request.
    #[must_use]
    pub fn content(&self) -> ContentDigest {
        *self.content.get_or_init(|| self.caller.content())
    }

    /// Whether the request may be sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if too many targets crashed under the same content.
    pub fn check_quarantine(&self, daemon: &Daemon) -> Result<()> {
        let Some(left) = daemon.advisories.quarantine(|| self.content()) else {
            return Ok(());
        };
        let content = self.content();
        let message = format!("targets crashed under the same request, {content:016x}");
        Err(Refusal::new(ErrorKind::Quarantined, message).retry_after(left))
    }

    /// The target's connection ended before its answer did.
    pub fn note_crash(&self, daemon: &Daemon, target: &TargetInstance) {
        let cell = &daemon.load_exchange;
        daemon.advisories.crashed(self.content(), target, cell);
    }

    /// A target answered.
    pub fn note_completed(&self, daemon: &Daemon, passed: &Passed) {
        // A crash looks like the end of such an answer.
        if !passed.ended_with_connection {
            let cell = &daemon.load_exchange;
            daemon.advisories.completed(self.content(), cell);
        }
    }
}
