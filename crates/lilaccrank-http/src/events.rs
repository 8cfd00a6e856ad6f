//! Cuts the bytes of a stream of server-sent events into whole events, which pass on unchanged.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Result of cutting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Largest event in bytes; a stream without any end of an event would otherwise fill the memory.
const EVENT_LIMIT: usize = 1 << 20;

/// Why bytes are no stream of events.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// An event does not end.
    #[error("an event is over the limit of {EVENT_LIMIT} bytes")]
    TooLarge,
}

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Bytes that do not yet make a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if an event does not end.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        let Some(end) = event_len(&self.buf, self.scanned) else {
            if self.buf.len() > EVENT_LIMIT {
                return Err(Error::TooLarge);
            }
            // An end may lie across two pieces.
            self.scanned = self.buf.len().saturating_sub(3);
            return Ok(None);
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Whether a part of an event is left.
    #[must_use]
    pub fn is_in_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Length of the first event, its empty line included.
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
