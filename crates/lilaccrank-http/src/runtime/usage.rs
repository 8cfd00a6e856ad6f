//! Measures for how long tasks run, by the function that a task executes. Each poll passes the gate of
//! the timers first.

use std::any;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::ptr;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pin_project_lite::pin_project;

use super::timer_gate::Pass;

/// Path of the function that a task executes, without its type parameters.
pub type TaskName = &'static str;

thread_local! {
    static USAGE: Usage = Usage::default();
}

/// Use of the thread by all tasks.
#[derive(Default)]
struct Usage {
    longest_poll: Cell<Share>,
    polls: Cell<u64>,
    tasks: RefCell<IndexMap<TaskName, Rc<Times>>>,
}

/// Use of the thread by the tasks of one function.
#[derive(Default)]
struct Times {
    total: Cell<Duration>,
    /// Part of it since the last [`take_period`].
    in_period: Cell<Duration>,
}

/// Time of one task.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Share {
    /// Time for which it ran.
    pub time: Duration,
    /// Name of the task.
    pub task: TaskName,
}

/// What ran on this thread between two calls of [`take_period`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Period {
    /// The function whose tasks ran longest, and for how long in all.
    pub busiest: Share,
    /// The longest poll of a task.
    pub longest_poll: Share,
    /// Number of polls of all tasks.
    pub polls: u64,
}

/// Returns what has run on this thread since the last call.
pub fn take_period() -> Period {
    USAGE.with(|usage| {
        let tasks = usage.tasks.borrow();
        let shares = tasks.iter().map(|(task, times)| Share {
            time: times.in_period.take(),
            task,
        });
        Period {
            busiest: shares.max().unwrap_or_default(),
            longest_poll: usage.longest_poll.take(),
            polls: usage.polls.take(),
        }
    })
}

/// Returns for how long the tasks of this thread have run since its start.
#[must_use]
pub fn totals() -> Vec<Share> {
    USAGE.with(|usage| {
        let tasks = usage.tasks.borrow();
        let shares = tasks.iter().map(|(task, times)| Share {
            time: times.total.get(),
            task,
        });
        shares.collect()
    })
}

pin_project! {
    /// A task whose polls pass the gate and are measured.
    pub(super) struct Metered<F> {
        #[pin]
        fut: F,
        pass: Pass,
        task: TaskName,
        times: Rc<Times>,
    }
}

impl<F> Metered<F> {
    pub(super) fn new(fut: F) -> Self {
        let task = task_name::<F>();
        let times = USAGE.with(|usage| {
            let mut tasks = usage.tasks.borrow_mut();
            Rc::clone(tasks.entry(task).or_default())
        });
        Self {
            fut,
            pass: Pass::default(),
            task,
            times,
        }
    }
}

impl<F: Future> Future for Metered<F> {
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let id = ptr::from_ref(&*self).addr();
        let metered = self.project();
        let began = Instant::now();
        ready!(metered.pass.poll(id, began, cx));
        let polled = metered.fut.poll(cx);
        let time = began.elapsed();
        let Times { total, in_period } = &**metered.times;
        total.set(total.get() + time);
        in_period.set(in_period.get() + time);
        let task = *metered.task;
        USAGE.with(|usage| {
            usage.polls.set(usage.polls.get() + 1);
            if usage.longest_poll.get().time < time {
                usage.longest_poll.set(Share { time, task });
            }
        });
        polled
    }
}

/// Returns the path of the function that returned the future `F`.
fn task_name<F>() -> TaskName {
    let name = any::type_name::<F>();
    let end = name.find(['<', '{']).unwrap_or(name.len());
    name[..end].trim_end_matches(':')
}
