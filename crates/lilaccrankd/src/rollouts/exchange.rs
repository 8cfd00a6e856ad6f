//! Reports to the judges of roll-outs, and what they reply.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::ids::VmId;
use lilaccrank::peers::Peers;
use lilaccrank::request_key::Ranking;
use lilaccrank::rollout::message::{Directives, Report, Reports};
use lilaccrank_http::runtime;

use super::{apply, judge};
use crate::daemon::Daemon;

/// Interval at which a judge reviews its roll-outs.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between two reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reports per member, since all of them report to the same judges.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(4);
/// Time between two reports if answers of the new version fail.
const URGENT_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time for which the reply of a judge allows requests to the new version.
const MIN_LEASE: Duration = Duration::from_secs(1);
/// Report intervals for which it does.
const LEASE_INTERVALS: u32 = 3;

/// Runs until the daemon ends.
pub async fn run(daemon: Rc<Daemon>) {
    let mut reported_at: Option<Instant> = None;
    loop {
        let rollouts = &daemon.rollouts;
        if rollouts.is_idle() {
            rollouts.wake.changed().await;
            reported_at = None;
        }
        apply(&daemon);
        judge::review_all(&daemon);
        let interval = report_interval(&daemon);
        if reported_at.is_none_or(|at| at.elapsed() >= interval) {
            reported_at = Some(Instant::now());
            runtime::spawn(report(Rc::clone(&daemon), interval));
        }
        let next = monoio::time::sleep(REVIEW_INTERVAL);
        let urgent = rollouts.wake.changed();
        futures::pin_mut!(next, urgent);
        if let future::Either::Right(_) = future::select(next, urgent).await {
            reported_at = reported_at.filter(|at| at.elapsed() < URGENT_INTERVAL);
        }
    }
}

fn report_interval(daemon: &Daemon) -> Duration {
    let members = daemon.membership.live().members.len();
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let interval = REPORT_INTERVAL_PER_MEMBER.saturating_mul(members);
    interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
}

async fn report(daemon: Rc<Daemon>, interval: Duration) {
    let judges = daemon.duties.judges();
    let calls = judges
        .iter()
        .map(|judge| report_to(&daemon, judge, interval));
    future::join_all(calls).await;
}

async fn report_to(daemon: &Rc<Daemon>, vm: &VmId, interval: Duration) {
    let reports = daemon.rollouts.reports(daemon);
    if reports.reports.is_empty() {
        return;
    }
    let asked_at = Instant::now();
    let directives = match *vm == daemon.cfg.vm {
        true => judge::answer(daemon, reports),
        false => match daemon.peers.call(vm, reports).await {
            Ok(directives) => directives,
            Err(e) => return log::debug!("failed to report to a judge of roll-outs: {e}"),
        },
    };
    follow(daemon, &directives, asked_at, interval);
}

fn follow(daemon: &Rc<Daemon>, directives: &Directives, asked_at: Instant, interval: Duration) {
    let lease = MIN_LEASE.max(interval * LEASE_INTERVALS);
    {
        let mut participants = daemon.rollouts.participants.borrow_mut();
        for directive in &directives.directives {
            let participant = participants.get_mut(&directive.order.pool);
            if let Some(participant) = participant.filter(|p| p.order().id == directive.order) {
                participant.follow(directive, asked_at, lease);
            }
        }
    }
    apply(daemon);
}

impl super::Rollouts {
    /// Returns `true` if there is nothing to report, to review or to wait for.
    fn is_idle(&self) -> bool {
        let participants = self.participants.borrow();
        let controllers = self.controllers.borrow();
        !self.has_withheld.get()
            && participants.values().all(|p| !p.is_unsettled())
            && controllers.values().all(|c| c.unrecorded().is_none())
    }

    /// What this daemon has seen of the roll-outs that have not ended for the store.
    fn reports(&self, daemon: &Daemon) -> Reports {
        let now = Instant::now();
        let participants = self.participants.borrow();
        let unsettled = participants.values().filter(|p| p.is_unsettled());
        let reports = unsettled.map(|participant| Report {
            age: now.saturating_duration_since(participant.started_at()),
            evidence: participant.evidence.clone(),
            incarnation: daemon.duties.me().incarnation,
            open_old: participant.open_old,
            order: participant.order().id.clone(),
            pending: self.pending(&participant.order().id, now),
            reason: participant.reason().cloned(),
            stage: participant.stage(),
            vm: daemon.cfg.vm.clone(),
        });
        Reports {
            reports: reports.collect(),
        }
    }
}
