//! Quarantines, for operators.

use lilaccrank::advisories::LIFETIME;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::ContentDigest;
use lilaccrank::operators::{LiftRequest, QuarantineEntry, Quarantines};

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;

/// The quarantines that this daemon knows.
pub fn list(daemon: &Daemon) -> Quarantines {
    let quarantined = daemon.advisories.quarantined().into_iter();
    let entries = quarantined.map(|(digest, age)| QuarantineEntry {
        digest: format!("{digest:016x}"),
        left_ms: LIFETIME.saturating_sub(age).as_millis() as u64,
    });
    Quarantines {
        entries: entries.collect(),
    }
}

/// Lifts a quarantine at all daemons, and returns those that remain.
///
/// # Errors
///
/// If there is no such quarantine.
pub fn lift(daemon: &Daemon, operator: &str, req: &LiftRequest) -> Result<Quarantines> {
    let digest = ContentDigest::from_str_radix(&req.digest, 16);
    let digest = digest.ok().filter(|digest| is_quarantined(daemon, *digest));
    let Some(digest) = digest else {
        let message = format!("no quarantine `{}`", req.digest);
        return Err(Refusal::new(ErrorKind::NotFound, message));
    };
    log::info!(operator = operator, digest = req.digest; "an operator lifts a quarantine");
    daemon.advisories.lift(digest, &daemon.load_exchange);
    Ok(list(daemon))
}

fn is_quarantined(daemon: &Daemon, digest: ContentDigest) -> bool {
    daemon.advisories.quarantine_remaining(|| digest).is_some()
}
