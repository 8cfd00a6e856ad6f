//! Migration of a stream to another target when it would miss its deadline.
//!
//! The first target keeps generating while the dispatcher looks for another one, so that nothing is
//! lost if none is free.

use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::dispatch::message::{PartialAnswer, Submission};
use lilaccrank::stream_progress;

use crate::pools::client::{self, HeldGrant};
use crate::request::lifecycle::{self, RoutedRequest};
use crate::request::pool_retry_budgets::RetryPermit;
use crate::request::send_history::PriorSends;
use crate::request::send_observer::SendObserver;

/// Time between a refused submission for a migration and the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Suffix of the request id in a submission for a migration. It distinguishes the submission
/// from the one whose grant the request still holds.
const SUBMISSION_SUFFIX: &str = "+";

impl RoutedRequest {
    /// Completes with the grant of a target that resumes the answer. Never completes if the answer
    /// can't be resumed or is on time.
    pub async fn migration_grant(
        &self,
        observer: &SendObserver,
        resumable: bool,
        prior: &PriorSends,
    ) -> HeldGrant {
        if !resumable {
            return future::pending().await;
        }
        loop {
            monoio::time::sleep(stream_progress::CHECK_INTERVAL).await;
            let Some(remaining) = observer
                .stream_progress()
                .remaining_time_if_late(Instant::now())
            else {
                continue;
            };
            if !observer.daemon.retry_budgets.has_budget(&self.route.pool) {
                continue;
            }
            let submission = self.migration_submission(observer, remaining, prior);
            match client::submit(&observer.daemon, &self.route.pool, submission).await {
                Ok(grant) => {
                    // Without a permit, the grant is dropped, which releases it.
                    if let Some(permit) = RetryPermit::take(&observer.daemon, &self.route.pool) {
                        permit.spend();
                        self.log_migration(observer, &grant, remaining);
                        return grant;
                    }
                }
                Err(_) => monoio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    fn migration_submission(
        &self,
        observer: &SendObserver,
        remaining: Duration,
        prior: &PriorSends,
    ) -> Submission {
        let mut exclusions = prior.exclusions.clone();
        exclusions.push(observer.grant.target.clone());
        let prior = PriorSends {
            origin: prior.origin.after(observer.version),
            exclusions,
            waiting_since: Instant::now(),
        };
        let partial = PartialAnswer {
            remaining: Some(remaining),
            tokens: observer.stream_progress().total_tokens(),
        };
        let submission = self.ask(&observer.daemon, &prior, Some(partial));
        Submission {
            request: format!("{}{SUBMISSION_SUFFIX}", submission.request),
            ..submission
        }
    }

    fn log_migration(&self, observer: &SendObserver, grant: &HeldGrant, remaining: Duration) {
        log::info!(
            from = observer.grant.target.id,
            left_ms = lifecycle::log_ms(self.time_left()),
            remaining_ms = lifecycle::log_ms(Some(remaining)),
            request = self.log_id(),
            since_arrival_ms = self.elapsed_ms(),
            target = grant.target.id,
            tokens = observer.stream_progress().total_tokens(),
            version = observer.daemon.version(&self.route.pool, &grant.target).unwrap_or_default();
            "migrates to another target"
        );
    }
}
