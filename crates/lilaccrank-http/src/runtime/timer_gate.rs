//! Holds tasks back until timers have fired.
//!
//! monoio fires timers only once no task is ready, and polls a task that has woken itself before all
//! others. On a thread that always has a ready task, no timer would ever fire. Tasks that become ready are
//! therefore held back once timers have not been looked at for a while: the queue of tasks runs empty,
//! timers fire, and each task goes on with one poll, in the order in which they became ready.

use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::mem;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use event_listener::Event;

/// Time after which it is checked whether timers have been looked at, and how long ago that may be. A
/// timer is late by twice this time at most, and by the polls that are under way.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

thread_local! {
    static GATE: Gate = Gate::default();
}

#[derive(Default)]
struct Gate {
    /// When it was last seen that timers had been looked at.
    checked_at: Cell<Option<Instant>>,
    closed: Event,
    /// Tasks that are held back, in the order in which they became ready.
    held: RefCell<Vec<Waker>>,
    /// A task that goes on behind them, as it had the thread to itself.
    held_last: RefCell<Option<Waker>>,
    /// The task that was polled last.
    polled: Cell<TaskId>,
    /// Number of polls that pass without a check: each task that was held back goes on before the next one
    /// is held back.
    released: Cell<usize>,
    state: Cell<State>,
    times_closed: Cell<u64>,
}

/// Address of a task's future.
pub(super) type TaskId = usize;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// Nothing opens the gate, so it is not closed.
    #[default]
    Unattended,
    Open,
    Closed,
}

impl Gate {
    /// Ready if `task` may go on; otherwise it is woken once timers have fired.
    fn poll_open(&self, task: TaskId, now: Instant, cx: &mut Context<'_>) -> Poll<()> {
        let is_repeated = self.polled.replace(task) == task;
        let released = self.released.get();
        match self.state.get() {
            State::Unattended => return Poll::Ready(()),
            State::Closed => self.held.borrow_mut().push(cx.waker().clone()),
            State::Open if released > 0 => {
                self.released.set(released - 1);
                return Poll::Ready(());
            }
            State::Open if !self.are_timers_overdue(now) => return Poll::Ready(()),
            State::Open => {
                self.close();
                let waker = cx.waker().clone();
                match is_repeated {
                    true => *self.held_last.borrow_mut() = Some(waker),
                    false => self.held.borrow_mut().push(waker),
                }
            }
        }
        Poll::Pending
    }

    fn close(&self) {
        self.state.set(State::Closed);
        self.times_closed.set(self.times_closed.get() + 1);
        self.closed.notify(1);
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
        }
        !are_fired
    }

    fn open(&self) {
        self.state.set(State::Open);
        self.checked_at.set(Some(Instant::now()));
        let held = mem::take(&mut *self.held.borrow_mut());
        let held = held.into_iter().chain(self.held_last.take());
        self.released.set(held.map(Waker::wake).count());
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

/// Ready if `task` may go on; otherwise it is woken once timers have fired.
pub(super) fn poll_open(task: TaskId, now: Instant, cx: &mut Context<'_>) -> Poll<()> {
    GATE.with(|gate| gate.poll_open(task, now, cx))
}

/// Lets timers fire, and other tasks run, if timers are overdue. For loops that may go on without ever
/// waiting.
pub async fn checkpoint() {
    future::poll_fn(|cx| GATE.with(|gate| gate.poll_open(gate.polled.get(), Instant::now(), cx)))
        .await;
}

/// Number of times that tasks of this thread were held back.
#[must_use]
pub fn times_closed() -> u64 {
    GATE.with(|gate| gate.times_closed.get())
}

/// Makes the gate of this thread as new: tasks that it held back belong to an earlier runtime.
pub(super) fn reset() {
    GATE.with(|gate| {
        gate.checked_at.take();
        gate.held.take();
        gate.held_last.take();
        gate.released.take();
        gate.state.take();
    });
}

/// Opens the gate each time that it is closed. The task of this future must not pass the gate itself.
pub(super) async fn attend() {
    GATE.with(|gate| gate.state.set(State::Open));
    loop {
        let closed =
            GATE.with(|gate| (gate.state.get() != State::Closed).then(|| gate.closed.listen()));
        if let Some(closed) = closed {
            closed.await;
        }
        let due = Instant::now().checked_sub(CHECK_INTERVAL);
        monoio::time::sleep_until(due.unwrap_or_else(Instant::now).into()).await;
        // Tasks whose timers fired with this one may be behind it in the queue. They are held back as well,
        // before a new task is polled.
        monoio::spawn(future::ready(())).await;
        GATE.with(Gate::open);
    }
}
