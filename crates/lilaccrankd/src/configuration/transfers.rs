//! Sends configurations to other daemons, with a part of this VM's link.

use std::cell::Cell;
use std::time::{Duration, Instant};

use lilaccrank::configuration::exchange::{self, Answer, Ask};
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;

/// Part of the link for configurations. The rest is for answers to callers and for other control.
const SHARE: f64 = 0.5;
/// Maximum wait of an asker. One that would wait longer is turned away and asks another daemon, or this one
/// again; meanwhile more daemons hold the change.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// The part of the link for configurations.
#[derive(Debug, Default)]
pub struct Transfers {
    /// `None` without a limit.
    bytes_per_s: Option<f64>,
    /// When all that was answered has left.
    idle_at: Cell<Option<Instant>>,
}

impl Transfers {
    /// Creates the part of a link with this rate; 0 for no limit.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s > 0).then_some(link_bytes_per_s as f64 * SHARE),
            idle_at: Cell::default(),
        }
    }

    fn wait(&self, now: Instant) -> Duration {
        let idle_at = self.idle_at.get();
        idle_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    fn has_room(&self) -> bool {
        self.wait(Instant::now()) < MAX_WAIT
    }

    /// Counts an answer of this size; returns how long it has to wait, or `None` if that is too long.
    fn reserve(&self, bytes: usize) -> Option<Duration> {
        let Some(rate) = self.bytes_per_s else {
            return Some(Duration::ZERO);
        };
        let now = Instant::now();
        let wait = Some(self.wait(now)).filter(|wait| *wait < MAX_WAIT)?;
        let time = Duration::try_from_secs_f64(bytes as f64 / rate).unwrap_or_default();
        self.idle_at.set(Some(now + wait + time));
        Some(wait)
    }
}

/// Answers what another daemon asks about configurations, when the link has room for it.
pub async fn answer(daemon: &Daemon, ask: &Ask) -> Answer {
    if !daemon.transfers.has_room() {
        return Answer::Nothing;
    }
    exchange::prepare(&daemon.adoption, ask, &MonoioClock).await;
    let answer = exchange::answer(&daemon.adoption, ask);
    match daemon.transfers.reserve(answer.size()) {
        Some(wait) => {
            monoio::time::sleep(wait).await;
            answer
        }
        None => Answer::Nothing,
    }
}
