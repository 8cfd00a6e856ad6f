//! Builds the monoio runtime, always on epoll and never on io_uring, and spawns its tasks.

use std::future::Future;
use std::io;

use monoio::task::JoinHandle;

pub mod usage;

use usage::Metered;

/// Runs `fut` to completion on a single-threaded runtime.
///
/// # Errors
///
/// Returns an error if the runtime's poller can't be created.
pub fn block_on<F: Future>(fut: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(Metered::new(fut)))
}

/// Spawns a task whose use of the thread is measured.
pub fn spawn<F>(fut: F) -> JoinHandle<F::Output>
where
    F: Future + 'static,
{
    monoio::spawn(Metered::new(fut))
}
