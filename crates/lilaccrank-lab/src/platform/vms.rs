//! The platform's list of live and leaving vms, which callers see with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::ids::{DataCentre, VmId};
use serde::{Deserialize, Serialize};

/// One entry vm and the addresses of its daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Address for operators.
    pub admin: String,
    /// Address for callers.
    pub callers: String,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// UDP address for heartbeats.
    pub gossip: String,
    /// Address for calls of other daemons.
    pub peer: String,
    /// Whether it is to stay.
    pub state: VmState,
    /// Its name.
    pub vm: VmId,
}

/// Whether a vm is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// About to be taken away.
    Leaving,
    /// In service.
    Live,
}

struct Past {
    since: Instant,
    vms: Vec<Vm>,
}

/// The list as it is and as it was.
pub(super) struct Vms {
    lag: Duration,
    now: IndexMap<VmId, Vm>,
    past: VecDeque<Past>,
}

impl Vms {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            now: IndexMap::new(),
            past: VecDeque::new(),
        }
    }

    pub(super) fn put(&mut self, vm: Vm) {
        self.now.insert(vm.vm.clone(), vm);
        self.record();
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.now.shift_remove(name);
        self.record();
    }

    /// The list as callers see it now.
    pub(super) fn seen(&self) -> Vec<Vm> {
        let mut past = self.past.iter().rev();
        let seen = past.find(|past| past.since.elapsed() >= self.lag);
        seen.map(|past| past.vms.clone()).unwrap_or_default()
    }

    fn record(&mut self) {
        while self
            .past
            .get(1)
            .is_some_and(|p| p.since.elapsed() >= self.lag)
        {
            self.past.pop_front();
        }
        self.past.push_back(Past {
            since: Instant::now(),
            vms: self.now.values().cloned().collect(),
        });
    }
}
