//! Builds the monoio runtime, always on epoll and never on io_uring, and spawns its tasks.

use std::future::{self, Future};
use std::io;
use std::mem;
use std::task::Poll;

use monoio::task::JoinHandle;

mod timer_gate;
pub mod usage;

use usage::Metered;

pub use timer_gate::{checkpoint, take_time_behind, times_closed};

/// Runs `fut` to completion on a single-threaded runtime.
///
/// # Errors
///
/// Returns an error if the runtime's poller can't be created.
pub fn block_on<F: Future>(fut: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    let _attended = timer_gate::Attended::new();
    Ok(runtime.block_on(async {
        monoio::spawn(timer_gate::attend());
        Metered::new(fut).await
    }))
}

/// Spawns a task. It is held back when timers are overdue, and its use of the thread is measured.
pub fn spawn<F>(fut: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
{
    monoio::spawn(Metered::new(fut))
}

/// Completes once all tasks that were ready had a turn.
pub(crate) async fn turn() {
    // Timers fire only once no task is ready.
    monoio::time::sleep_until(monoio::time::Instant::now()).await;
}

/// Completes in the next poll of the task, which the runtime may make before those of other tasks.
pub(crate) async fn yield_now() {
    let mut has_yielded = false;
    future::poll_fn(|cx| {
        if mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
