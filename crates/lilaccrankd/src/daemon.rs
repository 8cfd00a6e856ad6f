//! State that all tasks of one daemon share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use lilaccrank::clock::{self, Clock};
use lilaccrank::configuration::adoption::{Adoption, Configuration};
use lilaccrank::document::{CallerLimits, Target};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::guarded_store::{self, GuardedStore};
use lilaccrank::ids::{Incarnation, RequestId, SoftwareVersion};
use lilaccrank::membership::{Member, Membership, State};
use lilaccrank::request_key::{Budget, Claims, KeyOwner, Limits};
use lilaccrank::rules::condition::Environment;
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::{EventKind, Subject, Timeline};
use lilaccrank_http::client::Client;
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::store_client::StoreClient;

use crate::admin::metrics::Metrics;
use crate::callers::answer_cache::AnswerCache;
use crate::callers::refusal::Refusal;
use crate::configuration::in_force::InForce;
use crate::configuration::platform_contact::PlatformContact;
use crate::configuration::pulls::Pulls;
use crate::configuration::transfers::Transfers;
use crate::orders::manager::{self, OrderManager};
use crate::peers::advisories::SharedAdvisories;
use crate::peers::duties::Duties;
use crate::peers::load_exchange::LoadExchange;
use crate::peers::network::PeerNetwork;
use crate::peers::stream_origins::OriginExchange;
use crate::peers::traffic::Traffic;
use crate::peers::version_record::VersionRecord;
use crate::pools::client::{self, PoolClient};
use crate::pools::server::{self, PoolServer};
use crate::pools::slot_leases::{ArbiterState, SlotLeases};
use crate::ports::Ports;
use crate::request::abort_signal::AbortSignal;
use crate::request::admission::Admission;
use crate::request::answer_memory::AnswerMemory;
use crate::request::key_state::KeyClaims;
use crate::request::pool_retry_budgets::PoolRetryBudgets;
use crate::request::quotas::Quotas;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::startup::Startup;
use crate::targets::engine_stream::SilenceTimeouts;
use crate::targets::forward::Bounds;
use crate::targets::link::Link;
use crate::targets::live_list::LiveList;
use crate::targets::paths::TargetPaths;
use crate::targets::pauses::Pauses;

/// The platform's store behind a circuit breaker and a retry budget, so that a data centre that
/// reconnects does not overload it.
pub type PlatformStore = GuardedStore<StoreClient, MonoioClock>;
/// Result of an operation on the daemon's state.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Burst of claims that may be written to the store after an idle time, in seconds of the
/// sustained rate. Requests cluster, for example at the full hour.
const STORE_CLAIMS_BURST: f64 = 10.0;
/// Part of the lease reserved for the time from the check until the request reaches the target.
const LEASE_MARGIN: Duration = Duration::from_millis(250);
/// Timeout of a query to the owner of a key.
const KEY_OWNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared state of a daemon's tasks.
pub struct Daemon {
    /// Requests in progress and their places.
    pub admission: Admission,
    /// The adopted configuration, from the store or from peers.
    pub adoption: Adoption,
    /// Crash and rate limit advisories shared between daemons.
    pub advisories: SharedAdvisories,
    /// Answers of keyed requests, for callers that repeat a key.
    pub answer_cache: AnswerCache,
    /// Memory of the answers in progress.
    pub answer_memory: Rc<AnswerMemory>,
    /// The daemon's settings.
    pub cfg: Settings,
    /// Claims on request keys.
    pub claims: KeyClaims,
    /// HTTP client for requests to targets.
    pub client: Client,
    /// Aborts requests still in progress at the end of a shutdown.
    pub abort_signal: AbortSignal,
    /// Leases on the slots of the brittle targets that this daemon arbitrates.
    pub arbiter: ArbiterState,
    /// Assigns pools and watches to members.
    pub duties: Duties,
    in_force: RefCell<Option<Rc<InForce>>>,
    incarnation: Incarnation,
    /// Records of the request keys that this daemon owns.
    pub key_owner: KeyOwner<MonoioClock, PeerNetwork, Duties>,
    keys_settled: Cell<bool>,
    /// Set at the start of a shutdown; makes the readiness check fail.
    pub leaving: Cell<bool>,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Limits on request heads of callers.
    pub head_limits: LiveLimits,
    /// Last contact with the platform.
    pub platform_contact: PlatformContact,
    /// Load that the daemons report to each other.
    pub load_exchange: LoadExchange,
    /// The link of this VM.
    pub link: Link,
    /// The platform's list of targets.
    pub live_list: LiveList,
    /// Membership of this data centre.
    pub membership: Membership,
    /// Records of where streams began.
    pub origins: OriginExchange,
    /// Orders to targets and their leases.
    pub order_manager: OrderManager,
    /// Paths to targets.
    pub paths: TargetPaths,
    /// Pauses that targets have asked this daemon for.
    pub pauses: Pauses,
    /// Network to the other daemons.
    pub peers: PeerNetwork,
    /// Unguarded client of the platform.
    pub platform: StoreClient,
    /// Adapters for callers, targets and the platform.
    pub ports: Ports,
    /// Loads of configurations from peers.
    pub pulls: Pulls,
    /// Client of the dispatchers.
    pub pool_client: PoolClient,
    /// Dispatchers that run here.
    pub pool_server: PoolServer,
    /// HTTP client for target reports, whose traffic is counted as control traffic.
    pub report_client: Client,
    /// Remaining quotas of customers.
    pub quotas: Quotas,
    /// Set once new requests are refused.
    pub refusing: Cell<bool>,
    requests: Cell<u64>,
    /// Retry budgets per pool.
    pub retry_budgets: PoolRetryBudgets,
    /// Roll-outs of software versions.
    pub rollouts: Rollouts,
    /// Leases on slots of brittle targets.
    pub slot_leases: SlotLeases,
    /// Steps since the start, for the log.
    pub startup: Startup,
    /// The platform's store.
    pub store: PlatformStore,
    /// Timeline of events.
    pub timeline: Timeline<MonoioClock>,
    /// Counters of control traffic.
    pub traffic: Rc<Traffic>,
    /// Software versions that may have begun streams.
    pub version_record: VersionRecord,
    /// What configurations for other daemons may take of the link.
    pub transfers: Transfers,
}

impl Daemon {
    /// Creates a daemon; no task runs yet.
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
        let key_owner = KeyOwner::new(
            MonoioClock,
            peers.clone(),
            duties.clone(),
            Limits::default(),
        );
        let per_s = f64::from(cfg.store_claims_per_s);
        let budget = Budget::new(MonoioClock, per_s, per_s * STORE_CLAIMS_BURST);
        let claims = Claims::new(key_owner.clone(), store.clone(), budget, KEY_OWNER_TIMEOUT);
        let order_manager = OrderManager::new(&cfg, incarnation, store.clone());
        Ok(Self {
            admission: Admission::default(),
            adoption: Adoption::new(),
            advisories: SharedAdvisories::default(),
            answer_memory: Rc::new(AnswerMemory::new(cfg.answers_total_limit)),
            answer_cache: AnswerCache::new(
                clock::millis(cfg.answer_ttl_ms),
                cfg.answer_cache_bytes,
            ),
            claims,
            client: Client::default(),
            abort_signal: AbortSignal::default(),
            arbiter: ArbiterState::default(),
            duties,
            in_force: RefCell::default(),
            incarnation,
            key_owner,
            keys_settled: Cell::new(false),
            head_limits: LiveLimits::with_read_ahead(cfg.read_ahead_limit)
                .with_connections(cfg.connection_limit),
            platform_contact: PlatformContact::default(),
            leaving: Cell::new(false),
            link: Link::new(cfg.link_bytes_per_s),
            live_list: LiveList::default(),
            load_exchange: LoadExchange::default(),
            membership,
            metrics: Metrics::new(Rc::clone(&traffic))?,
            order_manager,
            origins: OriginExchange::default(),
            paths: TargetPaths::default(),
            pauses: Pauses::default(),
            peers,
            platform,
            ports,
            pulls: Pulls::default(),
            pool_client: PoolClient::default(),
            pool_server: PoolServer::default(),
            report_client,
            quotas: Quotas::new(
                incarnation,
                cfg.seeds.len(),
                cfg.quota_reserve,
                Duration::from_millis(cfg.quota_window_ms),
            ),
            refusing: Cell::new(false),
            requests: Cell::new(0),
            retry_budgets: PoolRetryBudgets::new(&cfg.retries),
            rollouts: Rollouts::new(cfg.rollouts),
            slot_leases: SlotLeases::default(),
            startup: Startup::default(),
            store,
            timeline,
            traffic,
            version_record: VersionRecord::default(),
            transfers: Transfers::new(cfg.link_bytes_per_s),
            cfg,
        })
    }

    /// Returns this daemon's membership record.
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

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] before the first configuration is adopted.
    pub fn in_force(&self) -> Result<Rc<InForce>> {
        let in_force = self.in_force.borrow().clone();
        in_force.ok_or_else(|| Refusal::new(ErrorKind::NotReady, "no configuration yet"))
    }

    /// Returns the configuration that was adopted last. It is put in force at once: the task that does so
    /// may not have run yet. One that is still being built does not count; until then the lease of the one
    /// before is not renewed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] before the first configuration is adopted.
    pub fn newest_in_force(self: &Rc<Self>) -> Result<Rc<InForce>> {
        if let Some(adopted) = self.adoption.current() {
            self.put_in_force(&adopted);
        }
        self.in_force()
    }

    /// Finds a target of a pool in the configuration or the platform's list.
    #[must_use]
    pub fn target(&self, pool: &str, life: &TargetInstance) -> Option<Target> {
        let in_force = self.in_force().ok()?;
        let configured = in_force.target(pool, &life.id).map(|(_, target)| target);
        let configured = configured.filter(|target| TargetInstance::of(target) == *life);
        configured
            .cloned()
            .or_else(|| self.live_list.find(pool, life))
    }

    /// Version of a target's software, in the configuration or the platform's list; `None` if unknown.
    #[must_use]
    pub fn version(&self, pool: &str, instance: &TargetInstance) -> Option<SoftwareVersion> {
        self.target(pool, instance)?.version
    }

    /// Returns the tokens per stream event of this pool's targets, at least 1.
    #[must_use]
    pub fn tokens_in_event(&self, pool: &str) -> u32 {
        let in_force = self.in_force().ok();
        let pool = in_force.as_ref().and_then(|f| f.document.pool(pool));
        pool.map_or(1, |pool| pool.tokens_in_event.max(1))
    }

    /// Checks that the lease of the configuration has not expired, see
    /// [`Settings::configuration_lease_ms`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotReady`] once the lease has expired.
    pub fn check_lease(&self) -> Result<()> {
        let lease = clock::millis(self.cfg.configuration_lease_ms);
        let age = self.adoption.age(MonoioClock.boot_time());
        if lease.is_zero() || age.is_some_and(|age| age + LEASE_MARGIN < lease) {
            return Ok(());
        }
        let message = "this daemon can't tell whether its configuration is the newest";
        Err(Refusal::new(ErrorKind::NotReady, message))
    }

    /// Checks that this daemon takes new requests. A request is new until its body has arrived.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Leaving`] late in a shutdown.
    pub fn check_accepting(&self) -> Result<()> {
        match self.refusing.get() {
            true => Err(Refusal::new(
                ErrorKind::Leaving,
                "this daemon is shutting down",
            )),
            false => Ok(()),
        }
    }

    /// Returns `true` once the records of request keys have been settled since the start. Later
    /// membership changes unsettle them briefly; readiness ignores that.
    pub fn keys_settled(&self) -> bool {
        if !self.cfg.request_keys {
            return true;
        }
        let settled = self.keys_settled.get() || self.key_owner.is_settled();
        self.keys_settled.set(settled);
        settled
    }

    /// Records an event on the timeline.
    pub fn record(&self, kind: EventKind, subject: Subject) {
        self.timeline.record(kind, subject);
    }

    /// Returns the timeouts for the first and the following tokens of a target.
    pub fn silence_timeouts(&self) -> SilenceTimeouts {
        SilenceTimeouts {
            first: clock::millis(self.cfg.first_token_ms),
            next: clock::millis(self.cfg.between_tokens_ms),
        }
    }

    /// Returns the timeouts of forwarded answers.
    pub fn bounds(&self) -> Bounds {
        let silence = clock::millis(self.cfg.first_token_ms);
        Bounds {
            connect: clock::millis(self.cfg.target_connect_ms),
            event: silence,
            first: silence,
            next: silence,
        }
    }

    /// Returns the inputs of rules that don't come from the request.
    pub fn environment(&self) -> Environment {
        Environment {
            draw: rand::random(),
            hour: hour(SystemTime::now()),
            waiting: self.pool_client.waiting(),
        }
    }

    /// Returns a unique request id of VM, incarnation and counter.
    pub fn next_request_id(&self) -> RequestId {
        let n = self.requests.get() + 1;
        self.requests.set(n);
        format!("{}-{:x}-{n}", self.cfg.vm, self.incarnation)
    }

    /// Puts an adopted configuration in force, unless it is already, and notifies the tasks that depend on
    /// it.
    pub fn put_in_force(self: &Rc<Self>, configuration: &Configuration) {
        let identity = &configuration.manifest.identity;
        let known = self.in_force.borrow().clone();
        if known.is_some_and(|known| known.identity == *identity) {
            return;
        }
        let began = Instant::now();
        let in_force = InForce::new(configuration);
        let generation = in_force.identity.generation;
        *self.in_force.borrow_mut() = Some(Rc::new(in_force));
        self.metrics.generation.set(generation.cast_signed());
        let limits = head_limits(configuration.document.caller_limits);
        self.head_limits.set(limits);
        let detail = configuration.manifest.identity.to_string();
        log::info!(
            build_ms = configuration.cost.total.as_millis() as u64,
            head_bytes = limits.head_bytes,
            head_ms = limits.head_timeout.as_millis() as u64,
            idle_ms = limits.idle_timeout.as_millis() as u64,
            index_ms = began.elapsed().as_millis() as u64,
            longest_step_ms = configuration.cost.longest_step.as_millis() as u64,
            rules = configuration.document.rules.len();
            "{detail} is in force"
        );
        self.record(
            EventKind::Adopted,
            Subject {
                detail,
                ..Subject::default()
            },
        );
        self.quotas.adopt(&configuration.document.customers);
        server::configuration_changed(self);
        client::resync_dispatchers(self);
        manager::reconcile(self);
        self.version_record.notify();
    }
}

fn head_limits(configured: Option<CallerLimits>) -> HeadLimits {
    configured.map_or_else(HeadLimits::default, |limits| HeadLimits {
        head_bytes: limits.head_bytes,
        head_timeout: clock::millis(limits.head_ms),
        idle_timeout: clock::millis(limits.idle_ms),
        // A whole next request.
        read_ahead_bytes: limits.head_bytes.saturating_add(limits.body_bytes),
    })
}

/// Returns the hour of the day in UTC.
fn hour(now: SystemTime) -> u8 {
    time::OffsetDateTime::from(now).hour()
}
