//! Pace of the requests to targets, so that none is written behind seconds of other bytes on this VM's link.
//!
//! What was written can't be taken back: it reaches its target however late, when its caller may have left.
//! What waits here ends with its caller.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use event_listener::Event;
use hyper::Request;
use hyper::body::Body as _;
use lilaccrank::ids::Tier;
use lilaccrank_http::body::Body;

/// Part of the link for requests to targets. The rest is for answers to callers and for control.
const SHARE: f64 = 0.75;
/// Bytes under way that a request may be written behind, as time on the link.
const MAX_BACKLOG: Duration = Duration::from_millis(50);
/// Size of a request's head, roughly.
const HEAD_BYTES: u64 = 1 << 10;

/// Order of a request that waits: by tier, then by arrival.
type Order = (Tier, u64);

/// The link of this VM, as far as requests to targets use it.
#[derive(Debug, Default)]
pub struct Link {
    /// `None` without a limit.
    bytes_per_s: Option<f64>,
    /// Notified when a request no longer waits.
    changed: Event,
    /// When all that was written has left.
    idle_at: Cell<Option<Instant>>,
    next_number: Cell<u64>,
    waiting: RefCell<BTreeSet<Order>>,
}

impl Link {
    /// Creates a link with this rate; 0 for no limit.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: (bytes_per_s > 0).then_some(bytes_per_s as f64 * SHARE),
            ..Self::default()
        }
    }

    /// Waits until a request may be written, and counts it. The most urgent tier goes first.
    pub async fn until_free(&self, tier: Tier, req: &Request<Body>) {
        let Some(rate) = self.bytes_per_s else {
            return;
        };
        let body_bytes = req.body().size_hint().exact().unwrap_or(0);
        let bytes = body_bytes.saturating_add(HEAD_BYTES) as f64;
        let time = Duration::try_from_secs_f64(bytes / rate).unwrap_or(MAX_BACKLOG);
        let place = self.take_place(tier);
        loop {
            let changed = self.changed.listen();
            if !place.is_first() {
                changed.await;
                continue;
            }
            let now = Instant::now();
            let idle_at = self.idle_at.get().unwrap_or(now).max(now);
            let excess = (idle_at - now).saturating_sub(MAX_BACKLOG);
            if excess.is_zero() {
                self.idle_at.set(Some(idle_at + time));
                return;
            }
            monoio::time::sleep(excess).await;
        }
    }

    fn take_place(&self, tier: Tier) -> Place<'_> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.waiting.borrow_mut().insert((tier, number));
        Place {
            link: self,
            order: (tier, number),
        }
    }
}

/// A place among the requests that wait for the link, given up when dropped.
struct Place<'a> {
    link: &'a Link,
    order: Order,
}

impl Place<'_> {
    fn is_first(&self) -> bool {
        self.link.waiting.borrow().first() == Some(&self.order)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.link.waiting.borrow_mut().remove(&self.order);
        self.link.changed.notify(usize::MAX);
    }
}
