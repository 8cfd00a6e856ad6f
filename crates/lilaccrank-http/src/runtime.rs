//! Builds the monoio runtime, always on epoll and never on io_uring.

use std::future::Future;
use std::io;

/// Runs `fut` to completion on a single-threaded runtime.
///
/// # Errors
///
/// Returns an error if the runtime's poller can't be created.
pub fn block_on<F: Future>(fut: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(fut))
}
