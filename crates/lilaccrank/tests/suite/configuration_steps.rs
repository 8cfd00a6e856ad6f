//! Adoption in steps: others run meanwhile, and only what changed is built.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::adoption::{self, Adoption, Configuration};
use lilaccrank::configuration::manifest::{self, Identity, Manifest};
use lilaccrank::configuration::sections::{self, Parts, Sections};
use lilaccrank::configuration::watcher::{self, Look, Timing};
use lilaccrank::document::{CallerLimits, Document, Pool, Rule, Target};
use lilaccrank::ids::Generation;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::rules::check;
use lilaccrank::rules::matching::{Block, RuleSet};
use lilaccrank::steps::Steps;
use lilaccrank::store::{Expect, Store};
use quickcheck::{Arbitrary, Gen};

use crate::configuration_bench::Bench;
use crate::configuration_store::{run, run_beside};
use crate::rules_matching::Case;
use crate::seeded;

/// Rules of a large document.
const RULES: usize = 4_200;
/// Bytes of sections that one step may handle: many times less than a core handles in 10 ms.
const STEP_BYTES_MAX: usize = 256 << 10;

fn rule(n: usize) -> Rule {
    let mut rule = Rule {
        id: format!("a-route-of-a-large-block-{n:06}"),
        ..Rule::default()
    };
    rule.then.pool = Some(format!("pool-{}", n % 8));
    rule.when.path = Some(format!("/a/long/prefix/of/a/large/block/{n:06}/"));
    rule
}

fn document(rules: usize) -> Document {
    let pools = (0..8).map(|n| Pool {
        id: format!("pool-{n}"),
        waiting_limit: 10,
        ..Pool::default()
    });
    Document {
        pools: pools.collect(),
        rules: (0..rules).map(rule).collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    }
}

fn manifest(generation: Generation, sections: &Sections) -> Manifest {
    Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: Identity {
            generation,
            publication: format!("version-{generation}"),
        },
        sections: sections.index.clone(),
    }
}

type Adopted = adoption::Result<Rc<Configuration>>;

/// Adopts a document with a clock of its own.
fn adopt(adoption: &Adoption, generation: Generation, document: &Document) -> Adopted {
    let clock = PausedClock::new();
    let adopting = adopting(adoption, generation, document, &clock);
    run(&clock, adopting)
}

fn adopting(
    adoption: &Adoption,
    generation: Generation,
    document: &Document,
    clock: &PausedClock,
) -> impl Future<Output = Adopted> + 'static {
    let (adoption, clock, document) = (adoption.clone(), clock.clone(), document.clone());
    async move {
        let manifest = manifest(generation, &Sections::default());
        let pace = Steps::new(clock);
        let building = adoption.begin().await;
        building.adopt_document(manifest, &document, &pace).await
    }
}

// Guards against a large configuration that holds up all other tasks and timers while it is read.
#[test]
fn timers_fire_while_a_large_configuration_is_adopted() {
    let bench = Bench::new();
    let sections = Sections::split(&document(RULES)).unwrap();
    let bytes: usize = sections.contents.values().map(|c| c.len()).sum();
    let manifest = serde_json::to_vec(&manifest(1, &sections)).unwrap();
    let (store, clock, adoption) = (
        bench.store.clone(),
        bench.clock.clone(),
        bench.adoption.clone(),
    );
    let turns = Rc::new(Cell::new(0));
    let ticker = {
        let (clock, turns) = (clock.clone(), Rc::clone(&turns));
        async move {
            loop {
                clock.sleep(Duration::from_millis(1)).await;
                turns.set(turns.get() + 1);
            }
        }
    };
    let look = async move {
        for (digest, content) in sections.contents {
            let content = content.as_bytes().to_vec().into();
            let key = sections::key(&digest);
            store.put(&key, content, Expect::Any).await.unwrap();
        }
        let put = store.put(manifest::KEY, manifest.into(), Expect::Any);
        put.await.unwrap();
        watcher::look(&store, &clock, &adoption, Timing::default()).await
    };
    let looked = run_beside(&bench.clock, ticker, look);
    assert!(matches!(looked, Ok(Look::Adopted)), "{looked:?}");
    let turns: usize = turns.get();
    assert!(turns >= bytes / STEP_BYTES_MAX, "{turns} turns");
}

// Guards against rules that are written, checked and compiled again although their section did not change.
#[test]
fn unchanged_sections_are_shared() {
    let adoption = Adoption::new();
    let mut document = document(RULES);
    let first = adopt(&adoption, 1, &document).unwrap();
    document.caller_limits = Some(CallerLimits {
        body_bytes: 1,
        head_bytes: 1,
        head_ms: 1,
        idle_ms: 1,
    });
    let second = adopt(&adoption, 2, &document).unwrap();
    assert_eq!(second.document.caller_limits, document.caller_limits);
    assert_eq!(shared(&first, &second), second.blocks.len());
    document.rules.insert(RULES / 2, rule(RULES));
    let third = adopt(&adoption, 3, &document).unwrap();
    assert!(shared(&second, &third) + 2 >= third.blocks.len());
    document.tiers.insert(0, "new".to_owned());
    let fourth = adopt(&adoption, 4, &document).unwrap();
    assert_eq!(shared(&third, &fourth), 0);
}

/// Sections with rules that were neither written nor compiled anew.
fn shared(before: &Configuration, after: &Configuration) -> usize {
    let blocks = after.blocks.iter();
    let is_same = |digest: &String, block: &Rc<Block>| {
        let known = before.blocks.get(digest);
        known.is_some_and(|known| Rc::ptr_eq(known, block))
            && Rc::ptr_eq(&before.contents[digest], &after.contents[digest])
    };
    blocks
        .filter(|(digest, block)| is_same(digest, block))
        .count()
}

// Guards against sections taken over from the splitter that differ from what other daemons read.
#[test]
fn split_sections_are_what_would_be_read() {
    let split = Sections::split(&document(RULES)).unwrap();
    let read = sections::read(&split.index, &split.contents, &Parts::new()).unwrap();
    let split: Vec<_> = split
        .index
        .values()
        .map(|digest| &split.parts[digest])
        .collect();
    assert!(split.into_iter().eq(read.values()));
}

/// Two documents that share some rules, and a request.
#[derive(Clone, Debug)]
struct Succession {
    after: Case,
    before: Document,
}

impl Arbitrary for Succession {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut after = Case::arbitrary(g);
        make_sound(&mut after.document);
        let mut before = after.document.clone();
        match u8::arbitrary(g) % 7 {
            0 => before.rules = Case::arbitrary(g).document.rules,
            1 => before.tiers.reverse(),
            2 => before.customers.truncate(1),
            3 => after.document.pools.truncate(1),
            4 => before.rules.insert(0, filler(FILLERS)),
            5 => before.rules.truncate(FILLERS / 2),
            _ => before.caller_limits = None,
        }
        Self { after, before }
    }
}

/// Rules before those of a case, so that they take several sections.
const FILLERS: usize = 150;

fn filler(n: usize) -> Rule {
    let mut rule = rule(n);
    rule.then.pool = Some("a".to_owned());
    rule
}

/// Mends what only a check would find, and puts fillers before the rules.
fn make_sound(document: &mut Document) {
    for (n, pool) in document.pools.iter_mut().enumerate() {
        pool.waiting_limit = 10;
        pool.targets.push(Target {
            address: format!("10.0.0.{n}:8000"),
            data_centre: pool.id.clone(),
            id: pool.id.clone(),
            slots: 1,
            ..Target::default()
        });
    }
    for customer in &mut document.customers {
        customer.weight = 1;
    }
    let rules = std::mem::take(&mut document.rules);
    document.rules = (0..FILLERS).map(filler).chain(rules).collect();
}

// Guards against compiled rules that are shared where they mean something else.
#[test]
fn a_succession_decides_as_a_fresh_start() {
    fn holds(succession: Succession) -> bool {
        let adoption = Adoption::new();
        let _ = adopt(&adoption, 1, &succession.before);
        let after = &succession.after;
        match adopt(&adoption, 2, &after.document) {
            Ok(adopted) => {
                let fresh = RuleSet::compile(&adopted.document).unwrap();
                let decide = |rules: &RuleSet| rules.decide(&after.facts, &after.environment);
                decide(&adopted.rules) == decide(&fresh)
            }
            Err(adoption::Error::Invalid(problems)) => {
                let fresh = Sections::split(&after.document).unwrap();
                let fresh = sections::assemble(&fresh.index, &fresh.contents).unwrap();
                problems == check::errors(&fresh)
            }
            Err(_) => false,
        }
    }
    let holds: fn(Succession) -> bool = holds;
    seeded::check(500, holds);
}

/// Runs a task to its end, with the other tasks of the pool.
fn drive<T: 'static>(
    pool: &mut LocalPool,
    clock: &PausedClock,
    task: impl Future<Output = T> + 'static,
) -> T {
    let mut task = pool.spawner().spawn_local_with_handle(task).unwrap();
    for _ in 0..10_000 {
        pool.run_until_stalled();
        if let Some(output) = (&mut task).now_or_never() {
            return output;
        }
        clock.advance(Duration::from_millis(1));
    }
    panic!("it never ends");
}

// Guards against an older configuration that takes effect because its build ended last.
#[test]
fn a_build_that_is_overtaken_takes_no_effect() {
    let (adoption, clock) = (Adoption::new(), PausedClock::new());
    let mut pool = LocalPool::new();
    let older = adopting(&adoption, 1, &document(RULES), &clock);
    let older = pool.spawner().spawn_local_with_handle(older).unwrap();
    pool.run_until_stalled();
    assert_eq!(adoption.identity(), None);
    let newer = Sections::split(&document(1)).unwrap();
    let newer = adoption
        .adopt(manifest(2, &newer), &newer.contents)
        .unwrap();
    let held = newer.manifest.identity.clone();
    let older = drive(&mut pool, &clock, older);
    assert_eq!(older.unwrap_err(), adoption::Error::NotNewer(held.clone()));
    assert_eq!(adoption.identity(), Some(held));
}

// Guards against configurations that are built at the same time, each in ever more time.
#[test]
fn builds_end_one_by_one() {
    let (adoption, clock) = (Adoption::new(), PausedClock::new());
    let mut pool = LocalPool::new();
    for generation in 1..=2 {
        let build = adopting(&adoption, generation, &document(RULES), &clock);
        let build = async move { build.await.map(drop).unwrap() };
        pool.spawner().spawn_local(build).unwrap();
    }
    pool.run_until_stalled();
    let settled = async move {
        drop(adoption.begin().await);
        adoption.identity().map(|identity| identity.generation)
    };
    assert_eq!(drive(&mut pool, &clock, settled), Some(2));
}
