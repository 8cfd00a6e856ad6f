//! One daemon: what all its tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use lilaccrank::configuration::adoption::{Adoption, Configuration};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::guarded_store::{self, GuardedStore};
use lilaccrank::ids::{Incarnation, RequestId};
use lilaccrank::membership::{Member, Membership, State};
use lilaccrank::request_key::{Budget, Claims, Keeper, Limits};
use lilaccrank::rules::condition::Environment;
use lilaccrank::timeline::{EventKind, Subject, Timeline};
use lilaccrank_http::client::Client;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::store_client::StoreClient;

use crate::admin::metrics::Metrics;
use crate::callers::answers::Answers;
use crate::callers::refusal::Refusal;
use crate::configuration::in_force::InForce;
use crate::orders::keeper::{self, OrderKeeper};
use crate::peers::duties::Duties;
use crate::peers::network::PeerNetwork;
use crate::peers::traffic::Traffic;
use crate::pools::client::{self, PoolClient};
use crate::pools::server::{self, PoolServer};
use crate::request::cutting::Cutting;
use crate::request::key_state::KeyClaims;
use crate::settings::Settings;
use crate::targets::engine_stream::Patience;
use crate::targets::proxy_run::Bounds;
use crate::targets::vm_list::VmList;

/// The platform's store behind a circuit and a budget of retries, so that a data centre that was
/// cut off comes back without a stampede.
pub type PlatformStore = GuardedStore<StoreClient, MonoioClock>;
/// Result of a look at the daemon's state.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Seconds' worth of claims in the store that may be written at once after a quiet time, such as
/// at the hour.
const STORE_CLAIMS_BURST: f64 = 10.0;
/// Longest time for a keeper to tell about a key.
const KEEPER_WAIT: Duration = Duration::from_secs(2);

/// What the tasks of a daemon share.
pub struct Daemon {
    /// The configuration as it comes from the store or from peers.
    pub adoption: Adoption,
    /// Answers of keyed requests.
    pub answers: Answers,
    /// Settings.
    pub cfg: Settings,
    /// Request keys.
    pub claims: KeyClaims,
    /// Connections to targets.
    pub client: Client,
    /// Ends what is in progress when the daemon can't wait for it.
    pub cutting: Cutting,
    /// Who dispatches which pool.
    pub duties: Duties,
    in_force: RefCell<Option<Rc<InForce>>>,
    in_progress: Cell<usize>,
    incarnation: Incarnation,
    /// Records of the keys that this daemon keeps.
    pub keeper: Keeper<MonoioClock, PeerNetwork, Duties>,
    keys_settled: Cell<bool>,
    /// Set at the first signal.
    pub leaving: Cell<bool>,
    /// Counters.
    pub metrics: Metrics,
    /// Members of this data centre.
    pub membership: Membership,
    /// Orders to targets.
    pub order_keeper: OrderKeeper,
    /// Other daemons.
    pub peers: PeerNetwork,
    /// The platform beside its store.
    pub platform: StoreClient,
    /// Requests at the dispatchers.
    pub pool_client: PoolClient,
    /// Dispatchers that run here.
    pub pool_server: PoolServer,
    /// Connections to targets for their reports, which are counted as control.
    pub report_client: Client,
    requests: Cell<u64>,
    /// The platform's store.
    pub store: PlatformStore,
    /// Events.
    pub timeline: Timeline<MonoioClock>,
    /// The platform's list of vms.
    pub vm_list: VmList,
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
    /// A daemon that runs nothing yet.
    ///
    /// # Errors
    ///
    /// If the metrics can't be registered.
    pub fn new(
        cfg: Settings,
        incarnation: Incarnation,
        membership: Membership,
        traffic: Rc<Traffic>,
    ) -> Result<Self, prometheus::Error> {
        let timeline = Timeline::new(MonoioClock, cfg.vm.clone(), cfg.timeline_events);
        let duties = Duties::new(membership.clone());
        let peers = PeerNetwork::new(
            membership.clone(),
            cfg.other_peers(),
            timeline.clone(),
            Rc::clone(&traffic),
        );
        let report_client = Client::counted(traffic.target_reports.clone());
        let platform = StoreClient::counted(cfg.platform.to_string(), traffic.store.clone());
        let guards = guarded_store::Settings::default();
        let store = GuardedStore::new(guards, platform.clone(), MonoioClock);
        let keeper = Keeper::new(
            MonoioClock,
            peers.clone(),
            duties.clone(),
            Limits::default(),
        );
        let per_s = f64::from(cfg.store_claims_per_s);
        let budget = Budget::new(MonoioClock, per_s, per_s * STORE_CLAIMS_BURST);
        let claims = Claims::new(keeper.clone(), store.clone(), budget, KEEPER_WAIT);
        let order_keeper = OrderKeeper::new(&cfg, incarnation, store.clone());
        Ok(Self {
            adoption: Adoption::new(),
            answers: Answers::new(
                Duration::from_millis(cfg.answer_ttl_ms),
                cfg.answer_cache_bytes,
            ),
            claims,
            client: Client::default(),
            cutting: Cutting::default(),
            duties,
            in_force: RefCell::default(),
            in_progress: Cell::new(0),
            incarnation,
            keeper,
            keys_settled: Cell::new(false),
            leaving: Cell::new(false),
            membership,
            metrics: Metrics::new(traffic)?,
            order_keeper,
            peers,
            platform,
            pool_client: PoolClient::default(),
            pool_server: PoolServer::default(),
            report_client,
            requests: Cell::new(0),
            store,
            timeline,
            vm_list: VmList::default(),
            cfg,
        })
    }

    /// This daemon as a member of its data centre.
    #[must_use]
    pub fn member(cfg: &Settings, incarnation: Incarnation) -> Member {
        Member {
            admin: cfg.admin,
            data_centre: cfg.data_centre.clone(),
            gossip: cfg.gossip,
            incarnation,
            peers: cfg.peer,
            state: State::Live,
            vm: cfg.vm.clone(),
        }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] before the first one.
    pub fn in_force(&self) -> Result<Rc<InForce>> {
        let in_force = self.in_force.borrow().clone();
        in_force.ok_or_else(|| Refusal::new(ErrorKind::NotReady, "no configuration yet"))
    }

    /// Whether this daemon has been able to tell about request keys since it started. Later
    /// changes of the members unsettle them for moments, which is no reason to leave the
    /// balancer.
    pub fn keys_settled(&self) -> bool {
        let settled = self.keys_settled.get() || self.keeper.is_settled();
        self.keys_settled.set(settled);
        settled
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
    pub fn begin(self: &Rc<Self>) -> Result<InProgress> {
        if self.in_progress.get() >= self.cfg.request_limit {
            let message = "this daemon has as many requests as it can hold";
            return Err(Refusal::new(ErrorKind::Overloaded, message));
        }
        self.in_progress.set(self.in_progress.get() + 1);
        self.metrics.in_progress.inc();
        Ok(InProgress(Rc::clone(self)))
    }

    /// Notes an event on the time line.
    pub fn record(&self, kind: EventKind, subject: Subject) {
        self.timeline.record(kind, subject);
    }

    /// How long targets may be silent.
    pub fn patience(&self) -> Patience {
        Patience {
            first: Duration::from_millis(self.cfg.first_token_ms),
            next: Duration::from_millis(self.cfg.between_tokens_ms),
        }
    }

    /// Bounds of answers that are passed on.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            answer_limit: self.cfg.answer_limit,
            head: Duration::from_millis(self.cfg.first_token_ms),
            next: Duration::from_millis(self.cfg.first_token_ms),
        }
    }

    /// What rules match on beside the request.
    pub fn environment(&self) -> Environment {
        Environment {
            hour: hour(SystemTime::now()),
            waiting: self.pool_client.waiting(),
        }
    }

    /// An id that no other request has: the vm, its life, and a count.
    pub fn next_request_id(&self) -> RequestId {
        let n = self.requests.get() + 1;
        self.requests.set(n);
        format!("{}-{:x}-{n}", self.cfg.vm, self.incarnation)
    }

    /// Puts an adopted configuration in force.
    pub fn put_in_force(self: &Rc<Self>, configuration: &Configuration) {
        let in_force = InForce::new(configuration);
        let generation = in_force.identity.generation;
        *self.in_force.borrow_mut() = Some(Rc::new(in_force));
        self.metrics.generation.set(generation.cast_signed());
        let detail = configuration.manifest.identity.to_string();
        log::info!("{detail} is in force");
        self.record(
            EventKind::Adopted,
            Subject {
                detail,
                ..Subject::default()
            },
        );
        server::configuration_changed(self);
        client::rebalance(self);
        keeper::reconcile(self);
    }
}

/// Hour of the day in UTC.
fn hour(now: SystemTime) -> u8 {
    time::OffsetDateTime::from(now).hour()
}
