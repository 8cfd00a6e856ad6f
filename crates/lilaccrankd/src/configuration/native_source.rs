//! Native source: publications in the platform's store, and the platform's list of VMs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{self, LocalBoxFuture};
use indexmap::IndexSet;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::watcher::{self, Timing};
use lilaccrank::ids::{DataCentre, VmId};
use lilaccrank_http::monoio_clock::MonoioClock;
use serde::Deserialize;

use crate::configuration::source::{Source, UpdateHandler};
use crate::daemon::Daemon;
use crate::targets::live_list::Listing;

/// Interval between two reads of the list. A target that the list shows as leaving gets no new
/// requests after this interval plus the interval at which watchers are polled.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Path of the platform's list of VMs.
const PATH: &str = "/v1/vms";

/// Follows the publications in the store and the platform's list of VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeSource;

#[derive(Deserialize)]
struct VmEntry {
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

impl Source for NativeSource {
    fn follow(&self, handler: UpdateHandler) -> LocalBoxFuture<'static, ()> {
        async move {
            let daemon = Rc::clone(handler.daemon());
            let store = daemon.store.clone();
            let adoption = daemon.adoption.clone();
            let publications =
                watcher::run_watcher(store, MonoioClock, adoption, Timing::default());
            future::join(publications, follow_list(&daemon, &handler)).await;
        }
        .boxed_local()
    }
}

async fn follow_list(daemon: &Daemon, handler: &UpdateHandler) {
    loop {
        // If the list can't be read, the previous one stays: a leaving target remains leaving.
        let asked = MonoioClock.boot_time();
        if let Some(leaving) = read(daemon).await {
            let listing = Listing {
                leaving,
                ..Listing::default()
            };
            handler.update_listing(listing, asked);
        } else {
            handler.listing_failed();
        }
        monoio::time::sleep(LIST_EVERY).await;
    }
}

async fn read(daemon: &Daemon) -> Option<IndexSet<VmId>> {
    let bytes = daemon.platform.read(PATH).await.ok()?;
    let listed: Vec<VmEntry> = match serde_json::from_slice(&bytes) {
        Ok(listed) => listed,
        Err(e) => {
            log::warn!("failed to parse the platform's list of VMs: {e}");
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
