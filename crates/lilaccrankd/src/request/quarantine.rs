//! Quarantine of queries of death: requests whose content, or a part of whose prompt, crashes targets.

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

    /// Checks that neither the content of the request nor a part of its prompt is quarantined.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if too many targets crashed while they ran the same content, or
    /// prompts with the same part.
    pub fn check_quarantine(&self, daemon: &Daemon) -> Result<()> {
        let remaining = |digest: &dyn Fn() -> ContentDigest| {
            let advisories = &daemon.advisories;
            advisories.quarantine_remaining(digest)
        };
        if let Some(remaining) = remaining(&|| self.content_digest()) {
            let content_digest = self.content_digest();
            let message = format!("targets crashed under the same request, {content_digest:016x}");
            return Err(Refusal::new(ErrorKind::Quarantined, message).retry_after(remaining));
        }
        for part in &self.caller.shared_parts {
            if let Some(remaining) = remaining(&|| *part) {
                return Err(quarantined_part(*part).retry_after(remaining));
            }
        }
        Ok(())
    }

    /// Checks that the request may be sent again after a failure. One with a part that is only suspected
    /// is sent once, so that it brings down no second target.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if targets crashed under prompts with the same part.
    pub fn check_repeat(&self, daemon: &Daemon) -> Result<()> {
        let mut parts = self.caller.shared_parts.iter();
        let suspect = parts.find(|part| daemon.advisories.is_repeated_suspect(**part));
        suspect.map_or(Ok(()), |part| Err(quarantined_part(*part)))
    }

    /// Records that the connection to `target` ended before the answer did. If this daemon can't
    /// connect any more, it counts as a crash only if no peer can either.
    pub fn record_lost_connection(
        &self,
        daemon: &Rc<Daemon>,
        target: &TargetInstance,
        delivered: &Delivered,
        is_path_fault: bool,
    ) {
        let content = self.content_digest();
        let parts = match delivered.has_gone_on() {
            true => Vec::new(),
            false => self.caller.shared_parts.clone(),
        };
        let record = move |daemon: &Daemon, target: &TargetInstance| {
            let (advisories, exchange) = (&daemon.advisories, &daemon.load_exchange);
            advisories.record_crash(content, target, exchange);
            advisories.record_part_crashes(&parts, target, exchange);
        };
        if !is_path_fault {
            return record(daemon, target);
        }
        let (daemon, pool, target) = (Rc::clone(daemon), self.route.pool.clone(), target.clone());
        monoio::spawn(async move {
            if !paths::is_reached_by_peer(&daemon, &pool, &target).await {
                record(&daemon, &target);
            }
        });
    }

    /// Records that a target completed the request.
    pub fn record_completion(&self, daemon: &Daemon, delivered: &Delivered) {
        // An answer that is delimited by its connection also ends this way if the target crashes.
        if delivered.ended_with_connection {
            return;
        }
        let exchange = &daemon.load_exchange;
        let advisories = &daemon.advisories;
        advisories.record_completion(self.content_digest(), exchange);
        if delivered.events > 0 || !self.route.terms.stream {
            advisories.record_proven_parts(&self.caller.shared_parts, exchange);
        }
    }
}

fn quarantined_part(part: ContentDigest) -> Refusal {
    let message = format!("targets crashed under the same part of the prompt, {part:016x}");
    Refusal::new(ErrorKind::Quarantined, message)
}
