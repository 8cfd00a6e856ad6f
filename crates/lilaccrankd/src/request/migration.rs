//! Migration of a stream that will not finish in time to another target.
//!
//! The first target goes on generating while the dispatcher looks for another one, so that nothing is
//! lost if none comes free.

use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::dispatch::message::{Ask, PartialAnswer};
use lilaccrank::stream_progress;

use crate::pools::client::{self, Held};
use crate::request::life::{self, Routed};
use crate::request::send::Seen;
use crate::request::sends::PriorSends;

/// Time between a refusal and the next ask for a migration.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Tells the ask for a migration from the ask whose grant the request still holds.
const ASK_SUFFIX: &str = "+";

impl Routed {
    /// Completes with the grant of a target that is to resume the answer. Never completes if the answer
    /// can't be resumed or stays on time.
    pub async fn migration(&self, seen: &Seen<'_>, resumable: bool, prior: &PriorSends) -> Held {
        if !resumable {
            return future::pending().await;
        }
        loop {
            monoio::time::sleep(stream_progress::CHECK_INTERVAL).await;
            let Some(remaining) = seen
                .stream_progress()
                .remaining_time_if_late(Instant::now())
            else {
                continue;
            };
            if !seen.daemon.second_sends.has(&self.route.pool) {
                continue;
            }
            let ask = self.migration_ask(seen, remaining, prior);
            match client::ask(seen.daemon, &self.route.pool, ask).await {
                Ok(held) if seen.daemon.second_sends.take(seen.daemon, &self.route.pool) => {
                    self.log_migration(seen, &held, remaining);
                    return held;
                }
                // Dropping the grant gives it back.
                Ok(_) => {}
                Err(_) => monoio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    fn migration_ask(&self, seen: &Seen<'_>, remaining: Duration, prior: &PriorSends) -> Ask {
        let mut exclusions = prior.exclusions.clone();
        exclusions.push(seen.held.target.clone());
        let prior = PriorSends {
            exclusions,
            waits_since: Instant::now(),
        };
        let partial = PartialAnswer {
            remaining: Some(remaining),
            tokens: seen.stream_progress().total_tokens(),
        };
        let ask = self.ask(seen.daemon, &prior, Some(partial));
        Ask {
            request: format!("{}{ASK_SUFFIX}", ask.request),
            ..ask
        }
    }

    fn log_migration(&self, seen: &Seen<'_>, held: &Held, remaining: Duration) {
        log::info!(
            from = seen.held.target.id,
            left_ms = life::log_ms(self.left()),
            remaining_ms = life::log_ms(Some(remaining)),
            request = self.name(),
            since_arrival_ms = self.elapsed_ms(),
            target = held.target.id,
            tokens = seen.stream_progress().total_tokens();
            "migrates to another target"
        );
    }
}
