//! The product's own source: publications in the store, and the platform's list of vms.

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

use crate::configuration::source::{Intake, Source};
use crate::daemon::Daemon;
use crate::targets::live_list::Listing;

/// Time between two readings of the list. A leaving target gets nothing new within this and the
/// time between two questions to a watcher, after the list shows it.
const LIST_EVERY: Duration = Duration::from_secs(1);
/// Path of the list at the platform.
const PATH: &str = "/v1/vms";

/// The product's own source.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSource;

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

impl Source for OwnSource {
    fn follow(&self, intake: Intake) -> LocalBoxFuture<'static, ()> {
        async move {
            let daemon = Rc::clone(intake.daemon());
            let store = daemon.store.clone();
            let adoption = daemon.adoption.clone();
            let publications =
                watcher::run_watcher(store, MonoioClock, adoption, Timing::default());
            future::join(publications, follow_list(&daemon, &intake)).await;
        }
        .boxed_local()
    }
}

async fn follow_list(daemon: &Daemon, intake: &Intake) {
    loop {
        // A list that can't be had leaves what is known in place: a leaving target stays so.
        let asked = MonoioClock.boot_time();
        if let Some(leaving) = read(daemon).await {
            intake.listing(Listing {
                leaving,
                ..Listing::default()
            });
            intake.listing_confirmed(asked);
        }
        monoio::time::sleep(LIST_EVERY).await;
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
