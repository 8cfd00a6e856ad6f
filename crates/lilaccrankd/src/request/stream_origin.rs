//! Which software version may go on with the stream of a request.

use std::time::Duration;

use lilaccrank::document::Target;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::software_version::{Origin, VersionDigest};
use lilaccrank::stream_origins::{Record, RecordedOrigin, StreamId};

use crate::callers::caller_request::Continuation;
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::peers::stream_origins::{self, Found};
use crate::request::lifecycle::RoutedRequest;

/// Longest wait for a list that names the version of a stream.
const LIST_WAIT: Duration = Duration::from_millis(500);
/// Time for which a record is kept beyond the caller's deadline.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// Time for which a record is kept if its stream has no deadline.
const DEFAULT_RECORD_TTL: Duration = Duration::from_secs(60);

impl RoutedRequest {
    /// Returns where the stream of this request began, before it is sent anywhere.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::CannotResume`] if it resumes a stream and neither the daemons that were asked nor the
    /// platform's store know its origin.
    pub async fn origin(&self, daemon: &Daemon) -> Result<Origin> {
        if !self.route.terms.stream {
            return Ok(Origin::New);
        }
        let id = match &self.caller.continuation {
            Continuation::New => return Ok(Origin::New),
            Continuation::Resumes(request) => Some(self.stream_id(request)),
            Continuation::Unnamed => None,
        };
        let (customer, pool) = (&self.caller.facts.customer, &self.route.pool);
        let found = stream_origins::find(daemon, customer, pool, id).await;
        let origin = found.as_ref().map_or(Origin::Unknown, |found| {
            found.origin(pool, &daemon.live_list)
        });
        log::info!(
            origin:% = origin,
            request = self.log_id(),
            resumes = self.caller.continuation.log_id(),
            since_arrival_ms = self.elapsed_ms(),
            source = found.as_ref().map_or("none", Found::source);
            "resumes a stream"
        );
        if origin == Origin::Unknown {
            let message = "neither the daemons that were asked nor the store know one software version \
                           that began this stream; begin it anew";
            return Err(Refusal::new(ErrorKind::CannotResume, message));
        }
        if let Origin::At(version) = origin {
            daemon.live_list.version_known(version, LIST_WAIT).await;
        }
        Ok(origin)
    }

    /// Record of the stream with this origin, whose events `target` sends, for those who resume it;
    /// `None` if nobody may.
    #[must_use]
    pub fn stream_record(&self, origin: Origin, target: &Target) -> Option<Record> {
        if !self.route.terms.stream || !self.route.terms.resumable {
            return None;
        }
        let began = match &self.caller.continuation {
            Continuation::Resumes(request) => request,
            Continuation::New | Continuation::Unnamed => self.caller.caller_request_id.as_ref()?,
        };
        let limit = self.caller.facts.deadline.or(self.route.terms.timeout());
        let left = limit.map_or(DEFAULT_RECORD_TTL, |limit| {
            limit.saturating_sub(self.arrived.elapsed())
        });
        Some(Record::new(
            self.stream_id(began),
            RecordedOrigin::new(origin, &target.id),
            left + RECORD_MARGIN,
        ))
    }

    /// Origin of the stream after `target` has sent events of it.
    #[must_use]
    pub fn origin_after(&self, daemon: &Daemon, origin: Origin, target: &Target) -> Origin {
        let origin = origin.after(VersionDigest::of(target));
        let recorded = RecordedOrigin::new(origin, &target.id);
        daemon.live_list.origin(&self.route.pool, recorded)
    }

    fn stream_id(&self, request: &str) -> StreamId {
        StreamId::new(&self.caller.facts.customer, &self.route.pool, request)
    }
}
