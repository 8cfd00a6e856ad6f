//! Admits requests as long as this daemon has memory for them. A body that does not come on gives its place to
//! a request that needs one.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use indexmap::IndexMap;
use lilaccrank::error_kind::{ErrorKind, Executed};

use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::request::answer_memory::Held;

/// Bytes that a request takes besides its body and its answer, mostly for its two connections: what an open
/// stream was measured to take, see `docs/CAPACITY.md`.
pub const REQUEST_BYTES: usize = 140 << 10;
/// Buffers that hold a request's body at a time: its own, and that of the connection on which it is sent.
const BODY_COPIES: usize = 2;
/// Time without data after which a body may lose its place.
const STALL: Duration = Duration::from_millis(500);
/// Age from which a body may lose its place if it comes too slowly, and bytes a second that are too few.
const SLOW_AFTER: Duration = Duration::from_secs(1);
const MIN_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// Number of a place since the start of the daemon.
type PlaceId = u64;

/// The requests in progress, and those of them whose bodies are still coming.
#[derive(Default)]
pub struct Admission {
    arriving: RefCell<IndexMap<PlaceId, Rc<Place>>>,
    in_progress: Cell<usize>,
    next_id: Cell<PlaceId>,
}

/// What one request takes.
struct Place {
    body: Held,
    id: PlaceId,
    /// Whether it counts as in progress.
    is_counted: Cell<bool>,
    last_data: Cell<Instant>,
    lost: Event,
    /// Bytes of the body that have come.
    received: Cell<usize>,
    /// When the body began to come.
    since: Cell<Instant>,
}

impl Place {
    /// Returns `true` if the body does not come on, or too slowly for a daemon that is full.
    fn is_stalled(&self) -> bool {
        let age = self.since.get().elapsed();
        let least = age.as_secs_f64() * MIN_BYTES_PER_S;
        let is_slow = age >= SLOW_AFTER && (self.received.get() as f64) < least;
        is_slow || self.last_data.get().elapsed() >= STALL
    }
}

/// Whether a body that is to lose its place must hold memory.
#[derive(Clone, Copy, Eq, PartialEq)]
enum HasMemory {
    Needed,
    Optional,
}

/// Guard that counts one request in progress, with the memory of its body, until it is dropped.
pub struct InProgress {
    daemon: Rc<Daemon>,
    place: Rc<Place>,
}

/// Guard of a body that is coming.
pub struct Arriving<'a>(&'a InProgress);

impl InProgress {
    /// Marks the body as coming, until what is returned is dropped.
    #[must_use]
    pub fn begin_body(&self) -> Arriving<'_> {
        let now = Instant::now();
        self.place.since.set(now);
        self.place.last_data.set(now);
        let mut arriving = self.daemon.admission.arriving.borrow_mut();
        arriving.insert(self.place.id, Rc::clone(&self.place));
        Arriving(self)
    }
}

impl Arriving<'_> {
    /// Takes memory for a part of the body, at need that of one that does not come on. If there is none, the body
    /// gives back all it has.
    #[must_use]
    pub fn take(&self, bytes: usize) -> bool {
        let body = &self.0.place.body;
        body.add(bytes.saturating_mul(BODY_COPIES));
        while body.memory().is_short() && self.0.daemon.displace_stalled(HasMemory::Needed) {}
        let is_short = body.memory().is_short();
        if is_short {
            body.release();
        }
        !is_short
    }

    /// Notes that a part of the body has come.
    pub fn record_data(&self, bytes: usize) {
        let place = &self.0.place;
        place.last_data.set(Instant::now());
        place
            .received
            .set(place.received.get().saturating_add(bytes));
    }

    /// Completes with a refusal once the request has lost its place.
    pub async fn lost(&self) -> Refusal {
        let place = &self.0.place;
        while place.is_counted.get() {
            let listener = place.lost.listen();
            if place.is_counted.get() {
                listener.await;
            }
        }
        let message = format!(
            "{} bytes of the body came in {:?}, the last {:?} ago, while other requests needed its place",
            place.received.get(),
            place.since.get().elapsed(),
            place.last_data.get().elapsed()
        );
        Refusal::new(ErrorKind::Overloaded, message).ran(Executed::No)
    }
}

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        let mut arriving = self.0.daemon.admission.arriving.borrow_mut();
        arriving.swap_remove(&self.0.place.id);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.daemon.give_back(&self.place);
    }
}

impl Admission {
    /// Takes the body that has been without data for longest out of those that are coming.
    fn take_stalled(&self, memory: HasMemory) -> Option<Rc<Place>> {
        let mut arriving = self.arriving.borrow_mut();
        let places = arriving.values();
        let fitting =
            places.filter(|place| memory == HasMemory::Optional || place.body.bytes() > 0);
        let stalled = fitting.filter(|place| place.is_stalled());
        let id = stalled.min_by_key(|place| place.last_data.get())?.id;
        arriving.swap_remove(&id)
    }
}

impl Daemon {
    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.admission.in_progress.get()
    }

    /// Admits a request unless the limit of requests in progress or that of the memory for answers is
    /// reached. Bodies and answers count as the requests that their memory would hold. It is called before the
    /// request is read.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] at a limit.
    pub fn admit(self: &Rc<Self>) -> Result<InProgress> {
        while let Err(refusal) = self.check_room() {
            let memory = match self.answer_memory.is_short() {
                true => HasMemory::Needed,
                false => HasMemory::Optional,
            };
            if !self.displace_stalled(memory) {
                return Err(refusal);
            }
        }
        let admission = &self.admission;
        let id = admission.next_id.get();
        admission.next_id.set(id + 1);
        admission.in_progress.set(admission.in_progress.get() + 1);
        self.metrics.in_progress.inc();
        let place = Place {
            body: Held::new(Rc::clone(&self.answer_memory)),
            id,
            is_counted: Cell::new(true),
            last_data: Cell::new(Instant::now()),
            lost: Event::new(),
            received: Cell::default(),
            since: Cell::new(Instant::now()),
        };
        Ok(InProgress {
            daemon: Rc::clone(self),
            place: Rc::new(place),
        })
    }

    /// Takes its place and its memory from a body that does not come on. Returns `false` if there is none.
    fn displace_stalled(&self, memory: HasMemory) -> bool {
        let Some(stalled) = self.admission.take_stalled(memory) else {
            return false;
        };
        stalled.body.release();
        self.give_back(&stalled);
        true
    }

    fn check_room(&self) -> Result<()> {
        let (requests, bytes) = (self.in_progress(), self.answer_memory.bytes());
        if requests + bytes / REQUEST_BYTES >= self.cfg.request_limit {
            let message = format!(
                "this daemon has as many requests as it can hold: {requests} with {bytes} bytes of bodies and answers, its limit is {}",
                self.cfg.request_limit
            );
            return Err(Refusal::new(ErrorKind::Overloaded, message));
        }
        if self.answer_memory.is_short() {
            let message = format!(
                "bodies and answers in progress take {bytes} bytes, {} may be used",
                self.cfg.answers_total_limit
            );
            return Err(Refusal::new(ErrorKind::Overloaded, message));
        }
        Ok(())
    }

    /// Counts a request no longer.
    fn give_back(&self, place: &Place) {
        if place.is_counted.replace(false) {
            let in_progress = &self.admission.in_progress;
            in_progress.set(in_progress.get() - 1);
            self.metrics.in_progress.dec();
            place.lost.notify(usize::MAX);
        }
    }
}
