//! Versions recorded before streams begin at them: which version a stream can be said to have begun at, over
//! histories of targets, configurations, restarts and restores of the store.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::document::{Document, Hours, Rule, Terms, Then, WeightedPool, When};
use lilaccrank::software_version::VersionDigest;
use lilaccrank::store_revision::Era;
use lilaccrank::versions_in_use::{
    RETENTION, RecordedVersion, StreamRoutes, Unneeded, VersionsInUse,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const POOL: &str = "engines";
/// Daemons of a history.
const DAEMONS: usize = 3;
/// Copies of the store that a history may go back to.
const COPIES: usize = 4;

fn version(number: u8) -> RecordedVersion {
    (number > 0).then(|| VersionDigest::new(&format!("v{number}")))
}

fn rule(path: &str, pool: &str) -> Rule {
    Rule {
        id: path.to_owned(),
        then: Then {
            pool: Some(pool.to_owned()),
            terms: Terms {
                stream: true,
                ..Terms::default()
            },
            ..Then::default()
        },
        when: When {
            path: Some(path.to_owned()),
            ..When::default()
        },
    }
}

fn document(rules: Vec<Rule>) -> Document {
    Document {
        rules,
        ..Document::default()
    }
}

fn routes(rules: Vec<Rule>) -> StreamRoutes {
    StreamRoutes::new(&document(rules))
}

fn recorded(routes: &StreamRoutes, versions: &[u8]) -> VersionsInUse {
    let mut record = VersionsInUse::read(None, 0, true);
    let versions = versions.iter().map(|v| (POOL.to_owned(), version(*v)));
    assert!(record.add(&VersionsInUse::needed(routes, versions)));
    record
}

/// A record, and the version that it names.
macro_rules! names {
    ($($name:ident: $versions:expr, $era:literal, $now:expr => $named:literal;)*) => {$(
        /// Guards against a version that is named though another one may have begun a stream.
        #[test]
        fn $name() {
            let began = routes(vec![rule("/a", POOL)]);
            let record = recorded(&began, &$versions);
            assert_eq!(record.only_version(POOL, &$now, $era), version($named));
        }
    )*};
}

names! {
    one_version: [1], 0, routes(vec![rule("/a", POOL)]) => 1;
    two_versions: [1, 2], 0, routes(vec![rule("/a", POOL)]) => 0;
    an_unknown_version: [0], 0, routes(vec![rule("/a", POOL)]) => 0;
    an_unknown_version_beside_a_known_one: [1, 0], 0, routes(vec![rule("/a", POOL)]) => 0;
    another_era_of_the_store: [1], 1, routes(vec![rule("/a", POOL)]) => 0;
    a_route_that_was_added: [1], 0, routes(vec![rule("/a", POOL), rule("/b", POOL)]) => 0;
    a_route_that_led_elsewhere: [1], 0, routes(vec![rule("/b", POOL)]) => 0;
}

/// Rules that may lead a stream to different pools.
macro_rules! not_fixed {
    ($($name:ident: $change:expr;)*) => {$(
        /// Guards against a stream that began at another pool than the one its next try comes to.
        #[test]
        fn $name() {
            let mut rule = rule("/a", POOL);
            let change: fn(&mut Rule) = $change;
            change(&mut rule);
            let routes = routes(vec![rule]);
            assert_eq!(recorded(&routes, &[1]).only_version(POOL, &routes, 0), None);
        }
    )*};
}

not_fixed! {
    a_rule_that_splits: |rule| {
        let part = |pool: &str| WeightedPool { pool: pool.to_owned(), weight: 1 };
        rule.then.pool = None;
        rule.then.split = vec![part(POOL), part("other")];
    };
    a_rule_by_the_hour: |rule| rule.when.hours = Some(Hours { from: 1, to: 2 });
}

/// Guards against a record that grows without bound with what a list names.
#[test]
fn the_record_is_bounded() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1]);
    let versions =
        (0..5_000).map(|n| (POOL.to_owned(), Some(VersionDigest::new(&format!("w{n}")))));
    let needed = VersionsInUse::needed(&routes, versions);
    assert!(!record.add(&needed));
    assert_eq!(record.only_version(POOL, &routes, 0), version(1));
}

/// Guards against routes that keep a version named after a change of what has nothing to do with streams.
#[test]
fn other_rules_change_nothing() {
    let plain = Rule {
        then: Then::default(),
        ..rule("/plain", POOL)
    };
    let with_plain = routes(vec![plain, rule("/a", POOL)]);
    assert_eq!(with_plain, routes(vec![rule("/a", POOL)]));
}

/// What happens in a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A daemon sees a list in which targets have these versions, of which 0 is unknown.
    List(usize, u8, u8),
    /// A daemon records what it needs, if the store takes it.
    Synchronise(usize, bool),
    /// A stream begins at a daemon, at one of the versions of its list that it knows to be recorded.
    Begin(usize, bool),
    /// A daemon learns from another one that has just read it what is recorded.
    Learn(usize, usize),
    /// Time passes, in tenths of the retention; streams that began before it end.
    Wait(u8),
    /// A daemon is killed and starts again.
    Kill(usize),
    /// All daemons are killed and start again.
    KillAll,
    /// The store comes back from one of the last copies.
    Restore(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let daemon = usize::arbitrary(g) % DAEMONS;
        match u8::arbitrary(g) % 18 {
            0..4 => Self::List(daemon, u8::arbitrary(g) % 4, 1 + u8::arbitrary(g) % 3),
            4..8 => Self::Synchronise(daemon, u8::arbitrary(g) % 4 > 0),
            8..12 => Self::Begin(daemon, bool::arbitrary(g)),
            12 => Self::Wait(u8::arbitrary(g) % 16),
            13 => Self::Kill(daemon),
            14 => Self::KillAll,
            15..17 => Self::Learn(daemon, usize::arbitrary(g) % DAEMONS),
            _ => Self::Restore(u8::arbitrary(g)),
        }
    }
}

#[derive(Default)]
struct Daemon {
    known: VersionsInUse,
    listed: Vec<u8>,
    read_at: Option<Instant>,
    unneeded: Unneeded,
}

struct History {
    copies: Vec<Option<VersionsInUse>>,
    daemons: Vec<Daemon>,
    era: Era,
    now: Instant,
    routes: StreamRoutes,
    store: Option<VersionsInUse>,
    /// Versions of streams, and when these can't be resumed any more.
    streams: IndexMap<RecordedVersion, Instant>,
}

impl History {
    fn new() -> Self {
        Self {
            copies: Vec::new(),
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            era: 0,
            now: Instant::now(),
            routes: routes(vec![rule("/a", POOL)]),
            store: None,
            streams: IndexMap::new(),
        }
    }

    fn read(&self) -> VersionsInUse {
        VersionsInUse::read(self.store.clone(), self.era, self.store.is_none())
    }

    fn needed(&self, daemon: usize) -> VersionsInUse {
        let listed = self.daemons[daemon].listed.iter();
        let versions = listed.map(|number| (POOL.to_owned(), version(*number)));
        VersionsInUse::needed(&self.routes, versions)
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::List(daemon, first, second) => {
                self.daemons[daemon].listed = vec![first, second];
                (0..DAEMONS).for_each(|daemon| self.note(daemon));
            }
            Step::Synchronise(daemon, is_served) if is_served => self.synchronise(daemon),
            Step::Begin(daemon, is_first) => self.begin(daemon, is_first),
            Step::Wait(tenths) => {
                // Restores are noticed within seconds.
                let behind = (0..DAEMONS).filter(|d| self.daemons[*d].known.era() != self.era);
                for daemon in behind.collect::<Vec<_>>() {
                    self.synchronise(daemon);
                }
                for _ in 0..tenths {
                    self.now += RETENTION / 10;
                    (0..DAEMONS).for_each(|daemon| self.note(daemon));
                }
                let now = self.now;
                self.streams.retain(|_, until| now < *until);
            }
            Step::Kill(daemon) => self.daemons[daemon] = Daemon::default(),
            Step::Learn(from, to) => self.learn(from, to),
            Step::KillAll => self.daemons.iter_mut().for_each(|d| *d = Daemon::default()),
            Step::Restore(age) if !self.copies.is_empty() => {
                let at = usize::from(age) % self.copies.len();
                self.store = self.copies[at].clone();
                self.copies.truncate(at + 1);
                self.era += 1;
            }
            Step::Synchronise(..) | Step::Restore(_) => {}
        }
    }

    fn note(&mut self, daemon: usize) {
        let (needed, now) = (self.needed(daemon), self.now);
        // Lists differ for seconds only.
        let mut all = needed;
        for other in 0..DAEMONS {
            all.add(&self.needed(other));
        }
        let daemon = &mut self.daemons[daemon];
        daemon.unneeded.note(&mut daemon.known, &all, now);
    }

    fn synchronise(&mut self, daemon: usize) {
        let needed = self.needed(daemon);
        let mut record = self.read();
        // One daemon removes.
        if daemon == 0 {
            self.note(daemon);
            self.daemons[0]
                .unneeded
                .remove_expired(&mut record, self.now);
        }
        assert!(record.add(&needed));
        self.copies.push(self.store.clone());
        self.copies
            .drain(..self.copies.len().saturating_sub(COPIES));
        self.store = Some(record.clone());
        self.daemons[daemon].known = record;
        self.daemons[daemon].read_at = Some(self.now);
    }

    fn learn(&mut self, from: usize, to: usize) {
        let teller = &self.daemons[from];
        let is_recent = |at: Instant| self.now - at < RETENTION / 5;
        if from != to && teller.read_at.is_some_and(is_recent) {
            let told = teller.unneeded.needed(&teller.known);
            self.daemons[to].known.learn(&told);
            self.note(to);
        }
    }

    fn begin(&mut self, daemon: usize, is_first: bool) {
        let Daemon {
            known,
            listed,
            unneeded,
            ..
        } = &self.daemons[daemon];
        let number = if is_first {
            listed.first()
        } else {
            listed.last()
        };
        let Some(version) = number.map(|number| version(*number)) else {
            return;
        };
        let is_doubtful = unneeded.is_doubtful(&POOL.to_owned(), version, self.now);
        if known.contains(POOL, version) && !is_doubtful {
            let until = self.now + RETENTION - Duration::from_secs(60);
            self.streams.insert(version, until);
        }
    }

    /// Whether what a read names agrees with all streams that can be resumed.
    fn is_right(&self) -> bool {
        let named = self.read().only_version(POOL, &self.routes, self.era);
        let began: IndexSet<_> = self.streams.keys().copied().collect();
        named.is_none_or(|version| began.iter().all(|began| *began == Some(version)))
    }
}

quickcheck! {
    /// Guards against a version that is named for streams which another one began, whatever daemons, lists and
    /// the store go through.
    fn no_wrong_version_is_named(steps: Vec<Step>) -> bool {
        let mut history = History::new();
        steps.into_iter().all(|step| {
            history.play(step);
            history.is_right()
        })
    }
}

/// Guards against records of several versions that last for ever once the old one has left.
#[test]
fn a_version_that_has_left_is_removed() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1, 2]);
    let needed = VersionsInUse::needed(&routes, [(POOL.to_owned(), version(2))]);
    let now = Instant::now();
    let mut unneeded = Unneeded::default();
    unneeded.note(&mut record, &needed, now);
    assert!(!unneeded.has_expired(now + RETENTION - Duration::from_secs(1)));
    unneeded.note(&mut record, &needed, now + RETENTION);
    assert!(unneeded.has_expired(now + RETENTION));
    unneeded.remove_expired(&mut record, now + RETENTION);
    assert_eq!(record.only_version(POOL, &routes, 0), version(2));
}

/// Guards against a version that comes back just before it would have been removed.
#[test]
fn a_version_that_comes_back_stays() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1, 2]);
    let needed = |versions: &[u8]| {
        let versions = versions.iter().map(|v| (POOL.to_owned(), version(*v)));
        VersionsInUse::needed(&routes, versions.collect::<Vec<_>>())
    };
    let now = Instant::now();
    let mut unneeded = Unneeded::default();
    unneeded.note(&mut record, &needed(&[2]), now);
    unneeded.note(&mut record, &needed(&[1, 2]), now + RETENTION / 3);
    unneeded.note(&mut record, &needed(&[2]), now + RETENTION / 2);
    unneeded.remove_expired(&mut record, now + RETENTION);
    assert!(record.contains(POOL, version(1)));
}

/// Guards against a version that another daemon has removed, and that gets streams when it comes back, before
/// it is recorded again.
#[test]
fn a_version_that_was_away_for_long_is_recorded_anew() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1, 2]);
    let needed = |versions: &[u8]| {
        let versions = versions.iter().map(|v| (POOL.to_owned(), version(*v)));
        VersionsInUse::needed(&routes, versions.collect::<Vec<_>>())
    };
    let now = Instant::now();
    let pool = POOL.to_owned();
    let mut unneeded = Unneeded::default();
    unneeded.note(&mut record, &needed(&[2]), now);
    let away = now + RETENTION / 2;
    assert!(unneeded.is_doubtful(&pool, version(1), away));
    assert!(!unneeded.is_doubtful(&pool, version(2), away));
    unneeded.note(&mut record, &needed(&[1, 2]), away);
    assert!(!record.contains(POOL, version(1)));
}

/// Guards against a version that is removed by a daemon whose list was too old to name it.
#[test]
fn a_time_without_a_list_does_not_count() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1, 2]);
    let needed = VersionsInUse::needed(&routes, [(POOL.to_owned(), version(2))]);
    let now = Instant::now();
    let mut unneeded = Unneeded::default();
    unneeded.note(&mut record, &needed, now);
    unneeded.restart(now + RETENTION / 2);
    assert!(!unneeded.has_expired(now + RETENTION));
    assert!(unneeded.has_expired(now + RETENTION * 3 / 2));
}

/// Guards against a version that is told as recorded although another daemon may have removed it.
#[test]
fn only_what_is_needed_is_told() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut record = recorded(&routes, &[1, 2]);
    let needed = VersionsInUse::needed(&routes, [(POOL.to_owned(), version(2))]);
    let mut unneeded = Unneeded::default();
    unneeded.note(&mut record, &needed, Instant::now());
    let mut learned = VersionsInUse::default();
    assert!(learned.learn(&unneeded.needed(&record)));
    assert!(learned.contains(POOL, version(2)));
    assert!(!learned.contains(POOL, version(1)));
}

/// Guards against a daemon that takes a record of an earlier era for one of the present.
#[test]
fn nothing_is_learned_of_an_earlier_era() {
    let routes = routes(vec![rule("/a", POOL)]);
    let mut known = VersionsInUse::read(None, 1, true);
    assert!(!known.learn(&recorded(&routes, &[1])));
    assert!(!known.contains(POOL, version(1)));
}
