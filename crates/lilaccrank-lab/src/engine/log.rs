//! The log of each request begun: the judge of "once".

use indexmap::IndexMap;
use lilaccrank::ids::{ModelId, RequestId, RequestKey};
use serde::Serialize;

use crate::reply;

/// Share of the log dropped at once when it is full, since dropping costs time in its length.
const DROPPED_SHARE: usize = 10;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum End {
    Cancelled,
    Done,
}

/// One request begun.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Entry {
    /// When it got its slot.
    admitted_ms: Option<u64>,
    /// When it came.
    at_ms: u64,
    cached_tokens: u32,
    decoded: u32,
    end: Option<End>,
    /// When it ended.
    ended_ms: Option<u64>,
    key: Option<RequestKey>,
    model: ModelId,
    /// When its prompt had been read, and its blocks were stored.
    prefilled_ms: Option<u64>,
    prefilled_tokens: u32,
    prompt_tokens: u32,
    /// How often it was sent again and refused.
    repeated: u32,
    request_id: RequestId,
}

/// The requests begun, in the order in which they came.
pub(super) struct Log {
    entries: IndexMap<RequestId, Entry>,
    limit: usize,
}

impl Log {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            entries: IndexMap::new(),
            limit,
        }
    }

    pub(super) fn begin(
        &mut self,
        request_id: RequestId,
        key: Option<RequestKey>,
        model: ModelId,
        prompt_tokens: u32,
    ) {
        if self.entries.len() >= self.limit {
            let dropped = (self.limit / DROPPED_SHARE).max(1);
            self.entries.drain(..dropped.min(self.entries.len()));
        }
        let entry = Entry {
            admitted_ms: None,
            at_ms: reply::wall_ms(),
            cached_tokens: 0,
            decoded: 0,
            end: None,
            ended_ms: None,
            key,
            model,
            prefilled_ms: None,
            prefilled_tokens: 0,
            prompt_tokens,
            repeated: 0,
            request_id: request_id.clone(),
        };
        self.entries.insert(request_id, entry);
    }

    /// Notes a repeat; false if the request is new.
    pub(super) fn repeat(&mut self, id: &str) -> bool {
        let entry = self.entries.get_mut(id);
        entry.map(|entry| entry.repeated += 1).is_some()
    }

    pub(super) fn admit(&mut self, id: &str, cached_tokens: u32) {
        self.change(id, |entry| {
            entry.admitted_ms = Some(reply::wall_ms());
            entry.cached_tokens = cached_tokens;
        });
    }

    pub(super) fn prefilled(&mut self, id: &str, tokens: u32) {
        self.change(id, |entry| entry.prefilled_tokens += tokens);
    }

    pub(super) fn prompt_read(&mut self, id: &str) {
        self.change(id, |entry| entry.prefilled_ms = Some(reply::wall_ms()));
    }

    pub(super) fn decoded(&mut self, id: &str) {
        self.change(id, |entry| entry.decoded += 1);
    }

    pub(super) fn end(&mut self, id: &str, end: End) {
        self.change(id, |entry| {
            entry.end = Some(end);
            entry.ended_ms = Some(reply::wall_ms());
        });
    }

    pub(super) fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    fn change(&mut self, id: &str, f: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.entries.get_mut(id) {
            f(entry);
        }
    }
}
