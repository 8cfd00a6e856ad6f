//! State that a lease keeps through all phases, and its calls to the store.

use std::time::Instant;

use bytes::Bytes;

use super::{Fence, Record, Settings};
use crate::clock::{self, Clock};
use crate::store::{self, Expect, Store, Version};

pub(super) struct Context<S, C> {
    pub(super) cfg: Settings,
    pub(super) clock: C,
    /// Highest fencing number seen. It never decreases, even if the store is restored from an older
    /// state.
    pub(super) highest_fence: Fence,
    pub(super) holder: String,
    pub(super) key: String,
    last_attempt: u64,
    store: S,
}

/// A write that was sent and may or may not have taken effect.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub(super) at: Instant,
    pub(super) attempt: u64,
}

/// A record as read from the store.
pub(super) struct Found {
    pub(super) record: Record,
    pub(super) version: Version,
}

impl<S: Store, C: Clock> Context<S, C> {
    pub(super) fn new(cfg: Settings, key: String, holder: String, store: S, clock: C) -> Self {
        Self {
            cfg,
            clock,
            highest_fence: 0,
            holder,
            key,
            last_attempt: 0,
            store,
        }
    }

    /// Time at which the lease expires for its holder if its write was sent at `sent_at`.
    pub(super) fn expires_at(&self, sent_at: Instant) -> Instant {
        sent_at + self.cfg.duration.saturating_sub(self.cfg.margin)
    }

    pub(super) async fn read(&mut self) -> store::Result<Option<Found>> {
        let call = self.store.get(&self.key);
        let answer = clock::hard_timeout(&self.clock, self.cfg.call_timeout, call).await;
        let Some(object) = answer.unwrap_or(Err(store::Error::Unknown))? else {
            return Ok(None);
        };
        match serde_json::from_slice::<Record>(&object.value) {
            Ok(record) => {
                self.highest_fence = self.highest_fence.max(record.fence);
                Ok(Some(Found {
                    record,
                    version: object.version,
                }))
            }
            Err(err) => {
                // Overwriting it could lower the fencing number, so an operator has to repair it.
                log::error!(
                    "lease {}: the stored object is not a lease record: {err}",
                    self.key
                );
                Err(store::Error::Unavailable)
            }
        }
    }

    /// Writes a record with this fencing number. Returns when it was sent, and the outcome.
    pub(super) async fn write(
        &mut self,
        fence: Fence,
        released: bool,
        expect: Expect,
    ) -> (Sent, store::Result<Version>) {
        self.last_attempt += 1;
        self.highest_fence = self.highest_fence.max(fence);
        let record = Record {
            attempt: self.last_attempt,
            duration_ms: u64::try_from(self.cfg.duration.as_millis()).unwrap_or(u64::MAX),
            fence,
            holder: self.holder.clone(),
            released,
        };
        let value = serde_json::to_vec(&record).expect("a lease record is always serializable");
        let sent = Sent {
            at: self.clock.now(),
            attempt: self.last_attempt,
        };
        let call = self.store.put(&self.key, Bytes::from(value), expect);
        let answer = clock::hard_timeout(&self.clock, self.cfg.call_timeout, call).await;
        (sent, answer.unwrap_or(Err(store::Error::Unknown)))
    }
}
