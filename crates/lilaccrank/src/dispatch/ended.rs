//! Submissions that have ended. A copy of one may arrive late, and must not be taken for a new one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::message::SubmissionNumber;
use crate::ids::RequestId;

/// Maximum number of submissions in the record.
const LIMIT: usize = 4096;
/// Time for which a submission stays in the record. It exceeds the time after which a dispatcher that
/// doesn't read its messages is replaced.
const RETENTION: Duration = Duration::from_secs(10);

/// Record of the submissions that have ended lately.
#[derive(Debug, Default)]
pub(super) struct EndedSubmissions {
    newest: IndexMap<RequestId, SubmissionNumber>,
    order: VecDeque<Ended>,
}

#[derive(Debug)]
struct Ended {
    at: Instant,
    request: RequestId,
    submission: SubmissionNumber,
}

impl EndedSubmissions {
    /// Records that this submission of a request and all earlier ones have ended.
    pub(super) fn record(&mut self, request: &str, submission: SubmissionNumber, now: Instant) {
        self.expire(now);
        let newest = self.newest.entry(request.to_owned()).or_default();
        *newest = submission.max(*newest);
        self.order.push_back(Ended {
            at: now,
            request: request.to_owned(),
            submission,
        });
    }

    /// Returns `true` if this submission of a request is known to have ended.
    pub(super) fn contains(&self, request: &str, submission: SubmissionNumber) -> bool {
        let newest = self.newest.get(request);
        newest.is_some_and(|newest| submission <= *newest)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let age = now.saturating_duration_since(oldest.at);
            if age < RETENTION && self.order.len() < LIMIT {
                return;
            }
            if self.newest.get(&oldest.request) == Some(&oldest.submission) {
                self.newest.swap_remove(&oldest.request);
            }
            self.order.pop_front();
        }
    }
}
