//! Work that facts make at daemons, and above all at the few that all others poll.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::advisories::sync::{self, Cursors};
use lilaccrank::advisories::{Advisories, Advisory, CAPACITY, Fact};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Daemons that all others poll.
const WATCHERS: usize = 2;
const CELL: usize = 15;
/// Facts in one load update.
const UPDATE_LIMIT: usize = 32;
/// Time from one load update of a daemon to the next.
const STEP: Duration = Duration::from_millis(50);
const LATENCY: Duration = Duration::from_millis(2);
/// Steps from one poll of a daemon to the next: one second.
const POLL_STEPS: usize = 20;
/// Steps from one crash to the next.
const CRASH_STEPS: usize = 2;
/// Steps until a request is completed after its target has crashed.
const RETRY_STEPS: usize = 6;
/// Parts that requests share behind their first one.
const PARTS: u64 = 60;
const CONTENTS: u64 = 1_000;
/// Steps of a play: 40 seconds.
const STEPS: usize = 800;

/// What one daemon did.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    /// Facts held when one was received, added up.
    held: usize,
    /// Crashes that were new here, though they had been known before.
    learned_again: usize,
    new: usize,
    pushed: usize,
    received: usize,
}

#[derive(Default)]
struct Daemon {
    cursors: Cursors,
    known: Advisories,
    /// Facts that were new.
    learned: IndexSet<Fact>,
    work: Work,
}

impl Daemon {
    fn received(&mut self, facts: &[Advisory], new: &[Fact], before: usize) {
        self.work.received += facts.len();
        self.work.held += facts.len() * before;
        new.iter().for_each(|fact| self.learned(*fact));
    }

    fn learned(&mut self, fact: Fact) {
        self.work.new += 1;
        let is_crash = matches!(fact, Fact::Crash { .. } | Fact::PartCrash { .. });
        let is_known = !self.learned.insert(fact);
        self.work.learned_again += usize::from(is_crash && is_known);
    }

    fn note(&mut self, fact: Fact, now: Instant) {
        if self.known.note(fact, now) {
            self.learned(fact);
        }
    }
}

/// Daemons in cells, of which the first ones watch.
struct Fleet {
    daemons: Vec<Daemon>,
    facts: IndexSet<Fact>,
    now: Instant,
    rng: StdRng,
}

impl Fleet {
    fn new(daemons: usize, seed: u64) -> Self {
        Self {
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            facts: IndexSet::new(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn play(daemons: usize, seed: u64) -> Self {
        let mut fleet = Self::new(daemons, seed);
        let mut retries: Vec<(usize, usize, u64, u64)> = Vec::new();
        for step in 0..STEPS {
            fleet.now += STEP;
            if step.is_multiple_of(CRASH_STEPS) {
                retries.push(fleet.crash(step));
            }
            let due = retries.extract_if(.., |retry| retry.0 <= step);
            for (_, daemon, content, part) in due.collect::<Vec<_>>() {
                fleet.complete(daemon, content);
                fleet.complete(daemon, part);
            }
            fleet.complete_others();
            fleet.exchange(step);
        }
        fleet
    }

    /// A target crashes under a request, whose content and parts are noted where it came in.
    fn crash(&mut self, step: usize) -> (usize, usize, u64, u64) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let content = PARTS + 1 + self.rng.random_range(0..CONTENTS);
        let part = 1 + self.rng.random_range(0..PARTS);
        let target = u32::try_from(step).unwrap();
        self.note(daemon, Fact::Crash { content, target });
        for (depth, part) in [(0, 0), (1, part)] {
            let fact = Fact::PartCrash {
                depth,
                part,
                target,
            };
            self.note(daemon, fact);
        }
        (step + RETRY_STEPS, daemon, content, part)
    }

    /// Each daemon goes on with answers to prompts with shared parts.
    fn complete_others(&mut self) {
        for daemon in 0..self.daemons.len() {
            if self.rng.random_bool(0.1) {
                let part = 1 + self.rng.random_range(0..PARTS);
                self.complete(daemon, 0);
                self.complete(daemon, part);
            }
        }
    }

    fn complete(&mut self, daemon: usize, content: u64) {
        if self.daemons[daemon].known.is_suspect(content, self.now) {
            self.note(daemon, Fact::Completed { content });
        }
    }

    fn note(&mut self, daemon: usize, fact: Fact) {
        self.facts.insert(fact);
        self.daemons[daemon].note(fact, self.now);
    }

    fn exchange(&mut self, step: usize) {
        for daemon in 0..self.daemons.len() {
            self.update(daemon);
        }
        for daemon in WATCHERS..self.daemons.len() {
            if (step + daemon).is_multiple_of(POLL_STEPS) {
                self.poll(daemon, ((step + daemon) / POLL_STEPS) % WATCHERS);
            }
        }
    }

    fn update(&mut self, daemon: usize) {
        let facts = self.daemons[daemon]
            .known
            .take_updates(UPDATE_LIMIT, self.now);
        let now = self.now + LATENCY;
        let first = daemon / CELL * CELL;
        let last = (first + CELL).min(self.daemons.len());
        for peer in (first..last).filter(|peer| *peer != daemon) {
            if !facts.is_empty() && !self.rng.random_bool(0.01) {
                let peer = &mut self.daemons[peer];
                let before = peer.known.len();
                let new = peer.known.merge_update(&facts, now);
                peer.received(&facts, &new, before);
            }
        }
    }

    fn poll(&mut self, daemon: usize, watcher: usize) {
        let name = format!("vm-{watcher}");
        let asking = &mut self.daemons[daemon];
        let pull = asking.cursors.pull(&name, &asking.known, self.now);
        asking.work.pushed += pull.pushed.len();
        let now = self.now + LATENCY;
        let asked = &mut self.daemons[watcher];
        let before = asked.known.len();
        let (page, new) = sync::answer(&pull, &mut asked.known, 1, now);
        asked.received(&pull.pushed, &new, before);
        let now = now + LATENCY;
        let asking = &mut self.daemons[daemon];
        let before = asking.known.len();
        let new = asking
            .cursors
            .merge_page(&name, &page, &mut asking.known, now);
        asking.received(&page.advisories, &new, before);
    }

    fn learned_again(&self) -> usize {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| daemon.work.learned_again).sum()
    }

    /// Number of facts that a watcher received for each one that it learned.
    fn received_per_new(&self) -> f64 {
        let watchers = self.daemons[..WATCHERS].iter().map(|daemon| daemon.work);
        let per_new = |work: Work| work.received as f64 / work.new as f64;
        watchers.map(per_new).fold(0.0, f64::max)
    }

    fn report(&self) -> String {
        let all: usize = self.daemons.iter().map(|daemon| daemon.work.new).sum();
        format!(
            "{} daemons: {} different facts, {all} new at all, {} again; watchers {:?}; another {:?}",
            self.daemons.len(),
            self.facts.len(),
            self.learned_again(),
            self.daemons[..WATCHERS]
                .iter()
                .map(|daemon| daemon.work)
                .collect::<Vec<_>>(),
            self.daemons[CELL + 1].work
        )
    }
}

// Guards against facts that circulate between daemons of which each has dropped them in turn.
#[test]
fn no_crash_is_learned_twice() {
    let fleet = Fleet::play(75, 1);
    assert_eq!(fleet.learned_again(), 0, "{}", fleet.report());
}

// Guards against a watcher whose work for one fact grows with the number of daemons.
#[test]
fn a_watcher_receives_a_fact_as_often_among_many_daemons_as_among_few() {
    let (few, many) = (Fleet::play(30, 1), Fleet::play(75, 1));
    let growth = many.received_per_new() / few.received_per_new();
    assert!(
        growth < 1.5,
        "{growth}; {}; {}",
        few.report(),
        many.report()
    );
}

/// Facts in a load update or page, and size of the smaller of two sets.
const FEW: usize = 64;
/// Tries of which the fastest counts.
const TRIES: usize = 20;

/// A set with this many crashes, a millisecond apart and none repeated.
fn filled(len: usize, now: Instant) -> Advisories {
    let mut known = Advisories::default();
    for at in 0..len {
        known.note(nth(at), now + Duration::from_millis(at as u64));
    }
    known
}

fn nth(at: usize) -> Fact {
    let content = at as u64;
    match at % 2 {
        0 => Fact::Crash { content, target: 1 },
        _ => Fact::Completed { content },
    }
}

fn time_of(len: usize, facts: std::ops::Range<usize>) -> Duration {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let facts: Vec<_> = facts
        .map(|at| Advisory {
            age_ms: 0,
            fact: nth(at),
        })
        .collect();
    let once = |_| {
        let mut known = filled(len, start);
        let began = Instant::now();
        known.merge(&facts, now);
        began.elapsed()
    };
    (0..TRIES).map(once).min().unwrap()
}

/// Tests that merging facts takes about as long in a full set as in a small one.
macro_rules! independent_of_the_size {
    ($name:ident, $few:expr, $many:expr) => {
        #[test]
        fn $name() {
            let (few, many) = (time_of(FEW, $few), time_of(CAPACITY, $many));
            assert!(
                many < few * 4,
                "{few:?} in a small set, {many:?} in a full one"
            );
        }
    };
}

// Guards against work for each fact that grows with all facts.
independent_of_the_size!(known_facts, 0..FEW, 0..FEW);
// Guards against work for each new fact that grows with all facts.
independent_of_the_size!(new_facts, FEW..2 * FEW, CAPACITY..CAPACITY + FEW);

/// Time of a load update without new facts, in a set of this size.
fn time_of_update(len: usize) -> Duration {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let mut known = filled(len, start);
    while !known.take_updates(UPDATE_LIMIT, now).is_empty() {}
    let once = |_| {
        let began = Instant::now();
        for _ in 0..FEW {
            known.take_updates(UPDATE_LIMIT, now);
        }
        began.elapsed()
    };
    (0..TRIES).map(once).min().unwrap()
}

// Guards against work for each load update that grows with the facts that were told long ago.
#[test]
fn updates_without_news() {
    let (few, many) = (time_of_update(FEW), time_of_update(CAPACITY));
    assert!(
        many < few * 4,
        "{few:?} in a small set, {many:?} in a full one"
    );
}

// Guards against a quarantine that is missed at a full set whose facts are hardly older than its crashes.
#[test]
fn crashes_just_after_those_of_a_full_set_quarantine() {
    const CONTENT: u64 = u64::MAX;
    let start = Instant::now();
    let mut known = Advisories::default();
    for content in 0..CAPACITY as u64 {
        known.note(Fact::Crash { content, target: 1 }, start);
    }
    let now = start + Duration::from_millis(900);
    for target in 2..5 {
        let fact = Fact::Crash {
            content: CONTENT,
            target,
        };
        known.merge(&[Advisory { age_ms: 50, fact }], now);
    }
    assert!(known.quarantine_remaining(CONTENT, now).is_some());
}

// Guards against a fact that was evicted, counts as new whenever a peer sends it, and is passed on again.
#[test]
fn an_evicted_fact_is_not_new_again() {
    let start = Instant::now();
    let mut known = filled(CAPACITY + FEW, start);
    let now = start + Duration::from_secs(2);
    for hop in 0..3 {
        let age_ms = 2_000 - hop;
        let evicted: Vec<_> = (0..FEW)
            .map(|at| Advisory {
                age_ms: age_ms - at as u32,
                fact: nth(at),
            })
            .collect();
        assert_eq!(known.merge(&evicted, now), []);
    }
}

/// A full set, and the time two seconds after its last fact.
fn full() -> (Advisories, Instant) {
    let start = Instant::now();
    (
        filled(CAPACITY + FEW, start),
        start + Duration::from_secs(3),
    )
}

/// Content of which the full sets hold no fact.
const OTHER: u64 = 1 << 40;

fn aged(age_ms: u32, fact: Fact) -> Advisory {
    Advisory { age_ms, fact }
}

// Guards against a full set that hears of nothing new from other daemons.
#[test]
fn a_full_set_learns_later_facts() {
    let (mut known, now) = full();
    for target in 0..3 {
        let content = OTHER;
        let fact = Fact::Crash { content, target };
        assert_eq!(known.merge(&[aged(100, fact)], now), [fact]);
    }
    assert!(known.quarantine_remaining(OTHER, now).is_some());
}

// Guards against a quarantine that a full set holds on to after the request was completed.
#[test]
fn a_full_set_learns_of_a_completion_that_lifts_a_quarantine() {
    let (mut known, now) = full();
    let began = now - Duration::from_secs(60);
    let content = OTHER;
    for target in 0..3 {
        known.note(Fact::Crash { content, target }, began);
        known.note(nth(2 * CAPACITY), now);
    }
    known.note_stored_quarantine(OTHER, Duration::from_secs(60), now);
    assert!(known.quarantine_remaining(OTHER, now).is_some());
    let completed = Fact::Completed { content };
    assert_eq!(known.merge(&[aged(50_000, completed)], now), [completed]);
    assert_eq!(known.quarantine_remaining(OTHER, now), None);
}

// Guards against a full set that takes no stored quarantine from other daemons, however old.
#[test]
fn a_full_set_learns_of_a_stored_quarantine() {
    let (mut known, now) = full();
    let quarantined = Fact::Quarantined { content: OTHER };
    assert_eq!(
        known.merge(&[aged(300_000, quarantined)], now),
        [quarantined]
    );
    assert!(known.quarantine_remaining(OTHER, now).is_some());
}

// Guards against an old quarantine that a daemon doesn't hear of when it starts.
#[test]
fn a_daemon_that_starts_learns_an_old_quarantine_from_a_full_set() {
    let (mut known, now) = full();
    for target in 0..3 {
        let content = OTHER;
        known.merge(&[aged(100, Fact::Crash { content, target })], now);
    }
    let now = now + Duration::from_secs(60);
    for at in 0..CAPACITY {
        known.note(nth(2 * CAPACITY + at), now);
    }
    let (mut started, mut cursors) = (Advisories::default(), Cursors::default());
    let name = "vm".to_owned();
    for _ in 0..2 * CAPACITY / sync::PAGE {
        let pull = cursors.pull(&name, &started, now);
        let (page, _) = sync::answer(&pull, &mut known, 1, now);
        cursors.merge_page(&name, &page, &mut started, now);
    }
    assert!(started.quarantine_remaining(OTHER, now).is_some());
}
