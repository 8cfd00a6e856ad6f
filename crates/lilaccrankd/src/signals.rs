//! Shutdown and reload requests. The first SIGTERM or SIGINT, or an operator's request, starts a
//! graceful shutdown; a second one ends it at once, if the settings say so. SIGHUP reloads the
//! settings: its default action would end the process and break every request.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Instant;

use event_listener::Event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator;

/// Counters of received signals, shared between the signal thread and tasks.
#[derive(Clone)]
pub struct Signals {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    changed: Event,
    count: AtomicUsize,
    /// When a graceful shutdown was requested first.
    requested_at: OnceLock<Instant>,
    reloads: AtomicUsize,
}

impl Signals {
    /// Registers the handlers and starts the thread that counts signals.
    ///
    /// # Errors
    ///
    /// If the handlers can't be registered.
    pub fn register() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let mut signals = iterator::Signals::new([SIGHUP, SIGINT, SIGTERM])?;
        let counter = Arc::clone(&shared);
        thread::spawn(move || {
            for signal in signals.forever() {
                match signal {
                    SIGHUP => {
                        counter.reloads.fetch_add(1, Ordering::SeqCst);
                        counter.changed.notify(usize::MAX);
                    }
                    _ => {
                        counter.count.fetch_add(1, Ordering::SeqCst);
                        counter.request_shutdown();
                    }
                }
            }
        });
        Ok(Self { shared })
    }

    /// Requests a graceful shutdown on behalf of an operator.
    ///
    /// This does not count as a signal: an operator drains a daemon before its VM is replaced, and
    /// the platform's SIGTERM that follows would otherwise be the second signal and abort the
    /// requests in progress.
    pub fn request_shutdown(&self) {
        self.shared.request_shutdown();
    }

    /// Completes once a graceful shutdown is requested; returns when it was.
    pub async fn wait_for_shutdown(&self) -> Instant {
        let requested_at = &self.shared.requested_at;
        self.wait_until(|| requested_at.get().is_some()).await;
        *requested_at.get_or_init(Instant::now)
    }

    /// Completes once more than `seen` reloads were requested; returns their number.
    pub async fn wait_for_reload(&self, seen: usize) -> usize {
        let shared = &self.shared;
        let reloads = || shared.reloads.load(Ordering::SeqCst);
        self.wait_until(|| reloads() > seen).await;
        reloads()
    }

    /// Completes once `n` termination signals were received.
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
    fn request_shutdown(&self) {
        self.requested_at.get_or_init(Instant::now);
        self.changed.notify(usize::MAX);
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}
