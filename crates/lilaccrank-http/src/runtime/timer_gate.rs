//! Holds tasks back until timers have fired.
//!
//! monoio fires timers only once no task is ready, and polls a task that has woken itself before all
//! others. On a thread that always has a ready task, no timer would ever fire. Tasks that become ready are
//! therefore held back once timers have not been looked at for a while: the queue of tasks runs empty,
//! timers fire, and each task goes on with one poll, in the order in which they became ready.

use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

/// Time after which it is checked whether timers have been looked at, and how long ago that may be. A
/// timer is late by twice this time and one poll of each task that is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

thread_local! {
    static GATE: Gate = Gate::default();
}

#[derive(Default)]
struct Gate {
    /// Waker of the task that opens the gate.
    attendant: RefCell<Option<Waker>>,
    /// Time for which tasks were ready without a pause, before `behind_since`.
    behind: Cell<Duration>,
    /// When the gate was closed first since the runtime had no task that was ready.
    behind_since: Cell<Option<Instant>>,
    /// When it was last seen that timers had been looked at.
    checked_at: Cell<Option<Instant>>,
    /// Tasks that are held back, in the order in which they became ready.
    held: RefCell<Vec<Waker>>,
    /// A task that goes on behind them, as it had the thread to itself.
    held_last: RefCell<Option<Waker>>,
    /// When the poll in progress began.
    poll_began: Cell<Option<Instant>>,
    /// The task that was polled last.
    polled: Cell<TaskId>,
    state: Cell<State>,
    times_closed: Cell<u64>,
}

/// Address of a task's future.
type TaskId = usize;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// No runtime of this module runs on the thread, so nothing would open the gate.
    #[default]
    Unattended,
    Open,
    Closed,
}

/// The way of one task, or of one loop in it, through the gate.
#[derive(Debug, Default)]
pub(super) struct Pass {
    /// Number of the closing in which it was held back, until it has gone on.
    held_in: Option<u64>,
}

impl Pass {
    /// Ready if `task` may go on; otherwise it is woken once timers have fired, and goes on then.
    pub(super) fn poll(&mut self, task: TaskId, now: Instant, cx: &mut Context<'_>) -> Poll<()> {
        GATE.with(|gate| {
            let is_repeated = gate.polled.replace(task) == task;
            let is_overdue = || gate.are_timers_overdue(now);
            ready!(self.poll_unless(gate, is_overdue, is_repeated, now, cx));
            gate.poll_began.set(Some(now));
            Poll::Ready(())
        })
    }

    /// Ready if the poll in progress has not taken long; otherwise the task is woken once timers have fired.
    fn poll_within(&mut self, now: Instant, cx: &mut Context<'_>) -> Poll<()> {
        GATE.with(|gate| {
            let is_long = || {
                let began = gate.poll_began.get();
                began.is_some_and(|began| now.saturating_duration_since(began) > CHECK_INTERVAL)
            };
            self.poll_unless(gate, is_long, true, now, cx)
        })
    }

    /// Holds the task back while the gate is closed, and closes it if `closes` says so. A task that was held
    /// back before goes on in any case.
    fn poll_unless(
        &mut self,
        gate: &Gate,
        closes: impl FnOnce() -> bool,
        goes_last: bool,
        now: Instant,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        let is_closed = gate.state.get() == State::Closed;
        if let Some(held_in) = self.held_in {
            if is_closed && held_in == gate.times_closed.get() {
                return Poll::Pending;
            }
            self.held_in = None;
            return Poll::Ready(());
        }
        let closes = gate.state.get() == State::Open && closes();
        if !is_closed && !closes {
            return Poll::Ready(());
        }
        if closes {
            gate.close(now);
        }
        self.held_in = Some(gate.times_closed.get());
        gate.hold(cx.waker().clone(), closes && goes_last);
        Poll::Pending
    }
}

impl Gate {
    fn close(&self, now: Instant) {
        self.state.set(State::Closed);
        self.behind_since.set(self.behind_since.get().or(Some(now)));
        self.times_closed.set(self.times_closed.get() + 1);
        if let Some(attendant) = self.attendant.take() {
            attendant.wake();
        }
    }

    fn hold(&self, waker: Waker, goes_last: bool) {
        match goes_last {
            true => *self.held_last.borrow_mut() = Some(waker),
            false => self.held.borrow_mut().push(waker),
        }
    }

    /// Returns `true` if the runtime has not looked at its timers for [`CHECK_INTERVAL`].
    fn are_timers_overdue(&self, now: Instant) -> bool {
        let checked_at = self.checked_at.get();
        let is_due = checked_at.is_none_or(|at| now.saturating_duration_since(at) > CHECK_INTERVAL);
        if !is_due {
            return false;
        }
        let are_fired = have_timers_fired_since(now);
        if are_fired {
            self.checked_at.set(Some(now));
            self.count_behind(now);
            self.behind_since.take();
        }
        !are_fired
    }

    fn count_behind(&self, now: Instant) {
        if let Some(since) = self.behind_since.replace(Some(now)) {
            let time = now.saturating_duration_since(since);
            self.behind.set(self.behind.get() + time);
        }
    }

    fn open(&self) {
        self.state.set(State::Open);
        self.checked_at.set(Some(Instant::now()));
        let held = self.held.take();
        let held = held.into_iter().chain(self.held_last.take());
        held.for_each(Waker::wake);
    }
}

/// Returns `true` if the runtime has looked at its timers in the last [`CHECK_INTERVAL`] before `now`: a
/// new timer that is due by then has fired already.
fn have_timers_fired_since(now: Instant) -> bool {
    let due = now.checked_sub(CHECK_INTERVAL).unwrap_or(now);
    let timer = pin!(monoio::time::sleep_until(due.into()));
    timer
        .poll(&mut Context::from_waker(Waker::noop()))
        .is_ready()
}

/// Lets timers fire, and other tasks run, once the poll in progress has taken long. For loops that may go
/// on without ever waiting.
pub async fn checkpoint() {
    let mut pass = Pass::default();
    future::poll_fn(|cx| pass.poll_within(Instant::now(), cx)).await;
}

/// Returns for how long since the last call this thread had more to do than it did: what arrived meanwhile
/// may not have been handled, although timers fired.
#[must_use]
pub fn take_time_behind() -> Duration {
    GATE.with(|gate| {
        if gate.behind_since.get().is_some() {
            gate.count_behind(Instant::now());
        }
        gate.behind.take()
    })
}

/// Number of times that tasks of this thread were held back.
#[must_use]
pub fn times_closed() -> u64 {
    GATE.with(|gate| gate.times_closed.get())
}

/// The gate of a runtime on this thread, in use until dropped.
pub(super) struct Attended(());

impl Attended {
    pub(super) fn new() -> Self {
        GATE.with(|gate| gate.state.set(State::Open));
        Self(())
    }
}

impl Drop for Attended {
    /// Tasks that are still held back end with their runtime.
    fn drop(&mut self) {
        GATE.with(|gate| {
            gate.state.take();
            gate.behind.take();
            gate.behind_since.take();
            gate.checked_at.take();
            gate.poll_began.take();
            let held = gate.held.take();
            drop((held, gate.held_last.take(), gate.attendant.take()));
        });
    }
}

/// Opens the gate each time that it is closed. The task of this future must not pass the gate itself.
pub(super) async fn attend() {
    loop {
        future::poll_fn(until_closed).await;
        let due = Instant::now().checked_sub(CHECK_INTERVAL);
        monoio::time::sleep_until(due.unwrap_or_else(Instant::now).into()).await;
        // Tasks whose timers fired with this one may be behind it in the queue. They are held back as well,
        // before a new task is polled.
        monoio::spawn(future::ready(())).await;
        GATE.with(Gate::open);
    }
}

fn until_closed(cx: &mut Context<'_>) -> Poll<()> {
    GATE.with(|gate| {
        if gate.state.get() == State::Closed {
            return Poll::Ready(());
        }
        *gate.attendant.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    })
}
