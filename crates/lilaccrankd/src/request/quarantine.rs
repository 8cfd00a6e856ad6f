//! Quarantine of queries of death.

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::ContentDigest;
use lilaccrank::target_life::TargetLife;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::lifecycle::RoutedRequest;
use crate::targets::forward::Passed;

impl RoutedRequest {
    /// Digest of the caller's request.
    #[must_use]
    pub fn content_digest(&self) -> ContentDigest {
        *self
            .content_digest
            .get_or_init(|| self.caller.content_digest())
    }

    /// Whether the request may be sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if too many targets crashed under the same content.
    pub fn check_quarantine(&self, daemon: &Daemon) -> Result<()> {
        let Some(remaining) = daemon.advisories.quarantine(|| self.content_digest()) else {
            return Ok(());
        };
        let content_digest = self.content_digest();
        let message = format!("targets crashed under the same request, {content_digest:016x}");
        Err(Refusal::new(ErrorKind::Quarantined, message).retry_after(remaining))
    }

    /// The target's connection ended before its answer did.
    pub fn record_crash(&self, daemon: &Daemon, target: &TargetLife) {
        let exchange = &daemon.load_exchange;
        daemon
            .advisories
            .crashed(self.content_digest(), target, exchange);
    }

    /// A target answered.
    pub fn record_completion(&self, daemon: &Daemon, delivered: &Passed) {
        // A crash looks like the end of such an answer.
        if !delivered.ended_with_connection {
            let exchange = &daemon.load_exchange;
            daemon.advisories.completed(self.content_digest(), exchange);
        }
    }
}
