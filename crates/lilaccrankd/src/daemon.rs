//! One daemon: what all its tasks share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use lilaccrank::clock::Clock;
use lilaccrank::configuration::adoption::{Adoption, Configuration};
use lilaccrank::document::{CallerLimits, Target};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::guarded_store::{self, GuardedStore};
use lilaccrank::ids::{Incarnation, RequestId};
use lilaccrank::membership::{Member, Membership, State};
use lilaccrank::request_key::{Budget, Claims, KeyOwner, Limits};
use lilaccrank::rules::condition::Environment;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::{EventKind, Subject, Timeline};
use lilaccrank_http::client::Client;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::server::HeadLimits;
use lilaccrank_http::store_client::StoreClient;

use crate::admin::metrics::Metrics;
use crate::callers::answer_cache::AnswerCache;
use crate::callers::refusal::Refusal;
use crate::configuration::heard::Heard;
use crate::configuration::in_force::InForce;
use crate::orders::manager::{self, OrderManager};
use crate::peers::advisories::SharedAdvisories;
use crate::peers::duties::Duties;
use crate::peers::load_exchange::LoadExchange;
use crate::peers::network::PeerNetwork;
use crate::peers::traffic::Traffic;
use crate::pools::client::{self, PoolClient};
use crate::pools::server::{self, PoolServer};
use crate::ports::Ports;
use crate::request::abort_signal::AbortSignal;
use crate::request::key_state::KeyClaims;
use crate::request::pool_retry_budgets::PoolRetryBudgets;
use crate::request::quotas::Quotas;
use crate::settings::Settings;
use crate::targets::engine_stream::SilenceTimeouts;
use crate::targets::forward::Bounds;
use crate::targets::live_list::LiveList;

/// The platform's store behind a circuit and a budget of retries, so that a data centre that was
/// cut off comes back without a stampede.
pub type PlatformStore = GuardedStore<StoreClient, MonoioClock>;
/// Result of a look at the daemon's state.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Seconds' worth of claims in the store that may be written at once after a quiet time, such as
/// at the hour.
const STORE_CLAIMS_BURST: f64 = 10.0;
/// Part of the lease that is left for the way from the check to the target.
const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Longest time for a keeper to tell about a key.
const KEEPER_WAIT: Duration = Duration::from_secs(2);

/// What the tasks of a daemon share.
pub struct Daemon {
    /// The configuration as it comes from the store or from peers.
    pub adoption: Adoption,
    /// Crashes and rate limits that all daemons observe.
    pub advisories: SharedAdvisories,
    /// Answers of keyed requests.
    pub answers: AnswerCache,
    /// Settings.
    pub cfg: Settings,
    /// Request keys.
    pub claims: KeyClaims,
    /// Connections to targets.
    pub client: Client,
    /// Ends what is in progress when the daemon can't wait for it.
    pub cutting: AbortSignal,
    /// Who dispatches which pool.
    pub duties: Duties,
    in_force: RefCell<Option<Rc<InForce>>>,
    in_progress: Cell<usize>,
    incarnation: Incarnation,
    /// Records of the keys that this daemon keeps.
    pub keeper: KeyOwner<MonoioClock, PeerNetwork, Duties>,
    keys_settled: Cell<bool>,
    /// Set at the first signal: the balancer is to send callers elsewhere.
    pub leaving: Cell<bool>,
    /// Counters.
    pub metrics: Metrics,
    /// What callers may send in a head.
    pub head_limits: Rc<Cell<HeadLimits>>,
    /// When the platform was last heard.
    pub heard: Heard,
    /// What the daemons have on targets.
    pub load_exchange: LoadExchange,
    /// The platform's list of targets.
    pub live_list: LiveList,
    /// Members of this data centre.
    pub membership: Membership,
    /// Orders to targets.
    pub order_keeper: OrderManager,
    /// Other daemons.
    pub peers: PeerNetwork,
    /// The platform beside its store.
    pub platform: StoreClient,
    /// What is spoken with callers, targets and the platform.
    pub ports: Ports,
    /// Requests at the dispatchers.
    pub pool_client: PoolClient,
    /// Dispatchers that run here.
    pub pool_server: PoolServer,
    /// Connections to targets for their reports, which are counted as control.
    pub report_client: Client,
    /// What customers may still spend.
    pub quotas: Quotas,
    /// Set once nothing new is taken.
    pub refusing: Cell<bool>,
    requests: Cell<u64>,
    /// Second sends of requests.
    pub second_sends: PoolRetryBudgets,
    /// The platform's store.
    pub store: PlatformStore,
    /// Events.
    pub timeline: Timeline<MonoioClock>,
    /// What control costs.
    pub traffic: Rc<Traffic>,
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
        ports: Ports,
    ) -> Result<Self, prometheus::Error> {
        let timeline = Timeline::new(MonoioClock, cfg.vm.clone(), cfg.timeline_events);
        let duties = Duties::new(&cfg, membership.clone());
        let peers = PeerNetwork::new(
            membership.clone(),
            cfg.other_peers(),
            timeline.clone(),
            Rc::clone(&traffic),
        );
        let report_client = Client::with_tally(traffic.target_reports.clone());
        let platform = StoreClient::with_tally(cfg.platform.to_string(), traffic.store.clone());
        let guards = guarded_store::Settings::default();
        let store = GuardedStore::new(guards, platform.clone(), MonoioClock);
        let keeper = KeyOwner::new(
            MonoioClock,
            peers.clone(),
            duties.clone(),
            Limits::default(),
        );
        let per_s = f64::from(cfg.store_claims_per_s);
        let budget = Budget::new(MonoioClock, per_s, per_s * STORE_CLAIMS_BURST);
        let claims = Claims::new(keeper.clone(), store.clone(), budget, KEEPER_WAIT);
        let order_keeper = OrderManager::new(&cfg, incarnation, store.clone());
        Ok(Self {
            adoption: Adoption::new(),
            advisories: SharedAdvisories::default(),
            answers: AnswerCache::new(
                Duration::from_millis(cfg.answer_ttl_ms),
                cfg.answer_cache_bytes,
            ),
            claims,
            client: Client::default(),
            cutting: AbortSignal::default(),
            duties,
            in_force: RefCell::default(),
            in_progress: Cell::new(0),
            incarnation,
            keeper,
            keys_settled: Cell::new(false),
            head_limits: Rc::default(),
            heard: Heard::default(),
            leaving: Cell::new(false),
            live_list: LiveList::default(),
            load_exchange: LoadExchange::default(),
            membership,
            metrics: Metrics::new(Rc::clone(&traffic))?,
            order_keeper,
            peers,
            platform,
            ports,
            pool_client: PoolClient::default(),
            pool_server: PoolServer::default(),
            report_client,
            quotas: Quotas::new(cfg.seeds.len(), cfg.quota_reserve),
            refusing: Cell::new(false),
            requests: Cell::new(0),
            second_sends: PoolRetryBudgets::new(&cfg.retries),
            store,
            timeline,
            traffic,
            cfg,
        })
    }

    /// This daemon as a member of its data centre.
    #[must_use]
    pub fn member(cfg: &Settings, incarnation: Incarnation) -> Member {
        Member {
            admin: cfg.admin,
            data_centre: cfg.group().clone(),
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

    /// A target of a pool, by configuration or by the platform's list.
    #[must_use]
    pub fn target(&self, pool: &str, life: &TargetInstance) -> Option<Target> {
        let in_force = self.in_force().ok()?;
        let configured = in_force.target(pool, &life.id).map(|(_, target)| target);
        let configured = configured.filter(|target| TargetInstance::of(target) == *life);
        configured
            .cloned()
            .or_else(|| self.live_list.find(pool, life))
    }

    /// Tokens in one event of a stream of this pool's targets.
    #[must_use]
    pub fn tokens_in_event(&self, pool: &str) -> u32 {
        let in_force = self.in_force().ok();
        let pool = in_force.as_ref().and_then(|f| f.document.pool(pool));
        pool.map_or(1, |pool| pool.tokens_in_event.max(1))
    }

    /// Whether the configuration may still be acted on, see
    /// [`Settings::configuration_lease_ms`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] once the lease has run out.
    pub fn check_lease(&self) -> Result<()> {
        let lease = Duration::from_millis(self.cfg.configuration_lease_ms);
        let age = self.adoption.age(MonoioClock.boot_time());
        if lease.is_zero() || age.is_some_and(|age| age + LEASE_MARGIN < lease) {
            return Ok(());
        }
        let message = "this daemon can't tell whether its configuration is the newest";
        Err(Refusal::new(ErrorKind::NotReady, message))
    }

    /// Whether this daemon has been able to tell about request keys since it started. Later
    /// changes of the members unsettle them for moments, which is no reason to leave the
    /// balancer.
    pub fn keys_settled(&self) -> bool {
        if !self.cfg.request_keys {
            return true;
        }
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
    pub fn patience(&self) -> SilenceTimeouts {
        SilenceTimeouts {
            first: Duration::from_millis(self.cfg.first_token_ms),
            next: Duration::from_millis(self.cfg.between_tokens_ms),
        }
    }

    /// Bounds of answers that are passed on.
    pub fn bounds(&self) -> Bounds {
        let silence = Duration::from_millis(self.cfg.first_token_ms);
        Bounds {
            answer_limit: self.cfg.answer_limit,
            connect: Duration::from_millis(self.cfg.target_connect_ms),
            first: silence,
            next: silence,
        }
    }

    /// What rules match on beside the request.
    pub fn environment(&self) -> Environment {
        Environment {
            draw: rand::random(),
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
        self.head_limits
            .set(head_limits(configuration.document.caller_limits));
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
        client::resync_dispatchers(self);
        manager::reconcile(self);
    }
}

fn head_limits(configured: Option<CallerLimits>) -> HeadLimits {
    configured.map_or_else(HeadLimits::default, |limits| HeadLimits {
        head_bytes: limits.head_bytes,
        head_timeout: Duration::from_millis(limits.head_ms),
        idle_timeout: Duration::from_millis(limits.idle_ms),
    })
}

/// Hour of the day in UTC.
fn hour(now: SystemTime) -> u8 {
    time::OffsetDateTime::from(now).hour()
}
