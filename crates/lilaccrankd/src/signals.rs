//! SIGTERM and SIGINT, and an operator's order: the first of them asks for a graceful end, a
//! second signal for an immediate one. SIGHUP asks to read the settings again; left alone it
//! would end the process and cut every request.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use event_listener::Event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator;

/// Counts the signals received.
#[derive(Clone)]
pub struct Signals {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    changed: Event,
    count: AtomicUsize,
    shutdown_requested: AtomicBool,
    reloads: AtomicUsize,
}

impl Signals {
    /// Starts counting, on a thread that sleeps until a signal comes.
    ///
    /// # Errors
    ///
    /// If the system refuses the handlers.
    pub fn register() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let mut signals = iterator::Signals::new([SIGHUP, SIGINT, SIGTERM])?;
        let counter = Arc::clone(&shared);
        thread::spawn(move || {
            for signal in signals.forever() {
                let counted = match signal {
                    SIGHUP => &counter.reloads,
                    _ => &counter.count,
                };
                counted.fetch_add(1, Ordering::SeqCst);
                counter.changed.notify(usize::MAX);
            }
        });
        Ok(Self { shared })
    }

    /// Asks for a graceful end as an operator does.
    ///
    /// It is no signal: an operator drains a daemon before its vm is replaced, and the
    /// platform's customary SIGTERM that follows would otherwise be the second one and cut the
    /// requests in progress.
    pub fn request_shutdown(&self) {
        self.shared.shutdown_requested.store(true, Ordering::SeqCst);
        self.shared.changed.notify(usize::MAX);
    }

    /// Completes once a graceful end is asked for.
    pub async fn wait_for_shutdown(&self) {
        let shared = &self.shared;
        self.wait_until(|| shared.shutdown_requested.load(Ordering::SeqCst) || shared.count() > 0)
            .await;
    }

    /// Completes once there were more requests to read the settings again than `seen`; returns
    /// how many there were.
    pub async fn wait_for_reload(&self, seen: usize) -> usize {
        let shared = &self.shared;
        let reloads = || shared.reloads.load(Ordering::SeqCst);
        self.wait_until(|| reloads() > seen).await;
        reloads()
    }

    /// Completes once `n` signals have come.
    pub async fn wait_for_count(&self, n: usize) {
        self.wait_until(|| self.shared.count() >= n).await;
    }

    async fn wait_until(&self, holds: impl Fn() -> bool) {
        loop {
            let listener = self.shared.changed.listen();
            if holds() {
                return;
            }
            listener.await;
        }
    }
}

impl Shared {
    fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}
