//! One daemon: what all its tasks share, how it starts and how it ends.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use futures::future::{self, Either};
use futures::pin_mut;
use lilaccrank::document::Document;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{Incarnation, RequestId};
use lilaccrank::store::Store;
use lilaccrank_http::client::Client;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, Closing};
use lilaccrank_http::store_client::StoreClient;
use monoio::net::TcpListener;
use thiserror::Error;

use crate::in_force::InForce;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::signals::Signals;
use crate::{admin, callers};

/// Result of running the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// How often a shutdown looks whether it is done.
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);
/// Key of the thin form's configuration.
const CONFIGURATION: &str = "configuration/thin";

/// Why the daemon can't run.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The runtime or the signal handlers can't be made.
    #[error("the system refused: {0}")]
    System(#[from] io::Error),
}

/// What the tasks of a daemon share.
pub struct Daemon {
    /// Settings.
    pub cfg: Settings,
    /// Connections to targets.
    pub client: Client,
    in_force: RefCell<Option<Rc<InForce>>>,
    in_progress: Cell<usize>,
    incarnation: Incarnation,
    /// Set at the first signal.
    pub leaving: Cell<bool>,
    /// Counters.
    pub metrics: Metrics,
    /// Targets.
    pub pools: Pools,
    requests: Cell<u64>,
    store: StoreClient,
}

/// Counts one request in progress until it is dropped.
pub struct InProgress(Rc<Daemon>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.metrics.in_progress.dec();
    }
}

impl Daemon {
    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] before the first one.
    pub fn in_force(&self) -> Result<Rc<InForce>, Refusal> {
        let in_force = self.in_force.borrow().clone();
        in_force.ok_or_else(|| Refusal::new(ErrorKind::NotReady, "no configuration yet"))
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }

    /// Counts a request in, within the bound on memory.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] over the bound.
    pub fn begin(self: &Rc<Self>) -> Result<InProgress, Refusal> {
        if self.in_progress.get() >= self.cfg.request_limit {
            let message = "this daemon has as many requests as it can hold";
            return Err(Refusal::new(ErrorKind::Overloaded, message));
        }
        self.in_progress.set(self.in_progress.get() + 1);
        self.metrics.in_progress.inc();
        Ok(InProgress(Rc::clone(self)))
    }

    /// An id that no other request has: the vm, its life, and a count.
    pub fn next_request_id(&self) -> RequestId {
        let n = self.requests.get() + 1;
        self.requests.set(n);
        format!("{}-{:x}-{n}", self.cfg.vm, self.incarnation)
    }

    async fn watch_configuration(self: Rc<Self>) {
        let mut seen = None;
        loop {
            let wait = Duration::from_secs(5);
            match self.store.watch(CONFIGURATION, seen, wait).await {
                Ok(Some(found)) if Some(found.version) != seen => {
                    seen = Some(found.version);
                    self.adopt(found.version, &found.value);
                }
                Ok(_) => {}
                Err(e) => {
                    log::warn!("the store can't be watched: {e}");
                    monoio::time::sleep(Duration::from_millis(500)).await;
                }
            }
        }
    }

    fn adopt(&self, generation: u64, value: &[u8]) {
        let document: Document = match serde_json::from_slice(value) {
            Ok(document) => document,
            Err(e) => {
                log::error!("the configuration can't be read: {e}");
                return;
            }
        };
        match InForce::new(generation, Rc::new(document)) {
            Ok(in_force) => {
                *self.in_force.borrow_mut() = Some(Rc::new(in_force));
                self.metrics.generation.set(generation.cast_signed());
                log::info!("generation {generation} is in force");
            }
            Err(e) => log::error!("the configuration can't be used: {e}"),
        }
    }
}

/// Runs a daemon until it is told to end.
///
/// # Errors
///
/// If it can't start.
pub fn run(cfg: Settings) -> Result<()> {
    let signals = Signals::register()?;
    runtime::block_on(serve(cfg, signals))?
}

async fn serve(cfg: Settings, signals: Signals) -> Result<()> {
    let caller_listener = listen(cfg.callers)?;
    let admin_listener = listen(cfg.admin)?;
    let daemon = Rc::new(Daemon {
        client: Client::default(),
        in_force: RefCell::default(),
        in_progress: Cell::new(0),
        incarnation: incarnation(),
        leaving: Cell::new(false),
        metrics: Metrics::new()?,
        pools: Pools::default(),
        requests: Cell::new(0),
        store: StoreClient::new(cfg.platform.to_string()),
        cfg,
    });
    monoio::spawn(Rc::clone(&daemon).watch_configuration());
    let closing = Closing::default();
    let shared = Rc::clone(&daemon);
    monoio::spawn(server::serve(
        caller_listener,
        closing.clone(),
        move |req| callers::handle(Rc::clone(&shared), req),
    ));
    let shared = Rc::clone(&daemon);
    monoio::spawn(server::serve(
        admin_listener,
        Closing::default(),
        move |req| admin::handle(Rc::clone(&shared), req),
    ));
    log::info!("started in data centre {}", daemon.cfg.data_centre);
    signals.reached(1).await;
    shut_down(&daemon, &closing, &signals).await;
    Ok(())
}

/// Takes nothing new and waits for what is in progress, within the limit.
async fn shut_down(daemon: &Daemon, closing: &Closing, signals: &Signals) {
    daemon.leaving.set(true);
    log::info!("leaving with {} requests in progress", daemon.in_progress());
    let limit = Duration::from_millis(daemon.cfg.shutdown_limit_ms);
    let done = async {
        while daemon.in_progress() > 0 {
            monoio::time::sleep(SHUTDOWN_POLL).await;
        }
        closing.close();
        while closing.connections() > 0 {
            monoio::time::sleep(SHUTDOWN_POLL).await;
        }
    };
    let cut = async {
        let over = monoio::time::sleep(limit);
        let again = signals.reached(2);
        pin_mut!(over, again);
        future::select(over, again).await;
    };
    pin_mut!(done, cut);
    match future::select(done, cut).await {
        Either::Left(_) => log::info!("ended with nothing cut"),
        Either::Right(_) => log::warn!("ended, cutting {} requests", daemon.in_progress()),
    }
}

fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })
}

/// Each life of a vm starts later than the one before.
fn incarnation() -> Incarnation {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| {
            Incarnation::try_from(since.as_millis()).unwrap_or(Incarnation::MAX)
        })
}
