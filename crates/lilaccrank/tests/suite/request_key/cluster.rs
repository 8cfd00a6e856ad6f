//! Simulated daemons of one data centre, with fault injection for their network and store.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::executor::LocalPool;
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use lilaccrank::clock::Clock;
use lilaccrank::ids::VmId;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::peers::{self, Peers};
use lilaccrank::request_key::{
    Access, BodyDigest, Budget, Claim, ClaimRequest, Claimed, Claims, KeyOwner, KeyReply,
    KeyRequest, Limits, Marked, MemberRef, Ranking, Result,
};
use lilaccrank::store::{self, Expect, Store, Version, Versioned};

pub type TestAccess = Access<PausedClock, FakePeers, View, FakeStore>;
pub type TestClaim = Claim<Claimed, PausedClock, FakePeers, View, FakeStore>;
pub type TestMarked = Claim<Marked, PausedClock, FakePeers, View, FakeStore>;
pub type TestOwner = KeyOwner<PausedClock, FakePeers, View>;

const CALL_LIMIT: Duration = Duration::from_millis(500);
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Membership as one daemon sees it. Members rank for every key in the order of `live`.
#[derive(Clone)]
pub struct View {
    pub live: Rc<RefCell<Vec<MemberRef>>>,
    me: MemberRef,
}

impl Ranking for View {
    fn is_live(&self, member: &MemberRef) -> bool {
        self.live.borrow().contains(member)
    }

    fn me(&self) -> MemberRef {
        self.me.clone()
    }

    fn ranked(&self, _key_hash: u64) -> Vec<MemberRef> {
        self.live.borrow().clone()
    }
}

/// Messages that the network loses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Loss {
    /// Calls from owner to backup.
    Copies,
    /// None.
    #[default]
    Nothing,
    /// Replies to claims, marks, ends and releases.
    Replies,
}

#[derive(Clone)]
pub struct FakePeers {
    clock: PausedClock,
    down: Rc<RefCell<Vec<VmId>>>,
    owners: Rc<RefCell<IndexMap<VmId, TestOwner>>>,
    loss: Rc<Cell<Loss>>,
}

impl Peers<KeyRequest, KeyReply> for FakePeers {
    async fn call(&self, vm: &VmId, req: KeyRequest) -> peers::Result<KeyReply> {
        let copy = matches!(req, KeyRequest::Copy { .. });
        let internal = copy || matches!(req, KeyRequest::Handover { .. } | KeyRequest::Push { .. });
        let lost = copy && self.loss.get() == Loss::Copies;
        if lost || self.down.borrow().contains(vm) {
            self.clock.sleep(CALL_LIMIT).await;
            return Err(peers::Error::NoAnswer(vm.clone()));
        }
        let owner = self.owners.borrow()[vm].clone();
        let handled: LocalBoxFuture<KeyReply> =
            async move { owner.handle(req).await }.boxed_local();
        let reply = handled.await;
        if !internal && self.loss.get() == Loss::Replies {
            self.clock.sleep(CALL_LIMIT).await;
            return Err(peers::Error::NoAnswer(vm.clone()));
        }
        Ok(reply)
    }
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Every call fails.
    Away,
    /// The next write takes effect and its reply is lost; then every call fails.
    EffectThenAway,
    /// The next write takes effect and its reply is lost.
    LostAnswer,
    /// The next write has no effect and no definite result.
    LostWrite,
}

#[derive(Clone, Default)]
pub struct FakeStore {
    pub calls: Rc<Cell<u32>>,
    pub fault: Rc<Cell<Option<Fault>>>,
    pub objects: Rc<RefCell<IndexMap<String, Versioned>>>,
}

impl FakeStore {
    fn count_call(&self) -> store::Result<()> {
        self.calls.set(self.calls.get() + 1);
        match self.fault.get() {
            Some(Fault::Away) => Err(store::Error::Unavailable),
            _ => Ok(()),
        }
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &str) -> store::Result<Option<Versioned>> {
        self.count_call()?;
        Ok(self.objects.borrow().get(key).cloned())
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> store::Result<Version> {
        self.count_call()?;
        let fault = self.fault.take();
        if fault == Some(Fault::LostWrite) {
            return Err(store::Error::Unknown);
        }
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(key).map(|object| object.version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Any => true,
            Expect::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(store::Error::Conflict { current });
        }
        let mut version = current.unwrap_or_default();
        version.number += 1;
        objects.insert(key.to_owned(), Versioned { value, version });
        match fault {
            Some(Fault::EffectThenAway) => {
                self.fault.set(Some(Fault::Away));
                Err(store::Error::Unknown)
            }
            Some(Fault::LostAnswer) => Err(store::Error::Unknown),
            _ => Ok(version),
        }
    }

    async fn delete(&self, key: &str, _expect: Expect) -> store::Result<()> {
        self.count_call()?;
        self.objects.borrow_mut().shift_remove(key);
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        _seen: Option<Version>,
        _wait: Duration,
    ) -> store::Result<Option<Versioned>> {
        self.get(key).await
    }
}

pub struct Daemon {
    pub claims: Claims<PausedClock, FakePeers, View, FakeStore>,
    pub owner: TestOwner,
    pub view: View,
}

pub struct Cluster {
    pub clock: PausedClock,
    pub daemons: Vec<Daemon>,
    peers: FakePeers,
    pool: RefCell<LocalPool>,
    pub store: FakeStore,
}

impl Cluster {
    pub fn new(size: usize) -> Self {
        Self::with_limits(size, Limits::default())
    }

    pub fn with_limits(size: usize, limits: Limits) -> Self {
        Self::with(size, limits, RETRY_TIMEOUT)
    }

    /// Creates a cluster whose entries retry calls to the owner for at most `wait`.
    pub fn with(size: usize, limits: Limits, wait: Duration) -> Self {
        let clock = PausedClock::new();
        let peers = FakePeers {
            clock: clock.clone(),
            down: Rc::default(),
            owners: Rc::default(),
            loss: Rc::default(),
        };
        let mut cluster = Self {
            clock,
            daemons: Vec::new(),
            peers,
            pool: RefCell::default(),
            store: FakeStore::default(),
        };
        let live: Vec<MemberRef> = (0..size).map(member).collect();
        for me in &live {
            let daemon = cluster.daemon(me.clone(), live.clone(), limits.clone(), wait);
            cluster.daemons.push(daemon);
        }
        cluster.settle();
        cluster
    }

    fn daemon(
        &self,
        me: MemberRef,
        live: Vec<MemberRef>,
        limits: Limits,
        wait: Duration,
    ) -> Daemon {
        let live = Rc::new(RefCell::new(live));
        let view = View { live, me };
        let (clock, peers) = (self.clock.clone(), self.peers.clone());
        let owner = KeyOwner::new(clock.clone(), peers, view.clone(), limits);
        let mut owners = self.peers.owners.borrow_mut();
        owners.insert(view.me.vm.clone(), owner.clone());
        let budget = Budget::new(clock, 10.0, 20.0);
        let claims = Claims::new(owner.clone(), self.store.clone(), budget, wait);
        Daemon {
            claims,
            owner,
            view,
        }
    }

    /// Runs `fut` to completion, and advances the clock whenever no task can proceed.
    pub fn run<T>(&self, fut: impl Future<Output = T>) -> T {
        let mut fut = std::pin::pin!(fut.fuse());
        let mut pool = self.pool.borrow_mut();
        for _ in 0..10_000 {
            let waker = futures::task::noop_waker();
            let mut cx = std::task::Context::from_waker(&waker);
            if let std::task::Poll::Ready(output) = fut.as_mut().poll(&mut cx) {
                return output;
            }
            pool.run_until_stalled();
            self.running().for_each(|daemon| daemon.owner.tick());
            self.clock.advance(Duration::from_millis(10));
        }
        panic!("no end after 100 s");
    }

    /// Stops daemon `index`, and removes it from the views of the running daemons.
    pub fn stop(&self, index: usize) {
        self.peers.down.borrow_mut().push(member(index).vm);
        self.set_live(|live| live.retain(|other| *other != member(index)));
    }

    /// Thaws the stopped daemon `index`. The views of the others don't change.
    pub fn thaw(&self, index: usize) {
        let mut down = self.peers.down.borrow_mut();
        down.retain(|vm| *vm != member(index).vm);
    }

    /// Sets the view of daemon `index` to the members `live`, ranked in this order.
    pub fn set_view(&self, index: usize, live: impl Iterator<Item = usize>) {
        *self.daemons[index].view.live.borrow_mut() = live.map(member).collect();
    }

    /// Sets the view of all daemons to the members `live`, ranked in this order.
    pub fn rejoin(&self, live: &[usize]) {
        for index in 0..self.daemons.len() {
            self.set_view(index, live.iter().copied());
        }
    }

    fn set_live(&self, change: impl Fn(&mut Vec<MemberRef>)) {
        for daemon in self.running() {
            change(&mut daemon.view.live.borrow_mut());
        }
    }

    fn running(&self) -> impl Iterator<Item = &Daemon> {
        let down = self.peers.down.borrow().clone();
        let daemons = self.daemons.iter();
        daemons.filter(move |daemon| !down.contains(&daemon.view.me.vm))
    }

    /// Transfers records between all running daemons.
    pub fn settle(&self) {
        for daemon in self.running() {
            self.run(daemon.owner.handle_membership_change());
        }
    }

    /// Stops daemon `index` and lets the others take over its keys.
    pub fn kill(&self, index: usize) {
        self.stop(index);
        self.settle();
    }

    pub fn lose(&self, loss: Loss) {
        self.peers.loss.set(loss);
    }

    pub fn call_owner(&self, index: usize, req: KeyRequest) -> KeyReply {
        self.run(self.daemons[index].owner.handle(req))
    }

    pub fn claim(&self, index: usize, request: &ClaimRequest) -> Result<TestAccess> {
        self.run(self.daemons[index].claims.claim(request))
    }

    /// Claims a key at daemon `index`. Panics unless the claim is granted.
    pub fn granted(&self, index: usize, request: &ClaimRequest) -> TestClaim {
        match self.claim(index, request) {
            Ok(Access::Granted(claim)) => claim,
            Ok(_) => panic!("in progress elsewhere"),
            Err(e) => panic!("refused: {e}"),
        }
    }

    pub fn marked(&self, index: usize, request: &ClaimRequest) -> TestMarked {
        let claim = self.granted(index, request);
        self.run(claim.mark_dispatching()).unwrap()
    }
}

pub fn member(index: usize) -> MemberRef {
    MemberRef {
        incarnation: 1,
        vm: format!("d{index}"),
    }
}

pub fn request(idempotent: bool) -> ClaimRequest {
    ClaimRequest {
        body: BodyDigest::new(b"body"),
        customer: "acme".to_owned(),
        idempotent,
        key: "k".to_owned(),
    }
}
