//! The platform's list of live and leaving vms. It lags: for daemons it only says where to look
//! for members; for targets it says which ones get nothing new.
//!
//! The watchers of a data centre read it, the dispatchers ask a watcher, so that the calls at
//! the platform grow with the data centres and not with the daemons.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use lilaccrank::document::{Pool, TargetState};
use lilaccrank::ids::{DataCentre, VmId};
use lilaccrank::peers::Peers;
use serde::Deserialize;

use crate::daemon::Daemon;
use crate::orders::keeper;
use crate::peers::message::{Leaving, LeavingAsk};
use crate::pools::server;

/// Time between two readings. A leaving target gets nothing new within this twice, a watcher's
/// reading and a dispatcher's, after the list shows it.
const EVERY: Duration = Duration::from_secs(1);
/// Path of the list at the platform.
const PATH: &str = "/v1/vms";

/// What this daemon knows of the list.
#[derive(Default)]
pub struct VmList {
    leaving: RefCell<IndexSet<VmId>>,
}

#[derive(Deserialize)]
struct Listed {
    data_centre: DataCentre,
    #[serde(default)]
    gossip: String,
    state: State,
    vm: VmId,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Leaving,
    Live,
}

impl VmList {
    /// The leaving vms of this data centre.
    #[must_use]
    pub fn leaving(&self) -> IndexSet<VmId> {
        self.leaving.borrow().clone()
    }

    /// The pool, with targets on leaving vms draining.
    #[must_use]
    pub fn apply(&self, pool: &Pool) -> Pool {
        let leaving = self.leaving.borrow();
        let mut pool = pool.clone();
        for target in &mut pool.targets {
            let vm = target.vm.as_ref().unwrap_or(&target.id);
            if leaving.contains(vm) {
                target.state = TargetState::Draining;
            }
        }
        pool
    }
}

/// Follows the list for as long as the daemon runs.
pub async fn run(daemon: Rc<Daemon>) {
    loop {
        let leaving = if daemon.duties.is_watcher() {
            read(&daemon).await
        } else if server::is_serving(&daemon) || daemon.order_keeper.is_on_duty() {
            ask(&daemon).await
        } else {
            None
        };
        // A list that can't be had leaves what is known in place: a leaving target stays so.
        if let Some(leaving) = leaving {
            let before = daemon.vm_list.leaving.replace(leaving.clone());
            if before != leaving {
                server::configuration_changed(&daemon);
                keeper::reconcile(&daemon);
            }
        }
        monoio::time::sleep(EVERY).await;
    }
}

async fn read(daemon: &Daemon) -> Option<IndexSet<VmId>> {
    let bytes = daemon.platform.read(PATH).await.ok()?;
    let listed: Vec<Listed> = match serde_json::from_slice(&bytes) {
        Ok(listed) => listed,
        Err(e) => {
            log::warn!("the platform's list of vms can't be read: {e}");
            return None;
        }
    };
    let here = listed
        .iter()
        .filter(|vm| vm.data_centre == daemon.cfg.data_centre);
    let live = here.clone().filter(|vm| vm.state == State::Live);
    let gossip = live.filter_map(|vm| vm.gossip.parse::<SocketAddr>().ok());
    let seeds = daemon.cfg.seeds.iter().copied().chain(gossip);
    let seeds: IndexSet<SocketAddr> = seeds.collect();
    daemon.membership.set_seeds(seeds.into_iter().collect());
    let leaving = here.filter(|vm| vm.state == State::Leaving);
    Some(leaving.map(|vm| vm.vm.clone()).collect())
}

async fn ask(daemon: &Daemon) -> Option<IndexSet<VmId>> {
    let watcher = daemon.duties.watcher()?;
    let told: Leaving = daemon.peers.call(&watcher, LeavingAsk).await.ok()?;
    Some(told.vms.into_iter().collect())
}
