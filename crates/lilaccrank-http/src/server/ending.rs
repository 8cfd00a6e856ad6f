//! How a connection ended, and the line of the log that tells of it.

use std::error::Error;
use std::io;

use derive_more::Display;
use log::Level;

use crate::head_timer::{HeadTimer, OpenRequest};

/// What ends the serving of a connection under the same limits.
pub(super) enum Step {
    /// The connection has ended.
    Ended(hyper::Result<()>),
    /// A request head did not come in time.
    HeadTimedOut,
    /// The client has hung up during a request.
    HungUp,
    /// The connection was idle for too long.
    Idle,
    /// No request is in progress, and other limits are in force.
    LimitsChanged,
    /// The server shuts down.
    ShutDown,
}

/// What ended a connection.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum EndedBy {
    /// The body of the answer failed.
    #[display("body")]
    Body,
    /// The client closed or reset the connection.
    #[display("client")]
    Client,
    /// A request head did not come in time.
    #[display("head_timeout")]
    HeadTimeout,
    /// The server of HTTP.
    #[display("http")]
    Http,
    /// No byte came or went for too long.
    #[display("idle")]
    Idle,
    /// The shutdown of the server.
    #[display("shutdown")]
    Shutdown,
    /// Reading or writing failed.
    #[display("transport")]
    Transport,
}

/// How a connection ended. It is made before the connection is dropped, and the request with it.
pub(super) struct Ending {
    ended_by: EndedBy,
    /// Whether the connection ended as it should, apart from a request in progress.
    is_orderly: bool,
    open_request: Option<OpenRequest>,
    why: String,
}

impl Ending {
    /// How a connection ended by `step`.
    pub(super) fn new(step: Step, head_timer: &HeadTimer) -> Self {
        Self::with_default(EndedBy::Http, step, head_timer)
    }

    /// Like [`Self::new`], while the server shuts down.
    pub(super) fn of_shutdown(step: Step, head_timer: &HeadTimer) -> Self {
        Self::with_default(EndedBy::Shutdown, step, head_timer)
    }

    fn with_default(without_error: EndedBy, step: Step, head_timer: &HeadTimer) -> Self {
        let is_orderly = match &step {
            Step::Ended(Err(e)) => e.is_shutdown(),
            Step::HeadTimedOut | Step::HungUp => false,
            _ => true,
        };
        let (ended_by, why) = match step {
            Step::Ended(Err(e)) => (EndedBy::of(&e), e.to_string()),
            Step::Ended(Ok(())) => (without_error, "the connection was closed".into()),
            Step::HeadTimedOut => (
                EndedBy::HeadTimeout,
                "the request head took too long".into(),
            ),
            Step::HungUp => (EndedBy::Client, "the client hung up".into()),
            Step::Idle => (EndedBy::Idle, "no byte came or went for too long".into()),
            Step::LimitsChanged | Step::ShutDown => {
                (EndedBy::Shutdown, "the server shuts down".into())
            }
        };
        Self {
            ended_by,
            is_orderly,
            open_request: head_timer.open_request(),
            why,
        }
    }

    /// Writes one line if the connection ended within a request or its head.
    pub(super) fn log(&self, head_timer: &HeadTimer) {
        if let Some(request) = self.open_request {
            return self.log_within_request(request, head_timer.requests());
        }
        if self.is_orderly {
            return;
        }
        match head_timer.head_time() {
            Some(head_time) => log::info!(
                head_ms = head_time.as_millis() as u64,
                requests = head_timer.requests();
                "a connection ended within a request head: {}", self.why
            ),
            None => log::debug!("connection ended: {}", self.why),
        }
    }

    fn log_within_request(&self, request: OpenRequest, requests: u64) {
        // The line of the request itself says that its caller left.
        let level = match self.ended_by == EndedBy::Client && !request.answer_begun {
            true => Level::Debug,
            false => Level::Info,
        };
        log::log!(
            level,
            answer_begun = request.answer_begun,
            ended_by:% = self.ended_by,
            requests = requests,
            since_head_ms = request.since_head.as_millis() as u64,
            written = request.written;
            "a connection ended within a request: {}", self.why
        );
    }
}

impl EndedBy {
    /// What an error of the server of HTTP tells.
    fn of(e: &hyper::Error) -> Self {
        let failed = e.source().and_then(|e| e.downcast_ref::<io::Error>());
        match failed.map(io::Error::kind) {
            Some(
                io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::NotConnected,
            ) => Self::Client,
            Some(_) => Self::Transport,
            None if e.is_incomplete_message() => Self::Client,
            None if e.is_user() => Self::Body,
            None => Self::Http,
        }
    }
}
