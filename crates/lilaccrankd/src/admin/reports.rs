//! Collects which configuration each live daemon of the data centre holds.

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

/// Timeout for a member's report. An operator's publication does not wait until an unresponsive
/// member is declared dead.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reports of all live members, including this daemon.
pub struct Reports {
    /// Reports received.
    pub received: Vec<Report>,
    /// Members that failed to report in time.
    pub unresponsive: Vec<VmId>,
}

impl Reports {
    /// Queries all live members concurrently.
    pub async fn gather(daemon: &Daemon) -> Self {
        let live = daemon.membership.live();
        let asked = live.members.iter().map(|member| ask(daemon, &member.vm));
        let mut reports = Self {
            received: Vec::new(),
            unresponsive: Vec::new(),
        };
        for answer in future::join_all(asked).await {
            match answer {
                Ok(report) => reports.received.push(report),
                Err(vm) => reports.unresponsive.push(vm),
            }
        }
        reports
    }

    /// Returns the identities of the configurations held.
    pub fn held(&self) -> Vec<Identity> {
        let held = self
            .received
            .iter()
            .filter_map(|report| report.held.clone());
        held.collect()
    }
}

/// Returns the member's report, or its VM as the error if it fails to report in time.
async fn ask(daemon: &Daemon, vm: &VmId) -> Result<Report, VmId> {
    if *vm == daemon.cfg.vm {
        return Ok(Report {
            held: daemon.adoption.identity(),
            vm: vm.clone(),
        });
    }
    let asking = daemon.peers.call(vm, HeldConfigurationRequest);
    match clock::timeout(&MonoioClock, REPORT_TIMEOUT, asking).await {
        Some(Ok(HeldConfiguration { identity })) => Ok(Report {
            held: identity,
            vm: vm.clone(),
        }),
        Some(Err(_)) | None => Err(vm.clone()),
    }
}
