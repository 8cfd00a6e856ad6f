//! Migration of a stream to another target when it would miss its deadline.

use std::time::{Duration, Instant};

use lilaccrank::stream_progress;

use crate::request::lifecycle::{self, RoutedRequest};
use crate::request::run::Sent;
use crate::request::send_observer::SendObserver;

/// Completes with the time left to do once an answer would miss its deadline at its pace.
pub async fn until_late(observer: &SendObserver) -> Duration {
    loop {
        monoio::time::sleep(stream_progress::CHECK_INTERVAL).await;
        let progress = observer.stream_progress();
        if let Some(remaining) = progress.remaining_time_if_late(Instant::now()) {
            return remaining;
        }
    }
}

impl RoutedRequest {
    /// Logs that another target goes on with an answer that was late.
    pub fn log_migration(&self, before: &SendObserver, next: &Sent, remaining: Duration) {
        let daemon = &before.daemon;
        log::info!(
            first_event_ms = lifecycle::log_ms(next.time_since_write()),
            from = before.grant.target.id,
            left_ms = lifecycle::log_ms(self.time_left()),
            remaining_ms = lifecycle::log_ms(Some(remaining)),
            request = self.log_id(),
            since_arrival_ms = self.elapsed_ms(),
            target = next.target.id,
            tokens = before.stream_progress().total_tokens(),
            version = daemon.version(&self.route.pool, next.instance()).unwrap_or_default();
            "migrates to another target"
        );
    }
}
