//! What the live daemons of the data centre hold.

use std::time::Duration;

use futures::future;
use lilaccrank::clock;
use lilaccrank::configuration::exchange::Report;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank_http::monoio_clock::MonoioClock;

use crate::daemon::Daemon;
use crate::peers::message::{HeldConfiguration, HeldConfigurationRequest};

/// Time for one member to tell. A silent one is on its way to be declared dead, and an
/// operator's publication does not wait for that.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// The reports of all live members, this daemon's own among them.
pub struct Reports {
    /// Who told.
    pub heard: Vec<Report>,
    /// Who did not.
    pub unheard: Vec<VmId>,
}

impl Reports {
    /// Asks all live members at once.
    pub async fn gather(daemon: &Daemon) -> Self {
        let live = daemon.membership.live();
        let asked = live.members.iter().map(|member| ask(daemon, &member.vm));
        let mut reports = Self {
            heard: Vec::new(),
            unheard: Vec::new(),
        };
        for answer in future::join_all(asked).await {
            match answer {
                Ok(report) => reports.heard.push(report),
                Err(vm) => reports.unheard.push(vm),
            }
        }
        reports
    }

    /// The configurations held.
    pub fn held(&self) -> Vec<Identity> {
        let held = self.heard.iter().filter_map(|report| report.held.clone());
        held.collect()
    }
}

/// The member's report, or its name if it does not tell in time.
async fn ask(daemon: &Daemon, vm: &VmId) -> Result<Report, VmId> {
    if *vm == daemon.cfg.vm {
        return Ok(Report {
            held: daemon.adoption.identity(),
            vm: vm.clone(),
        });
    }
    let asking = daemon.peers.call(vm, HeldConfigurationRequest);
    match clock::timeout(&MonoioClock, ASK_LIMIT, asking).await {
        Some(Ok(HeldConfiguration { identity })) => Ok(Report {
            held: identity,
            vm: vm.clone(),
        }),
        Some(Err(_)) | None => Err(vm.clone()),
    }
}
