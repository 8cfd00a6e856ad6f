//! Quarantine of queries of death: requests whose content crashes targets.

use std::rc::Rc;

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::ContentDigest;
use lilaccrank::target_instance::TargetInstance;

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::lifecycle::RoutedRequest;
use crate::targets::forward::Delivered;
use crate::targets::paths;

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

    /// Records that the connection to `target` ended before the answer did. If this daemon can't
    /// connect any more, it counts as a crash only if no peer can either.
    pub fn record_lost_connection(
        &self,
        daemon: &Rc<Daemon>,
        target: &TargetInstance,
        is_path_fault: bool,
    ) {
        let content = self.content_digest();
        if !is_path_fault {
            let exchange = &daemon.load_exchange;
            return daemon.advisories.record_crash(content, target, exchange);
        }
        let (daemon, pool, target) = (Rc::clone(daemon), self.route.pool.clone(), target.clone());
        monoio::spawn(async move {
            if !paths::is_reached_by_peer(&daemon, &pool, &target).await {
                let exchange = &daemon.load_exchange;
                daemon.advisories.record_crash(content, &target, exchange);
            }
        });
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
