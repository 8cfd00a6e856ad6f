//! Stand-in for the platform: an object store with versions, conditional updates, watches and
//! faults, and a lagging list of vms.

mod counters;
mod objects;
mod rate;
mod vms;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lilaccrank::store::{VALUE_LIMIT, Version};
use lilaccrank_http::body::Body;
use lilaccrank_http::{runtime, store_client};
use serde::Deserialize;

use crate::notify::Notify;
use crate::reply;
use crate::stand_in::{self, Listen};

use counters::{Call, Counters};
use objects::{Condition, Objects};
use rate::Bucket;
use vms::Vms;
pub use vms::{Vm, VmState};

/// Longest time that a watch may wait.
const WATCH_LIMIT: Duration = Duration::from_secs(60);
/// What a throttled caller is told to wait.
const RETRY_AFTER_S: u64 = 1;

/// Settings of the platform stand-in.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    #[command(flatten)]
    listen: Listen,
    /// Reads taken each second; a watch counts as one.
    #[arg(long, default_value_t = 2000)]
    reads_per_s: u32,
    /// Age of the list of vms that callers get.
    #[arg(long, default_value_t = 1000)]
    vm_lag_ms: u64,
    /// Writes taken each second.
    #[arg(long, default_value_t = 300)]
    writes_per_s: u32,
}

/// Body of `POST /control`.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    lose_answers: Option<u32>,
    /// Only answers to writes of keys that begin with this are lost.
    lose_answers_of: String,
    outage_ms: Option<u64>,
    restore: bool,
    slow_ms: Option<u64>,
    snapshot: bool,
}

struct Platform {
    changed: Notify,
    counters: RefCell<Counters>,
    lose_answers: Cell<u32>,
    lose_answers_of: RefCell<String>,
    objects: RefCell<Objects>,
    outage_until: Cell<Option<Instant>>,
    reads: RefCell<Bucket>,
    slow: Cell<Duration>,
    snapshot: RefCell<Objects>,
    vms: RefCell<Vms>,
    writes: RefCell<Bucket>,
}

/// Runs the platform stand-in.
///
/// # Errors
///
/// If its address can't be bound.
pub fn run(args: Args) -> stand_in::Result<()> {
    let platform = Rc::new(Platform::new(&args));
    runtime::block_on(args.listen.serve(move |req| {
        let platform = Rc::clone(&platform);
        async move { platform.handle(req).await }
    }))?
}

impl Platform {
    fn new(args: &Args) -> Self {
        Self {
            changed: Notify::default(),
            counters: RefCell::default(),
            lose_answers: Cell::default(),
            lose_answers_of: RefCell::default(),
            objects: RefCell::default(),
            outage_until: Cell::default(),
            reads: RefCell::new(Bucket::new(args.reads_per_s)),
            slow: Cell::default(),
            snapshot: RefCell::default(),
            vms: RefCell::new(Vms::new(Duration::from_millis(args.vm_lag_ms))),
            writes: RefCell::new(Bucket::new(args.writes_per_s)),
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/counters") => return reply::ok(&*self.counters.borrow()),
            (&Method::POST, "/control") => return self.control(req).await,
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/v1/vms/") {
            return self.register(name, req).await;
        }
        let res = self.call(&path, req).await;
        let res = self.in_era(res);
        // Read at the end, so that a call in progress is slowed too.
        let slow = self.slow.get();
        if !slow.is_zero() {
            monoio::time::sleep(slow).await;
        }
        res
    }

    fn in_era(&self, mut res: Response<Body>) -> Response<Body> {
        let era = self.objects.borrow().era();
        res.headers_mut()
            .insert(store_client::ERA_HEADER, era.into());
        res
    }

    /// A call that the platform counts, limits and may refuse.
    async fn call(&self, path: &str, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = Call::of(req.method(), path) else {
            return reply::error(StatusCode::NOT_FOUND, "no such resource");
        };
        self.counters.borrow_mut().count(call);
        if let Some(refusal) = self.refuse(call) {
            return refusal;
        }
        let rest = call.rest(path);
        match call {
            Call::Delete | Call::Put => self.write(call, rest, req).await,
            Call::Get => self.objects.borrow().read(rest),
            Call::List => reply::ok(&self.objects.borrow().list(rest)),
            Call::Vms => reply::ok(&self.vms.borrow().seen()),
            Call::Watch => self.watch(rest, &req).await,
        }
    }

    fn refuse(&self, call: Call) -> Option<Response<Body>> {
        if self.in_outage() {
            self.counters.borrow_mut().refused_in_outage += 1;
            return Some(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let bucket = if call.writes() {
            &self.writes
        } else {
            &self.reads
        };
        if bucket.borrow_mut().take() {
            return None;
        }
        self.counters.borrow_mut().throttled += 1;
        let mut res = reply::empty(StatusCode::TOO_MANY_REQUESTS);
        res.headers_mut()
            .insert(hyper::header::RETRY_AFTER, RETRY_AFTER_S.into());
        Some(res)
    }

    fn in_outage(&self) -> bool {
        let until = self.outage_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    async fn write(&self, call: Call, key: &str, req: Request<Incoming>) -> Response<Body> {
        let condition = match Condition::of(req.headers()) {
            Ok(condition) => condition,
            Err(refusal) => return *refusal,
        };
        let value = match reply::read(req, VALUE_LIMIT).await {
            Ok(value) => value,
            Err(refusal) => return *refusal,
        };
        // The outage may have begun while the body came in.
        if self.in_outage() {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let value = (call == Call::Put).then_some(value);
        let res = self.objects.borrow_mut().write(key, value, condition);
        if !res.status().is_success() {
            self.counters.borrow_mut().conflicts += 1;
            return res;
        }
        self.changed.notify();
        let lose = self.lose_answers.get();
        if lose > 0 && key.starts_with(self.lose_answers_of.borrow().as_str()) {
            self.lose_answers.set(lose - 1);
            self.counters.borrow_mut().answers_lost += 1;
            return reply::hang_up();
        }
        res
    }

    async fn watch(&self, key: &str, req: &Request<Incoming>) -> Response<Body> {
        let number = |name| reply::query_number(req.uri(), name).unwrap_or(0);
        let seen = Version {
            era: number("era"),
            number: number("seen"),
        };
        let wait = reply::query_number(req.uri(), "wait_ms").unwrap_or(0);
        let wait = Duration::from_millis(wait).min(WATCH_LIMIT);
        let _open = counters::OpenWatch::new(&self.counters);
        let change = monoio::time::timeout(wait, self.changed_from(key, seen)).await;
        change.unwrap_or_else(|_| {
            let mut res = reply::empty(StatusCode::NOT_MODIFIED);
            res.headers_mut()
                .insert(store_client::VERSION_HEADER, seen.number.into());
            res
        })
    }

    async fn changed_from(&self, key: &str, seen: Version) -> Response<Body> {
        loop {
            if self.in_outage() {
                return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            if self.objects.borrow().version(key).unwrap_or_default() != seen {
                return self.objects.borrow().read(key);
            }
            self.changed.changed().await;
        }
    }

    async fn register(&self, name: &str, req: Request<Incoming>) -> Response<Body> {
        if req.method() == Method::DELETE {
            self.vms.borrow_mut().remove(name);
            return reply::empty(StatusCode::OK);
        }
        match reply::read_json::<Vm>(req, VALUE_LIMIT).await {
            Ok(vm) if vm.vm == name => {
                self.vms.borrow_mut().put(vm);
                reply::empty(StatusCode::OK)
            }
            Ok(_) => reply::error(StatusCode::BAD_REQUEST, "the path names another vm"),
            Err(refusal) => *refusal,
        }
    }

    async fn control(&self, req: Request<Incoming>) -> Response<Body> {
        let control = match reply::read_json::<Control>(req, VALUE_LIMIT).await {
            Ok(control) => control,
            Err(refusal) => return *refusal,
        };
        if let Some(n) = control.lose_answers {
            self.lose_answers.set(n);
            self.lose_answers_of.replace(control.lose_answers_of);
        }
        if let Some(ms) = control.outage_ms {
            let until = Instant::now() + Duration::from_millis(ms);
            self.outage_until.set(Some(until));
        }
        if let Some(ms) = control.slow_ms {
            self.slow.set(Duration::from_millis(ms));
        }
        if control.snapshot {
            self.snapshot.replace(self.objects.borrow().clone());
        }
        if control.restore {
            let copy = self.snapshot.borrow().clone();
            self.objects.borrow_mut().restore(copy);
        }
        self.changed.notify();
        reply::empty(StatusCode::OK)
    }
}
