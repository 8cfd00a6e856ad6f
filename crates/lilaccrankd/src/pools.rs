//! Where granted requests go: thin form, one daemon's own count of what each target has.

use std::cell::RefCell;

use event_listener::Event;
use indexmap::IndexMap;
use lilaccrank::document::{Pool, TargetState};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{DataCentre, TargetId};

use crate::refusal::{Refusal, Result};

/// Requests outstanding at each target.
#[derive(Default)]
pub struct Pools {
    freed: Event,
    outstanding: RefCell<IndexMap<TargetId, u32>>,
}

impl Pools {
    /// Waits for a slot on the least loaded live target.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoTarget`] if the pool has none here.
    pub async fn take(&self, pool: &Pool, data_centre: &DataCentre) -> Result<TargetId> {
        loop {
            let freed = self.freed.listen();
            let mut outstanding = self.outstanding.borrow_mut();
            let here = pool
                .targets
                .iter()
                .filter(|t| t.data_centre == *data_centre && t.state == TargetState::Live);
            let count = |id: &TargetId| outstanding.get(id).copied().unwrap_or(0);
            let least = here.min_by_key(|t| count(&t.id)).ok_or_else(|| {
                Refusal::new(ErrorKind::NoTarget, "no live target here serves the pool")
            })?;
            if count(&least.id) < least.slots {
                *outstanding.entry(least.id.clone()).or_default() += 1;
                return Ok(least.id.clone());
            }
            drop(outstanding);
            freed.await;
        }
    }

    /// Gives a slot back.
    pub fn release(&self, target: &TargetId) {
        if let Some(count) = self.outstanding.borrow_mut().get_mut(target) {
            *count = count.saturating_sub(1);
        }
        self.freed.notify(1);
    }
}
