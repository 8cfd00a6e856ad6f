//! Reads the answer of a target event by event, each within a bound of bytes and of time.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use lilaccrank_http::events::{self, Event, EventSplitter};
use lilaccrank_http::timeout;
use lilaccrank_http::unproductive::{self, Meter};
use thiserror::Error;

use crate::targets::transport::Transport;

/// Result of reading an event.
pub(super) type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why there is no next event.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// The connection failed.
    #[error("the target broke off its stream: {0}")]
    Lost(hyper::Error),
    /// An event was begun and not ended in time.
    #[error("an event of the target was not whole after {limit:?}, {received} bytes of it came")]
    Incomplete {
        /// Time limit that was exceeded.
        limit: Duration,
        /// Bytes of the event that came.
        received: usize,
    },
    /// No event was begun in time.
    #[error("the target began no event for {0:?}")]
    Silent(Duration),
    /// The bytes are no body, or too many came without an event.
    #[error("the target sent what is no part of its stream: {0:?}")]
    Garbage(hyper::Error),
    /// The bytes are no events.
    #[error(transparent)]
    Malformed(#[from] events::Error),
}

impl From<hyper::Error> for Error {
    fn from(e: hyper::Error) -> Self {
        match unproductive::is_malformed(&e) {
            true => Self::Garbage(e),
            false => Self::Lost(e),
        }
    }
}

/// Reader of the events of one answer.
pub(super) struct EventReader<'a> {
    body: Incoming,
    /// Maximum time from the first bytes of an event to its last.
    event_limit: Duration,
    meter: Meter,
    splitter: EventSplitter,
    transport: &'a Transport,
}

impl<'a> EventReader<'a> {
    /// Begins to read. `meter` is that of the connection; only whole events count as progress.
    pub(super) fn new(
        body: Incoming,
        meter: Meter,
        event_limit: Duration,
        transport: &'a Transport,
    ) -> Self {
        meter.start();
        Self {
            body,
            event_limit,
            meter,
            splitter: EventSplitter::default(),
            transport,
        }
    }

    /// Returns the next event, which must begin within `limit`; `None` at the end of the answer.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<Option<Event>> {
        if let Some(event) = self.take()? {
            return Ok(Some(event));
        }
        if !self.is_in_event() {
            let began = timeout::timeout(limit, self.begin()).await;
            if !began.map_err(|_| Error::Silent(limit))?? {
                return Ok(None);
            }
            // Most events come whole and need no timer of their own.
            if let Some(event) = self.take()? {
                return Ok(Some(event));
            }
        }
        let whole = timeout::timeout(self.event_limit, self.complete()).await;
        whole.map_err(|_| Error::Incomplete {
            limit: self.event_limit,
            received: self.splitter.buffered_len(),
        })?
    }

    /// Returns `true` if bytes of an event came that is not whole.
    pub(super) fn is_in_event(&self) -> bool {
        self.splitter.is_in_event()
    }

    /// Ends the reading of an answer whose end has come.
    pub(super) fn finish(&self) {
        self.meter.stop();
    }

    /// Reads until an event has begun. Returns `false` at the end of the answer.
    async fn begin(&mut self) -> Result<bool> {
        while !self.is_in_event() {
            if !self.read().await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads until an event is whole; `None` at the end of the answer.
    async fn complete(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(event) = self.take()? {
                return Ok(Some(event));
            }
            if !self.read().await? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self) -> Result<Option<Event>> {
        let event = self.splitter.next_event()?;
        if event.is_some() {
            self.meter.record_progress();
        }
        Ok(event)
    }

    /// Reads a piece of the answer. Returns `false` at its end.
    async fn read(&mut self) -> Result<bool> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame?;
        self.transport.record_heard();
        if let Ok(data) = frame.into_data() {
            self.splitter.push(&data);
        }
        Ok(true)
    }
}
