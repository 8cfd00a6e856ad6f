//! `soak`: random faults on a cluster of processes under load, with all promises checked.
//!
//! Everything is drawn from a seed: what goes wrong and when, and what callers send. Processes
//! and their timing are real, so that a seed shows a fault again mostly, not always.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::caller::Outcome;
use crate::stand_in::Result;

mod checks;
mod leavers;
mod load;
mod plan;
mod world;

use checks::{Broken, Findings};
use leavers::Leavers;
use lilaccrank_http::runtime;
use load::Load;
use plan::Planned;
use world::{DAEMONS, ENGINES, World};

/// Time in which a cluster has to be whole again once all harm has ended.
const RECOVERY: Duration = Duration::from_secs(10);
/// Requests at once that must all be answered then.
const LAST_CALLS: usize = 20;
/// Faults around a broken promise that are printed.
const AROUND: Duration = Duration::from_secs(6);
/// Log lines of each daemon that are printed about a request.
const LOG_LINES: usize = 12;

/// Settings of a soak.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Length of each seed's faults in minutes.
    #[arg(long, default_value_t = 0.5)]
    pub minutes: f64,
    /// Restore the store from older copies as well.
    #[arg(long)]
    pub restores: bool,
    /// The first seed; drawn if it is left out.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
}

/// Runs the seeds, and prints the first broken promise of each with the time line around it.
///
/// # Errors
///
/// If a promise was broken, or the cluster can't be started.
pub async fn run(args: Args) -> Result<()> {
    let first = args.seed.unwrap_or_else(|| rand::random::<u32>().into());
    let mut failed = Vec::new();
    for seed in first..first + args.seeds {
        let length = Duration::from_secs_f64(args.minutes * 60.0);
        let mut plan = plan::draw(seed, length, DAEMONS, ENGINES);
        if args.restores {
            plan.extend(plan::draw_restores(seed, length));
        }
        let whole = play(seed, plan).await?;
        if !whole {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    let minutes = args.minutes;
    let restores = if args.restores { " --restores" } else { "" };
    let again = format!(
        "again: lilaccrank-lab soak --minutes {minutes}{restores} --seed N, N of {failed:?}"
    );
    Err(std::io::Error::other(again))
}

/// Plays one seed; whether all promises were kept.
async fn play(seed: u64, plan: Vec<Planned>) -> Result<bool> {
    let world = Rc::new(World::start().await?);
    let load = Load::new();
    let leavers = Rc::new(Leavers::default());
    let findings = Findings::default();
    let begun = Instant::now();
    {
        let watching = findings.watch(&world).fuse();
        let faults = async {
            let played = faults(&world, &load, plan).await;
            leavers.stop();
            played
        };
        let faults = faults.fuse();
        let loading = future::join(load.run(&world, seed), leavers.run(&world, seed)).map(drop);
        futures::pin_mut!(watching, faults, loading);
        let both = future::try_join(faults, loading.map(Ok));
        futures::pin_mut!(both);
        match future::select(both, watching).await {
            future::Either::Left((done, _)) => {
                if let Err(e) = done {
                    println!("seed {seed}, faults so far:");
                    print_past(&world, begun, |_| true);
                    // Tasks that still run hold the world beyond this call; daemons would outlive
                    // the soak.
                    world.daemons.borrow_mut().clear();
                    return Err(e);
                }
            }
            future::Either::Right(((), _)) => {}
        }
    }
    findings.settled(&world, RECOVERY).await;
    let unanswered = last_calls(&world, seed).await;
    findings.judge(&world, &load).await?;
    let departures = findings.judge_departures(&world, &leavers).await?;
    let mut broken = findings.broken.take();
    broken.extend(unanswered);
    broken.sort_by_key(|broken| broken.at);
    summarize(seed, &load, departures, broken.len());
    if let Some(first) = broken.first() {
        explain(&world, begun, first);
    }
    Ok(broken.is_empty())
}

/// Brings the planned faults about, each in a task of its own, then ends all harm and the load.
async fn faults(world: &Rc<World>, load: &Load, plan: Vec<Planned>) -> Result<()> {
    let begun = Instant::now();
    let playing = plan.into_iter().map(|planned| {
        let world = Rc::clone(world);
        runtime::spawn(async move {
            let at = begun + planned.at;
            monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
            world.bring_about(planned).await
        })
    });
    for played in future::join_all(playing).await {
        played?;
    }
    world.calm().await?;
    load.stop();
    Ok(())
}

/// Requests to a cluster on which nothing is wrong any more; what is wrong with their answers.
async fn last_calls(world: &World, seed: u64) -> Option<Broken> {
    let until = Instant::now() + RECOVERY;
    let mut rng = StdRng::seed_from_u64(seed);
    for round in 0.. {
        let calls: Vec<_> = (0..LAST_CALLS)
            .map(|number| load::draw(&mut rng, &format!("last-{round}-{number}")))
            .collect();
        let tries = calls.iter().enumerate();
        let tries = tries.map(|(number, call)| load::attempt(world, number % DAEMONS, call));
        let outcomes = future::join_all(tries).await;
        let mut tries = outcomes.into_iter();
        let failed = tries.find(|tried| !matches!(tried.outcome, Outcome::Whole { .. }))?;
        if Instant::now() > until {
            let vm = &world.daemons.borrow()[failed.daemon].vm;
            return Some(Broken {
                at: failed.ended,
                key: Some(vm.clone()),
                what: format!("no recovery: {:?}", failed.outcome),
            });
        }
    }
    None
}

fn summarize(seed: u64, load: &Load, departures: usize, broken: usize) {
    let tries = load.tries.borrow();
    let count = |wanted: fn(&Outcome) -> bool| tries.iter().filter(|t| wanted(&t.outcome)).count();
    println!(
        "seed {seed}: {} tries, {} whole, {} refused, {} broken off, {} without an answer; \
         {departures} callers judged that left; {broken} promises broken",
        tries.len(),
        count(|outcome| matches!(outcome, Outcome::Whole { .. })),
        count(|outcome| matches!(outcome, Outcome::Refused { .. })),
        count(|outcome| matches!(outcome, Outcome::Broken(_))),
        count(|outcome| matches!(outcome, Outcome::Lost(_))),
    );
}

/// Prints a broken promise, the faults around it and what the daemons say of its request.
fn explain(world: &World, begun: Instant, broken: &Broken) {
    let since = |at: Instant| at.saturating_duration_since(begun).as_millis();
    let key = broken.key.as_deref().unwrap_or("-");
    println!(
        "first at {} ms, request {key}: {}",
        since(broken.at),
        broken.what
    );
    print_past(world, begun, |past| {
        past.began < broken.at + AROUND && past.ended + AROUND > broken.at
    });
    let Some(key) = &broken.key else {
        return;
    };
    for daemon in world.daemons.borrow().iter() {
        let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
        let mut about: Vec<_> = log.lines().filter(|line| line.contains(key)).collect();
        let last = about.split_off(about.len().saturating_sub(LOG_LINES));
        for line in last {
            println!("  {}: {line}", daemon.vm);
        }
    }
}

/// Prints the faults that `wanted` takes.
fn print_past(world: &World, begun: Instant, wanted: impl Fn(&world::Past) -> bool) {
    let since = |at: Instant| at.saturating_duration_since(begun).as_millis();
    for past in world.past.borrow().iter().filter(|past| wanted(past)) {
        println!(
            "  {} to {} ms: {:?}",
            since(past.began),
            since(past.ended),
            past.fault
        );
    }
}
