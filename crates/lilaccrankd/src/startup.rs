//! What a daemon has reached since its start. The log tells each step once, so that a slow recovery shows where it
//! was held up.

use std::cell::Cell;
use std::time::{Duration, Instant};

use lilaccrank::clock::Clock;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;

/// Steps of a daemon since its start.
#[derive(Debug)]
pub struct Startup {
    began_at: Instant,
    has_served: Cell<bool>,
    /// Requests refused before the first one was served.
    refused: Cell<u64>,
    was_ready: Cell<bool>,
}

impl Default for Startup {
    /// A daemon that starts now.
    fn default() -> Self {
        Self {
            began_at: Instant::now(),
            has_served: Cell::default(),
            refused: Cell::default(),
            was_ready: Cell::default(),
        }
    }
}

impl Startup {
    /// Time since the start.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.began_at.elapsed()
    }
}

/// Records that the daemon has refused a request.
pub fn record_refused(daemon: &Daemon) {
    if !daemon.startup.has_served.get() {
        daemon.startup.refused.set(daemon.startup.refused.get() + 1);
    }
}

/// Records that the readiness check of the daemon has passed.
pub fn record_ready(daemon: &Daemon) {
    if !daemon.startup.was_ready.replace(true) {
        log_step(daemon, "ready for the first time");
    }
}

/// Records that the daemon has answered a request.
pub fn record_served(daemon: &Daemon) {
    if !daemon.startup.has_served.replace(true) {
        log_step(daemon, "served its first request");
    }
}

fn log_step(daemon: &Daemon, step: &str) {
    let list_age = daemon.platform_contact.list_age(MonoioClock.boot_time());
    log::info!(
        heard_ms_ago = list_age.map_or(-1, |age| age.as_millis() as i64),
        members = daemon.membership.live().members.len(),
        refused = daemon.startup.refused.get(),
        targets = daemon.live_list.listing().all().count(),
        up_ms = daemon.startup.age().as_millis() as u64;
        "{step}"
    );
}
