//! A cluster of membership daemons on an in-memory network and a paused clock.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use lilaccrank::membership::{self, Member, Membership, Settings, State};
use lilaccrank::paused_clock::PausedClock;

use crate::fake_network::FakeNetwork;
use crate::process::{FakeProcess, ProcessState};

/// Step by which the clock is advanced.
const STEP: Duration = Duration::from_millis(10);

pub struct Cluster {
    clock: PausedClock,
    pub daemons: Vec<Daemon>,
    pool: LocalPool,
    pub network: FakeNetwork,
}

pub struct Daemon {
    pub membership: Membership,
    process: FakeProcess,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [10, 0, 0, 1],
        7_000 + u16::try_from(index).expect("few daemons"),
    ))
}

pub fn vm(index: usize) -> String {
    format!("vm-{index}")
}

impl Cluster {
    /// Starts `count` daemons with the first as seed and waits until all know each other.
    pub fn new(count: usize) -> Self {
        let mut cluster = Self {
            clock: PausedClock::new(),
            daemons: Vec::new(),
            pool: LocalPool::new(),
            network: FakeNetwork::new(7),
        };
        for index in 0..count {
            let daemon = cluster.start(vm(index), index, 1_000);
            cluster.daemons.push(daemon);
        }
        let joined =
            cluster.advance_until(20_000, |c| (0..count).all(|i| c.live(i).len() == count));
        assert!(joined.is_some(), "not all of {count} joined");
        cluster.advance(2_000);
        cluster
    }

    pub fn start(&mut self, vm: String, index: usize, incarnation: u64) -> Daemon {
        let me = Member {
            admin: SocketAddr::from(([10, 0, 0, 1], 9_000)),
            data_centre: "spanish-town".to_owned(),
            gossip: address(index),
            incarnation,
            peers: SocketAddr::from(([10, 0, 0, 1], 8_000)),
            state: State::Live,
            vm,
        };
        let socket = self.network.socket(address(index));
        let (membership, gossip) =
            membership::new(Settings::default(), me, self.clock.clone(), socket);
        membership.set_seeds(vec![address(0)]);
        let process = FakeProcess::new();
        let spawner = self.pool.spawner();
        spawner
            .spawn_local(process.clone().run(gossip.run()))
            .expect("the pool runs");
        Daemon {
            membership,
            process,
        }
    }

    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.pool
            .spawner()
            .spawn_local(work)
            .expect("the pool runs");
    }

    pub fn advance(&mut self, ms: u64) {
        self.advance_until(ms, |_| false);
    }

    /// Advances the clock until `done` holds and returns the elapsed milliseconds, or `None` after
    /// `limit_ms`.
    pub fn advance_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let begun = self.clock.elapsed();
        loop {
            self.pool.run_until_stalled();
            let passed = (self.clock.elapsed() - begun).as_millis() as u64;
            if done(self) {
                return Some(passed);
            }
            if passed >= limit_ms {
                return None;
            }
            self.clock.advance(STEP);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].process.set_state(ProcessState::Killed);
        self.network.close(address(index));
    }

    pub fn freeze(&self, index: usize) {
        self.daemons[index].process.set_state(ProcessState::Frozen);
    }

    pub fn thaw(&self, index: usize) {
        self.daemons[index].process.set_state(ProcessState::Running);
    }

    /// VMs of the members that may own duties, as daemon `index` sees them.
    pub fn live(&self, index: usize) -> Vec<String> {
        let snapshot = self.daemons[index].membership.live();
        snapshot.members.iter().map(|m| m.vm.clone()).collect()
    }

    pub fn record(&self, index: usize, vm: &str) -> Option<Member> {
        let all = self.daemons[index].membership.all();
        all.into_iter().find(|member| member.vm == vm)
    }

    /// Returns `true` if all daemons except `except` see this number of live members.
    pub fn all_see(&self, live: usize, except: Option<usize>) -> bool {
        (0..self.daemons.len())
            .filter(|index| Some(*index) != except)
            .all(|index| self.live(index).len() == live)
    }

    pub fn declared_dead(&self) -> u64 {
        let counts = self.daemons.iter();
        counts.map(|d| d.membership.declared_dead_count()).sum()
    }
}
