//! `timeline`: the events of all daemons in causal order.

use lilaccrank::ids::{RequestId, TargetId, VmId};
use lilaccrank::operators::{TimelineReply, path};
use lilaccrank::timeline::{self, Event, Query};
use serde::Serialize;

use crate::address::Address;
use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::{self, Fleet};
use crate::instant::{self, Instant};
use crate::survey::Unreachable;

/// Merges the events of all daemons in causal order.
#[derive(clap::Args)]
pub struct Args {
    /// Only about this request.
    #[arg(long)]
    request: Option<RequestId>,
    /// Only since then: 90s, 5m, 2h, 1d ago, or a time such as 2026-03-01T12:00:00Z.
    #[arg(long, value_name = "TIME")]
    since: Option<Instant>,
    /// Only about this target.
    #[arg(long)]
    target: Option<TargetId>,
    /// Only before then.
    #[arg(long, value_name = "TIME")]
    until: Option<Instant>,
}

/// The merged time line.
#[derive(Serialize)]
struct Merged {
    /// Daemons that have lost old events to newer ones.
    dropped: Vec<Dropped>,
    /// In causal order.
    events: Vec<Event>,
    /// Daemons whose events are missing.
    unreachable: Vec<Unreachable>,
}

#[derive(Serialize)]
struct Dropped {
    events: u64,
    vm: VmId,
}

impl Args {
    /// Prints the merged time line.
    ///
    /// # Errors
    ///
    /// If a daemon can't be reached; the events of the others are printed.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let merged = gather(&Fleet::new(cx)?, &self.query()).await?;
        for Dropped { events, vm } in &merged.dropped {
            cx.output.remark(&format!(
                "{vm} has lost {events} older events to newer ones"
            ));
        }
        cx.output
            .print(&merged, |merged| merged.events.iter().map(line).collect())?;
        if merged.unreachable.is_empty() {
            return Ok(());
        }
        Err(Error::Partial(merged.unreachable))
    }

    fn query(&self) -> Query {
        Query {
            from_ms: self.since.map(|Instant(ms)| ms),
            request: self.request.clone(),
            target: self.target.clone(),
            until_ms: self.until.map(|Instant(ms)| ms),
        }
    }
}

async fn gather(fleet: &Fleet<'_>, query: &Query) -> Result<Merged> {
    let survey = fleet.survey().await?;
    let asked = survey.daemons.iter().map(async |(vm, daemon)| {
        let told = ask(fleet, &daemon.admin, query).await;
        told.map_err(|e| Unreachable {
            admin: daemon.admin.clone(),
            vm: Some(vm.clone()),
            why: e.to_string(),
        })
    });
    let mut unreachable = Vec::new();
    let mut told = Vec::new();
    for answer in fleet::together(asked).await {
        match answer {
            Ok(reply) => told.push(reply),
            Err(e) => unreachable.push(e),
        }
    }
    unreachable.extend(survey.unreachable);
    let dropped = told.iter().filter(|reply| reply.dropped > 0);
    let dropped = dropped.map(|reply| Dropped {
        events: reply.dropped,
        vm: reply.vm.clone(),
    });
    Ok(Merged {
        dropped: dropped.collect(),
        events: timeline::merge(told.into_iter().map(|reply| reply.events)),
        unreachable,
    })
}

async fn ask(fleet: &Fleet<'_>, admin: &str, query: &Query) -> Result<TimelineReply> {
    let admin: Address = admin
        .parse()
        .map_err(|e| Error::Usage(format!("{admin}: {e}")))?;
    fleet.api.ask(&admin, path::TIMELINE, query).await
}

fn line(event: &Event) -> String {
    let Event {
        kind,
        stamp,
        subject,
    } = event;
    let mut line = format!("{} {} {kind}", instant::show(stamp.wall_ms), stamp.vm);
    if let Some(request) = &subject.request {
        line += &format!(" request {request}");
    }
    if let Some(target) = &subject.target {
        line += &format!(" target {target}");
    }
    if !subject.detail.is_empty() {
        line += &format!(" ({})", subject.detail);
    }
    line
}
