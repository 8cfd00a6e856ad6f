//! The one way to build a runtime: on epoll, never on io_uring.

use std::future::Future;
use std::io;

/// Runs `fut` to its end on a single-threaded runtime.
///
/// # Errors
///
/// If the runtime's poller can't be made.
pub fn block_on<F: Future>(fut: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(fut))
}
