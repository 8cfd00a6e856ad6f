//! Propagation of facts between daemons, and the quarantines derived from them.

use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use lilaccrank::advisories::recent::RecentContents;
use lilaccrank::advisories::record::QuarantineRecord;
use lilaccrank::advisories::sync::{self, Cursors, Page, Pull};
use lilaccrank::advisories::{Advisories, Advisory, CAPACITY, Fact, LIFETIME, QUARANTINE_CRASHES};
use lilaccrank::ids::VmId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const CONTENT: u64 = 7;

fn crash(content: u64, target: u32) -> Fact {
    Fact::Crash { content, target }
}

fn crashed(targets: u32, now: Instant) -> Advisories {
    let mut known = Advisories::default();
    for target in 0..targets {
        known.note(crash(CONTENT, target), now);
    }
    known
}

/// Tests whether the content is quarantined after these facts.
macro_rules! quarantine {
    ($name:ident, $facts:expr, $expected:literal) => {
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut known = Advisories::default();
            for fact in $facts {
                known.note(fact, now);
            }
            assert_eq!(
                known.quarantine_remaining(CONTENT, now).is_some(),
                $expected
            );
        }
    };
}

const COMPLETED: Fact = Fact::Completed { content: CONTENT };

quarantine!(two_crashes, [crash(7, 1), crash(7, 2)], false);
quarantine!(three_crashes, [crash(7, 1), crash(7, 2), crash(7, 3)], true);
quarantine!(
    one_target_three_times,
    [crash(7, 1), crash(7, 1), crash(7, 1)],
    false
);
quarantine!(
    other_contents,
    [crash(7, 1), crash(8, 2), crash(9, 3)],
    false
);
quarantine!(
    completed_before_the_third,
    [crash(7, 1), crash(7, 2), COMPLETED, crash(7, 3)],
    false
);
quarantine!(
    completed_after_the_third,
    [crash(7, 1), crash(7, 2), crash(7, 3), COMPLETED],
    false
);

// A request that one version of a target completes may crash the next version. Crashes after the
// completion count; a late report of the completion must not clear them.
#[test]
fn crashes_are_counted_anew_after_a_completion() {
    let now = Instant::now();
    let mut known = crashed(2, now);
    known.note(COMPLETED, now + Duration::from_secs(1));
    let later = now + Duration::from_secs(2);
    for target in 10..12 {
        known.note(crash(CONTENT, target), later);
    }
    assert_eq!(known.quarantine_remaining(CONTENT, later), None);
    known.note(crash(CONTENT, 12), later);
    assert!(known.quarantine_remaining(CONTENT, later).is_some());
    let late = Advisory {
        age_ms: 1_500,
        fact: COMPLETED,
    };
    known.merge(&[late], later);
    assert!(
        known.quarantine_remaining(CONTENT, later).is_some(),
        "a completion before the crashes cleared the quarantine"
    );
}

#[test]
fn stored_quarantine_keeps_its_expiry() {
    let now = Instant::now();
    let mut known = Advisories::default();
    assert!(known.note_stored_quarantine(CONTENT, LIFETIME / 2, now));
    assert!(!known.note_stored_quarantine(CONTENT, LIFETIME / 2, now));
    assert_eq!(known.quarantine_remaining(CONTENT, now), Some(LIFETIME / 2));
    assert_eq!(known.quarantined(now), [(CONTENT, LIFETIME / 2)]);
    assert_eq!(
        known.quarantine_remaining(CONTENT, now + LIFETIME / 2),
        None
    );
    let mut other = Advisories::default();
    other.merge(&known.take_updates(8, now), now);
    assert!(other.quarantine_remaining(CONTENT, now).is_some());
}

#[test]
fn completion_clears_a_stored_quarantine() {
    let now = Instant::now();
    let mut known = Advisories::default();
    known.note_stored_quarantine(CONTENT, Duration::from_secs(1), now);
    known.note(COMPLETED, now);
    assert_eq!(known.quarantine_remaining(CONTENT, now), None);
    assert!(!known.note_stored_quarantine(CONTENT, Duration::from_secs(2), now));
}

fn recorded(record: &QuarantineRecord, now: SystemTime) -> Vec<(u64, Duration)> {
    record.current(now).collect()
}

#[test]
fn record_keeps_unexpired_entries() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let mut record = QuarantineRecord::default();
    let age = Duration::from_secs(5);
    record.add(&[(CONTENT, age), (8, Duration::ZERO)], now);
    let later = now + LIFETIME - age;
    assert_eq!(
        recorded(&record, now),
        [(8, Duration::ZERO), (CONTENT, age)]
    );
    assert_eq!(recorded(&record, later), [(8, LIFETIME - age)]);
    record.add(&[(9, Duration::ZERO)], later);
    let text = serde_json::to_string(&record).unwrap();
    assert!(!text.contains(&format!("{CONTENT:016x}")), "{text}");
    assert_eq!(
        serde_json::from_str::<QuarantineRecord>(&text).unwrap(),
        record
    );
}

// The record must stay bounded, and entries that another writer garbled must be skipped.
#[test]
fn record_is_bounded_and_validated() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let mut record = QuarantineRecord::default();
    let many: Vec<_> = (0..1_000)
        .map(|content| (content, Duration::ZERO))
        .collect();
    record.add(&many, now);
    assert_eq!(recorded(&record, now).len(), 64);
    let text = r#"{"quarantines": [
        {"at_ms": 18446744073709551615, "content": "7"},
        {"at_ms": 0, "content": "8"},
        {"at_ms": 1000000000, "content": "no number"}]}"#;
    let record: QuarantineRecord = serde_json::from_str(text).unwrap();
    assert_eq!(recorded(&record, now), [(7, Duration::ZERO)]);
}

// Memory must not grow with the number of requests that callers send.
#[test]
fn completed_contents_expire() {
    let now = Instant::now();
    let after = |secs| now + Duration::from_secs(secs);
    let mut recent = RecentContents::new(now);
    recent.insert(CONTENT, now);
    assert!(recent.contains(CONTENT, after(29)));
    assert!(!recent.contains(8, after(29)));
    assert!(!recent.contains(CONTENT, after(200)));
    recent.insert(CONTENT, after(200));
    for content in 100..10_000 {
        recent.insert(content, after(201));
    }
    assert!(!recent.contains(CONTENT, after(201)));
    assert!(recent.contains(9_999, after(201)));
}

#[test]
fn quarantine_expires() {
    let now = Instant::now();
    let known = crashed(3, now);
    let almost = LIFETIME - Duration::from_secs(1);
    assert_eq!(
        known.quarantine_remaining(CONTENT, now + almost),
        Some(LIFETIME - almost)
    );
    assert_eq!(known.quarantine_remaining(CONTENT, now + LIFETIME), None);
}

#[test]
fn ages_accumulate_across_daemons() {
    let now = Instant::now();
    let mut first = crashed(3, now);
    let mut second = Advisories::default();
    let later = now + LIFETIME / 2;
    second.merge(&first.take_updates(8, later), later);
    assert_eq!(
        second.quarantine_remaining(CONTENT, later),
        Some(LIFETIME / 2)
    );
}

// Memory must not grow with the number of facts received, and a flood of facts must not evict a
// quarantine.
#[test]
fn fact_set_is_bounded() {
    let now = Instant::now();
    let mut known = crashed(3, now);
    for content in 100..100 + 3 * CAPACITY as u64 {
        known.note(crash(content, 1), now + Duration::from_millis(content));
    }
    assert_eq!(known.len(), CAPACITY);
    assert!(
        known
            .quarantine_remaining(CONTENT, now + Duration::from_secs(10))
            .is_some()
    );
}

#[test]
fn expired_facts_are_ignored() {
    let now = Instant::now();
    let mut known = Advisories::default();
    for age_ms in [LIFETIME.as_millis() as u32, u32::MAX] {
        let sent = Advisory {
            age_ms,
            fact: crash(CONTENT, 1),
        };
        assert!(known.merge(&[sent], now).is_empty());
    }
    assert!(known.is_empty());
}

#[test]
fn updates_are_repeated_up_to_the_limit() {
    let now = Instant::now();
    let mut known = crashed(3, now);
    let sent: Vec<_> = (0..5).map(|_| known.take_updates(8, now).len()).collect();
    assert_eq!(sent, [3, 3, 3, 0, 0]);
}

#[test]
fn crashes_beyond_the_threshold_are_not_propagated() {
    let now = Instant::now();
    let mut known = crashed(20, now);
    assert_eq!(known.len(), QUARANTINE_CRASHES);
    assert_eq!(known.take_updates(32, now).len(), QUARANTINE_CRASHES);
}

/// Simulated daemons that synchronize with two of them, the hubs.
struct Fleet {
    daemons: IndexMap<VmId, Daemon>,
    /// Time that each message takes.
    latency: Duration,
    now: Instant,
    rng: StdRng,
}

#[derive(Default)]
struct Daemon {
    cursors: Cursors,
    incarnation: u64,
    known: Advisories,
    sent: usize,
}

impl Fleet {
    fn new(daemons: usize, seed: u64) -> Self {
        let daemon = |number| (format!("vm-{number}"), Daemon::default());
        Self {
            daemons: (0..daemons).map(daemon).collect(),
            latency: Duration::ZERO,
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Each daemon sends a pull request to a random hub that it can reach; one reply in ten is
    /// lost.
    fn round(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        self.now += Duration::from_millis(200);
        for requester in 0..self.daemons.len() {
            let hubs = [0, 1].into_iter();
            let hubs: Vec<_> = hubs
                .filter(|hub| *hub != requester && reaches(requester, *hub))
                .collect();
            if let Some(hub) = hubs.choose(&mut self.rng).copied() {
                let is_lost = self.rng.random_bool(0.1);
                self.ask(requester, hub, is_lost);
            }
        }
    }

    fn ask(&mut self, requester: usize, hub: usize, is_lost: bool) {
        let name = format!("vm-{hub}");
        let now = self.now;
        let daemon = &mut self.daemons[requester];
        let pull = daemon.cursors.pull(&name, &daemon.known, now);
        daemon.sent += pull.pushed.len();
        let hub = &mut self.daemons[hub];
        let now = now + self.latency;
        let (page, _) = sync::answer(&pull, &mut hub.known, hub.incarnation, now);
        hub.sent += page.advisories.len();
        if !is_lost {
            let daemon = &mut self.daemons[requester];
            let now = now + self.latency;
            daemon
                .cursors
                .merge_page(&name, &page, &mut daemon.known, now);
        }
    }

    fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        self.daemons[daemon] = Daemon {
            incarnation,
            ..Daemon::default()
        };
    }

    fn note(&mut self, daemon: usize, target: u32) {
        self.note_fact(daemon, crash(CONTENT, target));
    }

    fn note_fact(&mut self, daemon: usize, fact: Fact) {
        let now = self.now;
        self.daemons[daemon].known.note(fact, now);
    }

    fn rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round(|_, _| true);
        }
    }

    /// Number of facts sent during the next rounds.
    fn sent_in(&mut self, rounds: usize) -> usize {
        let sent = |fleet: &Self| {
            fleet
                .daemons
                .values()
                .map(|daemon| daemon.sent)
                .sum::<usize>()
        };
        let before = sent(self);
        self.rounds(rounds);
        sent(self) - before
    }

    fn quarantined_count(&self) -> usize {
        let daemons = self.daemons.values();
        let is_quarantined = |daemon: &&Daemon| {
            daemon
                .known
                .quarantine_remaining(CONTENT, self.now)
                .is_some()
        };
        daemons.filter(is_quarantined).count()
    }
}

/// Number of rounds within which all daemons must know of a quarantine: three seconds.
const ROUNDS: usize = 15;

// Each of three daemons sees one crash. All daemons must learn of all three, or none would
// quarantine the content.
#[test]
fn crashes_seen_by_different_daemons_reach_all() {
    for (daemons, seed) in [(3, 1), (7, 2), (91, 3), (700, 4)] {
        let mut fleet = Fleet::new(daemons, seed);
        for target in 0..3 {
            fleet.note(daemons - 1 - target, target as u32);
        }
        for _ in 0..ROUNDS {
            fleet.round(|_, _| true);
        }
        assert_eq!(fleet.quarantined_count(), daemons);
        let sent: usize = fleet.daemons.values().map(|daemon| daemon.sent).sum();
        assert!(
            sent <= 20 * daemons,
            "{sent} facts sent among {daemons} daemons"
        );
        let before = sent;
        fleet.round(|_, _| true);
        fleet.round(|_, _| true);
        let sent: usize = fleet.daemons.values().map(|daemon| daemon.sent).sum();
        assert_eq!(sent, before, "known facts were sent again");
    }
}

// A quarantine must not be lost when both hubs, or any other daemon, restart.
#[test]
fn quarantine_survives_restarts() {
    let mut fleet = Fleet::new(7, 5);
    for target in 0..3 {
        fleet.note(4, target);
    }
    for _ in 0..ROUNDS {
        fleet.round(|_, _| true);
    }
    for daemon in [0, 1, 5] {
        fleet.restart(daemon);
    }
    for _ in 0..ROUNDS {
        fleet.round(|_, _| true);
    }
    assert_eq!(fleet.quarantined_count(), 7);
}

// Each side of a partition knows only some of the crashes. After healing, both must know all.
#[test]
fn partition_sides_converge_after_healing() {
    let mut fleet = Fleet::new(8, 6);
    let side = |daemon: usize| daemon % 2;
    for (daemon, target) in [(2, 1), (3, 2), (5, 3)] {
        fleet.note(daemon, target);
    }
    for _ in 0..ROUNDS {
        fleet.round(|a, b| side(a) == side(b));
    }
    assert_eq!(fleet.quarantined_count(), 0);
    for _ in 0..ROUNDS {
        fleet.round(|_, _| true);
    }
    assert_eq!(fleet.quarantined_count(), 8);
}

/// Latency of a message between daemons in the tests below.
const LATENCY: Duration = Duration::from_millis(3);

// A message takes time that the age of its facts does not include, so a fact that has travelled
// seems later than the original. A daemon that took it for a new fact would send it again, and all
// daemons would do so without end.
#[test]
fn completion_is_not_sent_again_after_it_has_travelled() {
    for (daemons, seed) in [(3, 1), (7, 2), (91, 3)] {
        let mut fleet = Fleet::new(daemons, seed);
        fleet.latency = LATENCY;
        fleet.note(daemons - 1, 1);
        fleet.rounds(ROUNDS);
        fleet.note_fact(daemons - 2, COMPLETED);
        fleet.rounds(ROUNDS);
        assert_eq!(fleet.sent_in(5), 0, "{daemons} daemons");
        for daemon in fleet.daemons.values() {
            assert!(!daemon.known.is_suspect(CONTENT, fleet.now));
        }
    }
}

// With each hop of an endless exchange, a completion would seem later. It would clear crashes that
// came after it, and a query of death would never be quarantined.
#[test]
fn old_completion_does_not_clear_later_crashes() {
    let mut fleet = Fleet::new(7, 4);
    fleet.latency = LATENCY;
    fleet.note(6, 0);
    fleet.rounds(ROUNDS);
    fleet.note_fact(5, COMPLETED);
    fleet.round(|_, _| true);
    for target in 1..4 {
        fleet.note(target as usize + 2, target);
    }
    for _ in 0..100 {
        fleet.round(|_, _| true);
    }
    assert_eq!(fleet.quarantined_count(), 7);
}

// A crash and a completion within one latency of each other are in either order for the daemons
// between them. They may count the crash or not, but must not exchange both without end.
#[test]
fn crash_and_completion_at_one_moment_settle() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(23, seed);
        fleet.latency = LATENCY;
        fleet.note(3, 1);
        fleet.rounds(ROUNDS);
        for daemon in 4..8 {
            fleet.note_fact(daemon, COMPLETED);
            fleet.now += Duration::from_millis(1);
            fleet.note(daemon + 4, daemon as u32);
            fleet.now += Duration::from_millis(1);
        }
        fleet.rounds(2 * ROUNDS);
        assert_eq!(fleet.sent_in(5), 0, "seed {seed}");
    }
}

// A target changes its rate limit while its answers are on the way to several daemons. A daemon may
// hear of the older limit later than of the newer one, and must not exchange both without end.
#[test]
fn rate_limits_advertised_at_one_moment_settle() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(23, seed);
        fleet.latency = LATENCY;
        for (daemon, per_1000_s) in [(5, 10_000), (6, 20_000), (7, 10_000), (8, 20_000)] {
            let per_1000_s = Some(per_1000_s);
            let target = 1;
            fleet.note_fact(daemon, Fact::RateLimit { per_1000_s, target });
            fleet.now += Duration::from_millis(1);
        }
        fleet.rounds(2 * ROUNDS);
        assert_eq!(fleet.sent_in(5), 0, "seed {seed}");
        let now = fleet.now;
        let limits = |daemon: &Daemon| daemon.known.rate_limits(now).collect::<Vec<_>>();
        let mut limits: Vec<_> = fleet.daemons.values().map(limits).collect();
        limits.dedup();
        assert_eq!(limits.len(), 1, "seed {seed}: {limits:?}");
    }
}

// Guards against a daemon that sends to a target whose answer to another daemon said that it leaves,
// and against facts that are exchanged without end.
#[test]
fn a_leaving_target_is_known_to_all() {
    let mut fleet = Fleet::new(91, 21);
    fleet.note_fact(90, Fact::Leaving { target: 7 });
    fleet.rounds(ROUNDS);
    let now = fleet.now;
    let knows = |daemon: &Daemon| daemon.known.is_leaving(7, now);
    assert!(fleet.daemons.values().all(knows));
    assert!(!fleet.daemons[0].known.is_leaving(8, now));
    assert_eq!(fleet.sent_in(2), 0);
}

// What a target said does not bind for good: nobody can ask it again.
#[test]
fn a_leaving_target_is_forgotten_in_the_end() {
    let now = Instant::now();
    let mut known = Advisories::default();
    known.note(Fact::Leaving { target: 7 }, now);
    let end = now + LIFETIME;
    assert!(known.is_leaving(7, end - Duration::from_millis(1)));
    assert!(!known.is_leaving(7, end));
    assert_eq!(known.leaving(end).count(), 0);
}

// Guards against a rolling update in which a daemon of the version before can't read the reply of a
// newer one, and hears nothing of the platform through it.
#[test]
fn daemons_of_the_version_before_get_no_facts_that_they_cannot_read() {
    let now = Instant::now();
    let mut known = Advisories::default();
    known.note(Fact::Leaving { target: 7 }, now);
    known.note(crash(CONTENT, 1), now);
    let pull = Pull::default();
    let (page, _) = sync::answer(&pull, &mut known, 1, now);
    let facts: Vec<_> = page
        .advisories
        .iter()
        .map(|advisory| advisory.fact)
        .collect();
    assert_eq!(facts, [crash(CONTENT, 1)]);
    let mut cursors = Cursors::default();
    let old = Page {
        incarnation: 1,
        ..Page::default()
    };
    for _ in 0..2 {
        let pull = cursors.pull(&"old".to_owned(), &known, now);
        let pushed = pull.pushed.iter().map(|advisory| advisory.fact);
        assert!(pushed.clone().all(|fact| fact == crash(CONTENT, 1)));
        cursors.merge_page(&"old".to_owned(), &old, &mut known, now);
    }
}

// A fact that was held back until the peer had said what it reads is pushed then.
#[test]
fn a_leaving_target_is_pushed_once_the_peer_has_replied() {
    let now = Instant::now();
    let mut known = Advisories::default();
    known.note(Fact::Leaving { target: 7 }, now);
    let (mut cursors, mut peer) = (Cursors::default(), Advisories::default());
    let name = "new".to_owned();
    for _ in 0..2 {
        let pull = cursors.pull(&name, &known, now);
        let (page, _) = sync::answer(&pull, &mut peer, 1, now);
        cursors.merge_page(&name, &page, &mut known, now);
    }
    assert!(peer.is_leaving(7, now));
}
