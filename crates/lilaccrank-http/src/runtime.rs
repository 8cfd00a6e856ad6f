//! Builds the monoio runtime, always on epoll and never on io_uring, and spawns its tasks.

use std::future::Future;
use std::io;

use monoio::task::JoinHandle;

mod timer_gate;
pub mod usage;

use usage::Metered;

pub use timer_gate::{checkpoint, times_closed};

/// Runs `fut` to completion on a single-threaded runtime.
///
/// # Errors
///
/// Returns an error if the runtime's poller can't be created.
pub fn block_on<F: Future>(fut: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    timer_gate::reset();
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
