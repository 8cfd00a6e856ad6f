//! `drain`: a target or a daemon gets no new work and finishes what it has.

use std::time::{Duration, Instant};

use clap::Subcommand;
use lilaccrank::document::{Document, TargetState};
use lilaccrank::ids::{TargetId, VmId};
use lilaccrank::operators::{Failure, LeaveReply, path};

use crate::address::Address;
use crate::context::Context;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::publication;
use crate::waiting::Waiting;

/// Other operators may publish in between. To drain is right on top of any configuration, so
/// it is tried again on what they published.
const TRIES: usize = 5;
/// Time between two looks at a daemon that leaves.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

/// Lets a target or a daemon finish what it has and get nothing new.
#[derive(clap::Args)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// A daemon leaves gracefully, as by SIGTERM.
    Daemon(Daemon),
    /// A target gets the state `draining` in a new generation.
    Target(Target),
}

#[derive(clap::Args)]
struct Daemon {
    /// Its vm.
    name: VmId,
    /// Wait until it has ended.
    #[arg(long)]
    wait: bool,
    /// Longest wait in seconds.
    #[arg(default_value_t = 90, long, value_name = "SECONDS")]
    wait_limit: u64,
}

#[derive(clap::Args)]
struct Target {
    /// The target.
    name: TargetId,
    #[command(flatten)]
    options: publication::Options,
}

impl Args {
    /// Drains.
    ///
    /// # Errors
    ///
    /// If there is no such thing, or it can't be told.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let fleet = Fleet::new(cx)?;
        match self.what {
            What::Daemon(daemon) => daemon.run(cx, &fleet).await,
            What::Target(target) => target.run(cx, &fleet).await,
        }
    }
}

impl Target {
    async fn run(self, cx: &Context, fleet: &Fleet<'_>) -> Result<()> {
        let mut tries = 1;
        loop {
            let base = publication::in_force(fleet).await?;
            let mut document = base.document;
            if !drain(&mut document, &self.name)? {
                cx.output.remark("it is draining already");
                return Ok(());
            }
            let sent = self.options.send(cx, fleet, base.identity, &document).await;
            match sent {
                Ok(published) => return self.options.tell(cx, fleet, published).await,
                Err(Error::Failure(e))
                    if tries < TRIES && matches!(*e, Failure::Conflict { .. }) =>
                {
                    tries += 1;
                }
                Err(e) => return Err(e),
            }
        }
    }
}

/// Sets the target's state; false if it was draining already.
fn drain(document: &mut Document, name: &str) -> Result<bool> {
    let targets = document.pools.iter_mut().flat_map(|pool| &mut pool.targets);
    let mut found = false;
    let mut changed = false;
    for target in targets.filter(|target| target.id == name) {
        found = true;
        changed |= std::mem::replace(&mut target.state, TargetState::Draining) == TargetState::Live;
    }
    if found {
        return Ok(changed);
    }
    Err(Error::NoSuch {
        hint: "see `lilaccrank status`",
        name: name.to_owned(),
        what: "target",
    })
}

impl Daemon {
    async fn run(self, cx: &Context, fleet: &Fleet<'_>) -> Result<()> {
        let survey = fleet.survey().await?;
        let Some(daemon) = survey.daemons.get(&self.name) else {
            survey.complete()?;
            return Err(Error::NoSuch {
                hint: "see `lilaccrank status`",
                name: self.name,
                what: "daemon",
            });
        };
        let admin: Address = daemon
            .admin
            .parse()
            .map_err(|e| Error::Usage(format!("{}: {e}", daemon.admin)))?;
        let left: LeaveReply = fleet.api.post(&admin, path::LEAVE, &()).await?;
        if self.wait {
            self.ended(fleet, &admin).await?;
        }
        cx.output.print(&left, |left| {
            let (vm, n) = (&left.vm, left.in_progress);
            vec![format!("{vm} leaves; it had {n} requests in progress")]
        })
    }

    async fn ended(&self, fleet: &Fleet<'_>, admin: &Address) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(self.wait_limit);
        let _waiting = Waiting::show(format!("{} finishes its requests", self.name));
        loop {
            if let Err(Error::Unreachable { .. }) = fleet.status(admin).await {
                return Ok(());
            }
            if Instant::now() >= until {
                let vm = self.name.clone();
                return Err(Error::NotEnded { vm });
            }
            monoio::time::sleep(LOOK_AGAIN).await;
        }
    }
}
