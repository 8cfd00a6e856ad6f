//! Records of streams in the store: what is read after a restart agrees with what began, or is missing.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::software_version::{Origin, VersionDigest};
use lilaccrank::store_revision::Era;
use lilaccrank::stream_origins::{
    Outcome, ReadRecords, Record, RecordLog, RecordedOrigin, SLOTS, StoredRecords, StreamId, Write,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Time for which records are kept.
const TTL: Duration = Duration::from_secs(20);

fn id(number: usize) -> StreamId {
    StreamId::new("hotel", "engines", &number.to_string())
}

fn origin(version: u8) -> RecordedOrigin {
    let origin = match version {
        0 => Origin::Unknown,
        number => Origin::At(VersionDigest::new(&format!("v{number}"))),
    };
    RecordedOrigin::new(origin, &format!("t{version}"))
}

fn record(number: usize, version: u8) -> Record {
    Record::new(id(number), origin(version), TTL)
}

/// The objects of one daemon in the store.
#[derive(Default)]
struct Objects(IndexMap<usize, StoredRecords>);

impl Objects {
    fn apply(&mut self, write: &Write) -> Outcome {
        if write.is_new && self.0.contains_key(&write.slot) {
            return Outcome::Exists;
        }
        self.0.insert(write.slot, write.records.clone());
        Outcome::Done
    }

    /// Writes all that is unsaved.
    fn save(&mut self, log: &mut RecordLog, now: Instant) {
        while let Some(write) = log.next_write(0, now) {
            let outcome = self.apply(&write);
            log.note(&write, outcome);
        }
    }

    fn read(&self, era: Era, now: Instant) -> ReadRecords {
        ReadRecords::new(self.0.values(), era, now)
    }
}

/// Guards against records that are lost between the store and a daemon that has started again.
#[test]
fn what_was_written_is_read() {
    let now = Instant::now();
    let mut log = RecordLog::default();
    let mut objects = Objects::default();
    for number in 0..500 {
        log.push(record(number, 1 + (number % 2) as u8), now);
        if number % 7 == 0 {
            objects.save(&mut log, now);
        }
    }
    objects.save(&mut log, now);
    let read = objects.read(0, now);
    for number in 0..500 {
        let expected = [origin(1 + (number % 2) as u8)];
        assert_eq!(read.find(id(number), now), expected);
    }
    assert_eq!(read.len(), 500);
    assert!(read.find(id(500), now).is_empty());
    assert!(read.find(id(0), now + TTL).is_empty());
}

/// Guards against writes that grow with all streams of a daemon: 31 begin in a second, three writes are made.
#[test]
fn a_write_is_small() {
    let mut now = Instant::now();
    let mut log = RecordLog::default();
    let mut objects = Objects::default();
    let mut bytes = 0;
    for number in 0..31 * 60 {
        now += Duration::from_secs(1) / 31;
        log.push(record(number, 1), now);
        if number % 10 == 0 {
            let write = log.next_write(0, now).unwrap();
            bytes += serde_json::to_vec(&write.records).unwrap().len();
            let outcome = objects.apply(&write);
            log.note(&write, outcome);
        }
    }
    assert!(bytes < 60 * 3_000, "{bytes}");
    assert!(objects.0.len() <= SLOTS);
}

/// Guards against an object of an earlier process that is overwritten while its streams can be resumed.
#[test]
fn earlier_objects_stay() {
    let now = Instant::now();
    let mut objects = Objects::default();
    let mut log = RecordLog::default();
    log.push(record(0, 1), now);
    objects.save(&mut log, now);
    let mut log = RecordLog::default();
    for (slot, records) in &objects.0 {
        log.occupy(*slot, records.ttl(), now);
    }
    (1..500).for_each(|number| log.push(record(number, 2), now));
    objects.save(&mut log, now);
    assert_eq!(objects.read(0, now).find(id(0), now), [origin(1)]);
}

/// Guards against a ring that stops once it is full, after its streams have ended.
#[test]
fn objects_are_used_again() {
    let now = Instant::now();
    let mut objects = Objects::default();
    let mut log = RecordLog::default();
    for number in 0..3 * SLOTS * 32 {
        log.push(record(number, 1), now);
        objects.save(&mut log, now);
    }
    assert_eq!(objects.0.len(), SLOTS);
    let later = now + TTL;
    log.push(record(10_000, 2), later);
    objects.save(&mut log, later);
    assert_eq!(objects.read(0, later).find(id(10_000), later), [origin(2)]);
}

/// Guards against objects that another writer or a broken one has put there.
#[test]
fn what_is_no_record_is_left_out() {
    let now = Instant::now();
    for text in [
        r#"{"streams":[[1,"zz"]],"ttl_ms":1000}"#,
        r#"{"streams":[[1,"00000000000000010000000"]],"ttl_ms":1000}"#,
        r#"{"streams":[[1,"äääääääääääää"]],"ttl_ms":1000}"#,
        "{}",
    ] {
        let records: StoredRecords = serde_json::from_str(text).unwrap();
        assert!(ReadRecords::new([&records], 0, now).is_empty(), "{text}");
    }
}

/// What happens in a history of one daemon and its objects.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A stream begins, or its origin is contradicted.
    Push(u8, u8),
    /// A write, of which the outcome is one of these.
    Write(Fate),
    /// A write that was late comes now.
    Late,
    /// The daemon starts again.
    Restart,
    /// The store comes back from an older copy.
    Restore,
    /// Seconds pass.
    Wait(u8),
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    Refused,
    /// The answer is lost.
    Unanswered,
    /// It is executed later.
    Late,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..6 => Self::Push(u8::arbitrary(g) % 8, u8::arbitrary(g) % 3),
            6..11 => {
                let fates = [
                    Fate::Done,
                    Fate::Done,
                    Fate::Refused,
                    Fate::Unanswered,
                    Fate::Late,
                ];
                Self::Write(*g.choose(&fates).unwrap())
            }
            11..13 => Self::Late,
            13 => Self::Restart,
            14 => Self::Restore,
            _ => Self::Wait(u8::arbitrary(g) % 24),
        }
    }
}

struct History {
    copy: IndexMap<usize, StoredRecords>,
    era: Era,
    /// A write that comes later.
    late: Option<(Write, Era)>,
    log: RecordLog,
    now: Instant,
    objects: Objects,
    /// All that was recorded of each stream, and what the store has acknowledged of it in this era.
    recorded: IndexMap<u8, Vec<u8>>,
    acknowledged: IndexMap<u8, Vec<(u8, Instant)>>,
    /// What was pushed since the last write that succeeded.
    unsaved: Vec<(u8, u8, Instant)>,
}

impl History {
    fn new() -> Self {
        Self {
            copy: IndexMap::new(),
            era: 0,
            late: None,
            log: RecordLog::default(),
            now: Instant::now(),
            objects: Objects::default(),
            recorded: IndexMap::new(),
            acknowledged: IndexMap::new(),
            unsaved: Vec::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Push(stream, version) => {
                self.log.push(record(stream.into(), version), self.now);
                self.recorded.entry(stream).or_default().push(version);
                self.unsaved.push((stream, version, self.now + TTL));
            }
            Step::Write(fate) => self.write(fate),
            Step::Late => {
                if let Some((write, era)) = self.late.take()
                    && era == self.era
                {
                    self.objects.apply(&write);
                }
            }
            Step::Restart => {
                self.log = RecordLog::default();
                for (slot, records) in &self.objects.0 {
                    self.log.occupy(*slot, records.ttl(), self.now);
                }
                self.unsaved.clear();
                self.late = None;
            }
            Step::Restore => {
                std::mem::swap(&mut self.copy, &mut self.objects.0);
                self.era += 1;
                self.acknowledged.clear();
                self.unsaved.clear();
                self.log = RecordLog::default();
            }
            Step::Wait(seconds) => self.now += Duration::from_secs(seconds.into()),
        }
    }

    fn write(&mut self, fate: Fate) {
        let Some(write) = self.log.next_write(self.era, self.now) else {
            return;
        };
        let outcome = match fate {
            Fate::Done => self.objects.apply(&write),
            Fate::Refused => Outcome::NotDone,
            Fate::Unanswered => {
                self.objects.apply(&write);
                Outcome::Unknown
            }
            Fate::Late => {
                self.late = Some((write.clone(), self.era));
                Outcome::Unknown
            }
        };
        self.log.note(&write, outcome);
        if outcome == Outcome::Done {
            for (stream, version, until) in self.unsaved.drain(..) {
                let known = self.acknowledged.entry(stream).or_default();
                known.push((version, until));
            }
        }
    }

    /// Whether what is read was recorded, and lacks nothing that the store has acknowledged.
    fn is_right(&self) -> bool {
        let read = self.objects.read(self.era, self.now);
        let is_true = |stream: &u8| {
            let all = self.recorded.get(stream);
            let found = read.find(id((*stream).into()), self.now).iter();
            let mut found = found.clone();
            found.all(|found| all.is_some_and(|all| all.iter().any(|v| origin(*v) == *found)))
        };
        let is_whole = |(stream, known): (&u8, &Vec<(u8, Instant)>)| {
            let found = read.find(id((*stream).into()), self.now);
            let mut live = known.iter().filter(|(_, until)| self.now < *until);
            live.all(|(version, _)| found.contains(&origin(*version)))
        };
        (0..8).all(|stream| is_true(&stream)) && self.acknowledged.iter().all(is_whole)
    }
}

quickcheck! {
    /// Guards against records that are lost or replaced by older ones, so that one that contradicts another is
    /// missing: writes whose answer is lost, or that come late, restarts, and a store from an older copy.
    fn what_the_store_acknowledged_is_read(steps: Vec<Step>) -> bool {
        let mut history = History::new();
        steps.into_iter().all(|step| {
            history.play(step);
            history.is_right()
        })
    }
}
