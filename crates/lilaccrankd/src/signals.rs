//! SIGTERM and SIGINT, and an operator's order: the first of them asks for a graceful end, a
//! second signal for an immediate one.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
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
    ordered: Arc<AtomicBool>,
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
        Ok(Self {
            count,
            ordered: Arc::default(),
        })
    }

    /// Asks for a graceful end as an operator does.
    ///
    /// It is no signal: an operator drains a daemon before its vm is replaced, and the
    /// platform's customary SIGTERM that follows would otherwise be the second one and cut the
    /// requests in progress.
    pub fn order(&self) {
        self.ordered.store(true, Ordering::Relaxed);
    }

    /// Completes once a graceful end is asked for.
    pub async fn asked(&self) {
        while !self.ordered.load(Ordering::Relaxed) && self.count.load(Ordering::Relaxed) == 0 {
            monoio::time::sleep(POLL).await;
        }
    }

    /// Completes once `n` signals have come.
    pub async fn reached(&self, n: usize) {
        while self.count.load(Ordering::Relaxed) < n {
            monoio::time::sleep(POLL).await;
        }
    }
}
