//! Quarantine of queries of death: requests whose content, or a part of whose prompt, crashes targets.

use std::rc::Rc;

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{ContentDigest, PoolId};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::runtime;

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
        let advisories = &daemon.advisories;
        if let Some(remaining) = advisories.quarantine_remaining(|| self.content_digest()) {
            let content_digest = self.content_digest();
            let message = format!("targets crashed under the same request, {content_digest:016x}");
            return Err(Refusal::new(ErrorKind::Quarantined, message).retry_after(remaining));
        }
        for part in &self.caller.shared_parts {
            if let Some(remaining) = advisories.quarantine_remaining(|| *part) {
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
        let in_flight = self.in_flight(delivered);
        match is_path_fault {
            true => record_unless_reached(daemon, &self.route.pool, target, in_flight),
            false => in_flight.record_crash(daemon, target),
        }
    }

    /// Records that `target` completed the request.
    pub fn record_completion(
        &self,
        daemon: &Rc<Daemon>,
        target: &TargetInstance,
        delivered: &Delivered,
    ) {
        if delivered.ended_with_connection {
            return self.check_unframed_end(daemon, target, delivered);
        }
        let exchange = &daemon.load_exchange;
        let advisories = &daemon.advisories;
        advisories.record_completion(self.content_digest(), exchange);
        if delivered.events() > 0 || !self.route.terms.stream {
            advisories.record_proven_parts(&self.caller.shared_parts, exchange);
        }
    }

    /// An answer that ends with its connection, soon after its beginning, also ends this way if the target
    /// crashes. It counts as a crash if the target can't be reached any more.
    fn check_unframed_end(
        &self,
        daemon: &Rc<Daemon>,
        target: &TargetInstance,
        delivered: &Delivered,
    ) {
        let is_stream = self.route.terms.stream;
        if !is_stream || delivered.has_gone_on() || self.caller.shared_parts.is_empty() {
            return;
        }
        let in_flight = self.in_flight(delivered);
        let (daemon, pool, target) = (Rc::clone(daemon), self.route.pool.clone(), target.clone());
        runtime::spawn(async move {
            let Some(listed) = daemon.target(&pool, &target) else {
                return;
            };
            if !paths::probe(&daemon, &pool, &listed).await {
                record_unless_reached(&daemon, &pool, &target, in_flight);
            }
        });
    }

    fn in_flight(&self, delivered: &Delivered) -> InFlight {
        let parts = match delivered.has_gone_on() {
            true => Vec::new(),
            false => self.caller.shared_parts.clone(),
        };
        InFlight {
            content: self.content_digest(),
            parts,
        }
    }
}

/// What was in flight at a target that may have crashed.
struct InFlight {
    content: ContentDigest,
    /// Parts of a prompt whose answer was about to begin or had just begun.
    parts: Vec<ContentDigest>,
}

impl InFlight {
    fn record_crash(&self, daemon: &Daemon, target: &TargetInstance) {
        let (advisories, exchange) = (&daemon.advisories, &daemon.load_exchange);
        advisories.record_crash(self.content, target, exchange);
        advisories.record_part_crashes(&self.parts, target, exchange);
    }
}

/// Records a crash of a target that this daemon can't connect to, unless a peer can.
fn record_unless_reached(
    daemon: &Rc<Daemon>,
    pool: &PoolId,
    target: &TargetInstance,
    in_flight: InFlight,
) {
    let (daemon, pool, target) = (Rc::clone(daemon), pool.clone(), target.clone());
    runtime::spawn(async move {
        if !paths::is_reached_by_peer(&daemon, &pool, &target).await {
            in_flight.record_crash(&daemon, &target);
        }
    });
}

fn quarantined_part(part: ContentDigest) -> Refusal {
    let message = format!("targets crashed under the same part of the prompt, {part:016x}");
    Refusal::new(ErrorKind::Quarantined, message)
}
