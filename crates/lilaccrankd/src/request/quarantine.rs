//! Quarantine of queries of death: requests whose content crashes targets.

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::ContentDigest;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::lifecycle::RoutedRequest;
use crate::targets::forward::Delivered;

impl RoutedRequest {
    /// Digest of the content of the request, computed on first use.
    #[must_use]
    pub fn content_digest(&self) -> ContentDigest {
        *self
            .content_digest
            .get_or_init(|| self.caller.content_digest())
    }

    /// Checks that the content of the request is not quarantined.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if too many targets crashed while they ran the same content.
    pub fn check_quarantine(&self, daemon: &Daemon) -> Result<()> {
        let Some(remaining) = daemon
            .advisories
            .quarantine_remaining(|| self.content_digest())
        else {
            return Ok(());
        };
        let content_digest = self.content_digest();
        let message = format!("targets crashed under the same request, {content_digest:016x}");
        Err(Refusal::new(ErrorKind::Quarantined, message).retry_after(remaining))
    }

    /// Records that the connection to `target` ended before the answer did.
    pub fn record_crash(&self, daemon: &Daemon, target: &TargetInstance) {
        let exchange = &daemon.load_exchange;
        daemon
            .advisories
            .record_crash(self.content_digest(), target, exchange);
    }

    /// Records that a target completed the request.
    pub fn record_completion(&self, daemon: &Daemon, delivered: &Delivered) {
        // An answer that is delimited by its connection also ends this way if the target crashes.
        if !delivered.ended_with_connection {
            let exchange = &daemon.load_exchange;
            daemon
                .advisories
                .record_completion(self.content_digest(), exchange);
        }
    }
}
