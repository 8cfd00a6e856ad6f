//! SIGTERM and SIGINT: the first asks for a graceful end, the second for an immediate one. An
//! operator's order to leave counts as the first.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator;

/// How often the count is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Counts the signals received.
#[derive(Clone)]
pub struct Signals {
    count: Arc<AtomicUsize>,
}

impl Signals {
    /// Starts counting, on a thread that sleeps until a signal comes.
    ///
    /// # Errors
    ///
    /// If the system refuses the handlers.
    pub fn register() -> io::Result<Self> {
        let count = Arc::new(AtomicUsize::new(0));
        let mut signals = iterator::Signals::new([SIGINT, SIGTERM])?;
        let counter = Arc::clone(&count);
        thread::spawn(move || {
            for _ in signals.forever() {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        });
        Ok(Self { count })
    }

    /// Asks for a graceful end as the first signal does; later it changes nothing.
    pub fn request(&self) {
        self.count.fetch_max(1, Ordering::Relaxed);
    }

    /// Completes once `n` signals have come.
    pub async fn reached(&self, n: usize) {
        while self.count.load(Ordering::Relaxed) < n {
            monoio::time::sleep(POLL).await;
        }
    }
}
