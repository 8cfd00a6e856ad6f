//! Starts the daemon's listeners and tasks, and runs them until shutdown.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use lilaccrank::ids::Incarnation;
use lilaccrank::membership;
use lilaccrank::request_key::Ranking;
use lilaccrank::rollout::message::ViewsRequest;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::server::ShutdownHandle;
use lilaccrank_http::{peer_server, runtime, server};
use monoio::net::TcpListener;
use thiserror::Error;

use crate::admin;
use crate::callers;
use crate::configuration::{self, feed, transfers};
use crate::daemon::Daemon;
use crate::orders::jobs;
use crate::orders::manager;
use crate::peers::load_exchange;
use crate::peers::message::{
    HeldConfiguration, HeldConfigurationRequest, PeerReply, PeerRequest, Stamped,
};
use crate::peers::path_relay;
use crate::peers::quarantine_record;
use crate::peers::stored_origins;
use crate::peers::traffic::Traffic;
use crate::peers::udp_gossip::UdpGossip;
use crate::peers::version_record;
use crate::pools;
use crate::ports::Ports;
use crate::reload;
use crate::rollouts;
use crate::settings::Settings;
use crate::shutdown;
use crate::signals::Signals;
use crate::targets::freshness;
use crate::targets::paths;

/// Result of running the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Interval at which expired answers and claims are removed.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Interval at which the key owner checks for pauses of the process and for expired keys.
const KEY_OWNER_TICK: Duration = Duration::from_millis(100);

/// Why the daemon can't run.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The runtime or the signal handlers can't be created.
    #[error("the system refused: {0}")]
    System(#[from] io::Error),
}

/// Runs a daemon until it shuts down.
///
/// # Errors
///
/// If the daemon can't start.
pub fn run(cfg: Settings, ports: Ports) -> Result<()> {
    let signals = Signals::register()?;
    runtime::block_on(serve(cfg, ports, signals))?
}

async fn serve(cfg: Settings, ports: Ports, signals: Signals) -> Result<()> {
    let caller_listener = listen(cfg.callers)?;
    let admin_listener = listen(cfg.admin)?;
    let peer_listener = listen(cfg.peer)?;
    let address = cfg.peer;
    let load_socket =
        load_exchange::bind(address).map_err(|source| Error::Listen { address, source })?;
    let relay_listener = cfg.relay.map(listen).transpose()?;
    let readiness_listener = cfg.readiness.map(listen).transpose()?;
    let address = cfg.gossip;
    let traffic = Rc::new(Traffic::default());
    let datagrams = UdpGossip::bind(address, traffic.gossip.clone())
        .map_err(|source| Error::Listen { address, source })?;
    let incarnation = incarnation();
    let (membership, gossip) = membership::new(
        membership::Settings::default(),
        Daemon::member(&cfg, incarnation),
        MonoioClock,
        datagrams,
    );
    membership.set_seeds(cfg.seeds.clone());
    let daemon = Rc::new(Daemon::new(
        cfg,
        incarnation,
        membership,
        Rc::clone(&traffic),
        ports,
    )?);
    runtime::spawn(gossip.run());
    runtime::spawn(configuration::run(Rc::clone(&daemon)));
    runtime::spawn(follow_members(Rc::clone(&daemon)));
    runtime::spawn(expire(Rc::clone(&daemon)));
    if daemon.cfg.request_keys {
        start_key_owner(&daemon);
    }
    let shared = Rc::clone(&daemon);
    let tally = traffic.peer_served.clone();
    runtime::spawn(peer_server::serve(peer_listener, tally, move |req| {
        answer_peer(Rc::clone(&shared), req)
    }));
    let admin_closing = ShutdownHandle::default();
    let (shared, admin_signals) = (Rc::clone(&daemon), signals.clone());
    runtime::spawn(server::serve(
        admin_listener,
        admin_closing.clone(),
        move |req, client| admin::handle(Rc::clone(&shared), admin_signals.clone(), req, client),
    ));
    if let Some(listener) = readiness_listener {
        let shared = Rc::clone(&daemon);
        runtime::spawn(server::serve(
            listener,
            ShutdownHandle::default(),
            move |_, _| future::ready(admin::readiness(&shared)),
        ));
    }
    let closing = ShutdownHandle::default();
    let shared = Rc::clone(&daemon);
    let limits = daemon.head_limits.clone();
    runtime::spawn(server::serve_with_limits(
        caller_listener,
        closing.clone(),
        limits,
        move |req, client| callers::handle(Rc::clone(&shared), req, client),
    ));
    if let Some(listener) = relay_listener {
        let daemon = Rc::clone(&daemon);
        let handler = move |req, client| path_relay::handle(Rc::clone(&daemon), req, client);
        runtime::spawn(server::serve(listener, ShutdownHandle::default(), handler));
    }
    runtime::spawn(paths::run(Rc::clone(&daemon)));
    runtime::spawn(freshness::run(Rc::clone(&daemon)));
    runtime::spawn(load_exchange::run(Rc::clone(&daemon), load_socket));
    runtime::spawn(pools::slot_leases::run(Rc::clone(&daemon)));
    runtime::spawn(quarantine_record::run(Rc::clone(&daemon)));
    runtime::spawn(stored_origins::run(Rc::clone(&daemon)));
    runtime::spawn(version_record::run(Rc::clone(&daemon)));
    runtime::spawn(rollouts::run(Rc::clone(&daemon)));
    runtime::spawn(reload::run(Rc::clone(&daemon), signals.clone()));
    log::info!(
        data_centre = daemon.cfg.data_centre,
        incarnation = incarnation,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let requested_at = signals.wait_for_shutdown().await;
    let servers = [&closing, &admin_closing];
    shutdown::run(&daemon, servers, &signals, requested_at).await;
    Ok(())
}

fn start_key_owner(daemon: &Rc<Daemon>) {
    let key_owner = daemon.key_owner.clone();
    runtime::spawn(async move { key_owner.run(KEY_OWNER_TICK).await });
    let claims = daemon.claims.clone();
    runtime::spawn(async move { claims.sweep_every(EXPIRE_EVERY).await });
}

/// Updates pools, retry budgets and orders on each membership change.
async fn follow_members(daemon: Rc<Daemon>) {
    let mut seen = 0;
    loop {
        seen = daemon.membership.changed(seen).await;
        log::info!(
            "membership changed: {} members, this daemon is {}",
            daemon.membership.live().members.len(),
            daemon.duties.me(),
        );
        daemon
            .retry_budgets
            .set_member_count(daemon.membership.live().members.len());
        pools::server::members_changed(&daemon);
        pools::slot_leases::members_changed(&daemon);
        pools::client::resync_dispatchers(&daemon);
        paths::members_changed(&daemon);
        daemon.origins.members_changed();
        manager::reconcile(&daemon);
        daemon.peers.prune();
    }
}

async fn expire(daemon: Rc<Daemon>) {
    loop {
        monoio::time::sleep(EXPIRE_EVERY).await;
        daemon.answer_cache.expire();
    }
}

async fn answer_peer(daemon: Rc<Daemon>, req: Stamped<PeerRequest>) -> Stamped<PeerReply> {
    daemon.timeline.observe(&req.stamp);
    let message = match req.message {
        PeerRequest::Announcement(announcement) => {
            configuration::handle_announcement(&daemon, announcement).into()
        }
        PeerRequest::Configuration(ask) => transfers::answer(&daemon, &ask).await.into(),
        PeerRequest::Held(HeldConfigurationRequest) => HeldConfiguration {
            identity: daemon.adoption.identity(),
        }
        .into(),
        PeerRequest::Key(req) => daemon.key_owner.handle(req).await.into(),
        PeerRequest::Feed(asked) => feed::answer(&daemon, &asked).into(),
        PeerRequest::Origin(req) => daemon.origins.answer(req).into(),
        PeerRequest::Order(req) => jobs::handle(&daemon, req).into(),
        PeerRequest::Path(req) => paths::answer(&daemon, &req).await.into(),
        PeerRequest::Pool(req) => pools::server::handle(&daemon, req).into(),
        PeerRequest::RolloutViews(ViewsRequest) => daemon.rollouts.views().into(),
        PeerRequest::Rollout(reports) => rollouts::judge::answer(&daemon, reports).into(),
        PeerRequest::Slot(req) => pools::slot_leases::handle(&daemon, req).into(),
    };
    Stamped {
        message,
        stamp: daemon.timeline.stamp(),
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    server::bind(address).map_err(|source| Error::Listen { address, source })
}

/// Returns the start time in milliseconds since the Unix epoch, so that a restarted VM has a higher
/// incarnation.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        Incarnation::try_from(since.as_millis()).unwrap_or(Incarnation::MAX)
    })
}
