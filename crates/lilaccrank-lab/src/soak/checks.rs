//! The promises that a soak checks, from what callers, targets and operators see.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::operators::Status;
use serde_json::Value;

use crate::caller::Outcome;
use crate::stand_in::Result;

use super::leavers::{self, Departure, Leavers};
use super::load::{Load, Try};
use super::plan::Fault;
use super::world::{DAEMONS, World};

/// Time between two looks at the configurations in force.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// After a fault, requests that began meanwhile may still suffer from it.
const AFTER: Duration = Duration::from_secs(3);

/// A promise that was broken.
#[derive(Clone, Debug)]
pub(super) struct Broken {
    pub(super) at: Instant,
    /// What log lines about it hold: the request, or the daemon.
    pub(super) key: Option<String>,
    pub(super) what: String,
}

/// What was found so far.
#[derive(Default)]
pub(super) struct Findings {
    pub(super) broken: RefCell<Vec<Broken>>,
    /// Process and generation that each daemon showed last.
    generations: RefCell<IndexMap<usize, (u32, u64)>>,
}

impl Findings {
    fn note(&self, at: Instant, key: Option<&str>, what: String) {
        self.broken.borrow_mut().push(Broken {
            at,
            key: key.map(str::to_owned),
            what,
        });
    }

    /// Looks at the configuration in force at each daemon for as long as it is polled: in one life
    /// of a process it never falls.
    pub(super) async fn watch(&self, world: &World) {
        loop {
            for at in 0..DAEMONS {
                let process = world.daemons.borrow()[at].process.id();
                let Some(generation) = generation(world, at).await else {
                    continue;
                };
                if world.daemons.borrow()[at].process.id() != process {
                    continue;
                }
                let now = (process, generation);
                let before = self.generations.borrow_mut().insert(at, now);
                if let Some((life, known)) = before
                    && life == process
                    && known > generation
                {
                    let what = format!("daemon {at} went from generation {known} to {generation}");
                    self.note(Instant::now(), None, what);
                }
            }
            monoio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// All daemons have the newest acknowledged configuration, within `limit`.
    pub(super) async fn settled(&self, world: &World, limit: Duration) {
        let until = Instant::now() + limit;
        let wanted = world.published.borrow().generation;
        for at in 0..DAEMONS {
            loop {
                let found = generation(world, at).await;
                if found.is_some_and(|found| found >= wanted) {
                    break;
                }
                if Instant::now() > until {
                    let vm = &world.daemons.borrow()[at].vm;
                    let what = format!("{vm} does not get generation {wanted}, has {found:?}");
                    return self.note(until, Some(vm), what);
                }
                monoio::time::sleep(LOOK_EVERY).await;
            }
        }
    }

    /// Judges all requests by what the engines began.
    pub(super) async fn judge(&self, world: &World, load: &Rc<Load>) -> Result<()> {
        let runs = runs(world).await?;
        let mut requests: IndexMap<&str, Vec<&Try>> = IndexMap::new();
        let tries = load.tries.borrow();
        for tried in tries.iter() {
            requests.entry(&tried.key).or_default().push(tried);
        }
        for (key, tries) in requests {
            let ran = runs.get(key).copied().unwrap_or_default();
            self.judge_request(world, key, &tries, ran);
        }
        Ok(())
    }

    /// Judges what engines did for callers that had left. Returns the number of callers judged: those
    /// whose daemon was in touch.
    pub(super) async fn judge_departures(&self, world: &World, leavers: &Leavers) -> Result<usize> {
        let departures = leavers.departures.take();
        for (engine, process) in &world.cluster.engines {
            let entries = world.cluster.begun(&process.address).await?;
            let wire = world.cluster.target_wires.get_index_of(engine);
            for left in departures
                .iter()
                .filter(|left| is_in_touch(world, left, wire))
            {
                for what in entries
                    .iter()
                    .filter_map(|entry| work_for_nobody(left, entry))
                {
                    self.note(left.left, None, format!("{engine}: {what}"));
                }
            }
        }
        let in_touch = departures
            .iter()
            .filter(|left| is_in_touch(world, left, None));
        Ok(in_touch.count())
    }

    fn judge_request(&self, world: &World, key: &str, tries: &[&Try], ran: usize) {
        let last = tries[tries.len() - 1];
        let note = |what: String| self.note(last.ended, Some(key), what);
        let refused =
            |tried: &&&Try| matches!(&tried.outcome, Outcome::Refused { ran, .. } if ran == "no");
        let may_have_run = tries.len() - tries.iter().filter(refused).count();
        if last.once && ran > 1 {
            note(format!("ran {ran} times, though it may run once"));
        }
        if ran > may_have_run {
            note(format!(
                "ran {ran} times, {may_have_run} tries were not told that they did not run"
            ));
        }
        if ran > 1 && !last.once && deaths(world, tries) < 2 {
            note(format!("ran {ran} times, though no two daemons died"));
        }
        for tried in tries {
            match &tried.outcome {
                Outcome::Foreign(why) => note(format!("an answer looked whole: {why}")),
                Outcome::Whole { .. } if ran == 0 => note("an answer of no engine".to_owned()),
                Outcome::Broken(why) | Outcome::Lost(why)
                    if ran > 0 && only_terminated(world, tried) =>
                {
                    note(format!("cut by a graceful shutdown: {why}"));
                }
                _ => {}
            }
        }
    }
}

/// Whether the daemon was there while a caller came and left, and reached the engine behind `wire`.
fn is_in_touch(world: &World, left: &Departure, wire: Option<usize>) -> bool {
    let until = left.left + 2 * leavers::LIMIT;
    let past = world.past.borrow();
    let mut faults = past.iter().filter(|past| match past.fault {
        Fault::Freeze(at) | Fault::Kill(at) | Fault::Terminate(at) => at == left.daemon,
        Fault::TargetWire(at, _) => Some(at) == wire,
        Fault::LostAnswers(_)
        | Fault::PlatformWire(_)
        | Fault::Publish
        | Fault::StoreAway
        | Fault::StoreRestored
        | Fault::StoreSlow(_) => false,
    });
    !faults.any(|past| past.began < until && past.ended + AFTER > left.began)
}

/// What an engine did too late for a caller that had left, by an entry of its log.
fn work_for_nobody(left: &Departure, entry: &Value) -> Option<String> {
    let is_own = entry["key"].is_null() && entry["prompt_tokens"] == left.prompt_tokens;
    if !is_own {
        return None;
    }
    let id = entry["request_id"].as_str()?;
    let after = |field: &str| Some(entry[field].as_u64()?.saturating_sub(left.left_ms));
    let limit = u64::try_from(leavers::LIMIT.as_millis()).ok()?;
    match (after("at_ms"), after("ended_ms")) {
        (Some(began), _) if began > limit => Some(format!(
            "{id} reached it {began} ms after its caller had left"
        )),
        (_, Some(ended)) if ended <= limit => None,
        (_, ended) => Some(format!(
            "{id} was worked on {ended:?} ms after its caller had left"
        )),
    }
}

/// Daemons that were away while a request was tried.
fn deaths(world: &World, tries: &[&Try]) -> usize {
    let (began, ended) = (tries[0].began, tries[tries.len() - 1].ended);
    let past = world.past.borrow();
    let during = past
        .iter()
        .filter(|past| past.began < ended && past.ended + AFTER > began);
    during
        .filter(|past| {
            matches!(
                past.fault,
                Fault::Freeze(_) | Fault::Kill(_) | Fault::Terminate(_)
            )
        })
        .count()
}

/// Whether all that went wrong around a try is that its daemon was asked to end, while it ran.
fn only_terminated(world: &World, tried: &Try) -> bool {
    let past = world.past.borrow();
    let mut around = past
        .iter()
        .filter(|past| past.began < tried.ended && past.ended + AFTER > tried.began)
        .filter(|past| past.fault != Fault::Publish);
    let only = around.next();
    let at_it = |past: &_| {
        matches!(past, &&super::world::Past { fault: Fault::Terminate(at), began, .. }
        if at == tried.daemon && began > tried.began)
    };
    only.is_some_and(|past| at_it(&past)) && around.next().is_none()
}

async fn generation(world: &World, at: usize) -> Option<u64> {
    let admin = world.daemons.borrow()[at].admin.to_string();
    let path = lilaccrank::operators::path::STATUS;
    let asked = world.cluster.get(&admin, path);
    let asked = monoio::time::timeout(Duration::from_secs(1), asked).await;
    // A daemon that is away shows nothing, which is no fault.
    let (_, text) = asked.ok()?.ok()?;
    let status: Status = serde_json::from_str(&text).ok()?;
    Some(status.identity.generation)
}

/// How often the engines began each key.
async fn runs(world: &World) -> Result<IndexMap<String, usize>> {
    let mut runs = IndexMap::new();
    for engine in world.cluster.engines.values() {
        for entry in world.cluster.begun(&engine.address).await? {
            let key = entry["key"].as_str().unwrap_or_default().to_owned();
            *runs.entry(key).or_default() += 1;
        }
    }
    Ok(runs)
}
