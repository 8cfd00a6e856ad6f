//! Splits a byte stream of server-sent events into complete events, without changing their bytes.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Result of splitting a stream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum size of an event in bytes; bounds memory for a stream that never ends an event.
const EVENT_LIMIT: usize = 1 << 20;

/// Reasons why a byte stream is not a valid event stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// An event exceeds the size limit.
    #[error("an event is over the limit of {EVENT_LIMIT} bytes")]
    TooLarge,
}

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field, if present.
    pub id: Option<String>,
}

/// Buffers incoming bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` already searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLarge`] if the buffer exceeds the event limit without ending an event.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        let Some(end) = event_len(&self.buf, self.scanned) else {
            if self.buf.len() > EVENT_LIMIT {
                return Err(Error::TooLarge);
            }
            // The end of an event may span two chunks.
            self.scanned = self.buf.len().saturating_sub(3);
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Returns `true` if the buffer holds an incomplete event.
    #[must_use]
    pub fn is_in_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Number of bytes that were pushed and not returned as events.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_len(buf: &[u8], start: usize) -> Option<usize> {
    let lines = (start..buf.len()).filter(|at| buf[*at] == b'\n');
    for at in lines {
        let after = &buf[at + 1..];
        if after.first() == Some(&b'\n') {
            return Some(at + 2);
        }
        if after.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    let value = std::str::from_utf8(value).ok()?;
    Some(value.trim().to_owned())
}
