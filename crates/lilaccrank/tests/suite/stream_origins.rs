//! Records of where streams began: what they permit, and that they outlive changes of the members.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::document::Target;
use lilaccrank::ids::VmId;
use lilaccrank::request_key::MemberRef;
use lilaccrank::software_version::{Origin, VersionDigest};
use lilaccrank::stream_origins::{
    COPIES, MAX_TTL, MissLimit, Outbox, Record, RecordedOrigin, StreamId, StreamOrigins,
};
use quickcheck::quickcheck;

/// Time for which records are kept.
const TTL: Duration = Duration::from_secs(20);
/// Streams of a test.
const STREAMS: usize = 50;

fn version(name: &str) -> VersionDigest {
    VersionDigest::new(name)
}

fn id(number: usize) -> StreamId {
    StreamId::new("hotel", "engines", &number.to_string())
}

fn recorded(origin: Origin) -> RecordedOrigin {
    RecordedOrigin::new(origin, "t0")
}

fn record(number: usize, origin: Origin) -> Record {
    Record::new(id(number), recorded(origin), TTL)
}

/// An origin, a version, and whether a target with it may go on.
macro_rules! permits {
    ($($name:ident: $origin:expr, $version:expr, $permits:literal;)*) => {$(
        #[test]
        fn $name() {
            let (origin, version): (Origin, Option<VersionDigest>) = ($origin, $version);
            assert_eq!(origin.permits(version), $permits);
            // What goes on elsewhere has no single version any more.
            let is_unknown = origin.after(version) == Origin::Unknown;
            assert_eq!(is_unknown, !$permits || version.is_none());
        }
    )*};
}

permits! {
    a_new_stream_begins_anywhere: Origin::New, Some(version("v1")), true;
    a_new_stream_may_begin_at_an_unknown_version: Origin::New, None, true;
    a_stream_goes_on_at_its_version: Origin::At(version("v1")), Some(version("v1")), true;
    a_stream_does_not_go_on_at_another: Origin::At(version("v1")), Some(version("v2")), false;
    an_unknown_version_is_not_the_streams: Origin::At(version("v1")), None, false;
    an_unknown_origin_is_no_version: Origin::Unknown, Some(version("v1")), false;
    two_unknown_versions_are_not_the_same: Origin::Unknown, None, false;
}

/// Guards against records that need more than control traffic has: 7,000 bytes a second, of which an
/// idle daemon of 64 uses 1,445, for 31 streams a second that are sent to two owners and received from
/// as many daemons.
#[test]
fn a_record_fits_into_the_budget_of_control() {
    let streams_per_s = 31;
    let budget = (7_000 - 1_445) / (2 * COPIES * streams_per_s);
    let record = Record::new(id(0), recorded(Origin::At(version("v1"))), MAX_TTL);
    let datagram = 1 + rmp_serde::to_vec(&[record]).unwrap().len();
    assert!(datagram <= budget, "{datagram} > {budget}");
}

/// Guards against one customer's request id, or that of another pool, naming another's stream.
#[test]
fn streams_are_named_by_customer_pool_and_request() {
    let ids = [
        StreamId::new("a", "b", "c"),
        StreamId::new("ab", "", "c"),
        StreamId::new("a", "bc", ""),
        StreamId::new("a", "x", "c"),
        StreamId::new("x", "b", "c"),
    ];
    for (index, id) in ids.iter().enumerate() {
        assert!(!ids[index + 1..].contains(id));
    }
}

/// Guards against a request id that began streams at two versions.
#[test]
fn two_origins_are_none() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for name in ["v1", "v2", "v1"] {
        origins.insert_copy(record(0, Origin::At(version(name))), now);
    }
    assert_eq!(origins.find(id(0), now), Some(recorded(Origin::Unknown)));
}

/// Guards against records that are kept for ever, and against one that is found after its time.
#[test]
fn records_end() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.insert_own(record(0, Origin::At(version("v1"))), now);
    let long = Record::new(id(1), recorded(Origin::At(version("v1"))), 10 * MAX_TTL);
    origins.insert_copy(long, now);
    assert_eq!(origins.find(id(0), now + TTL), None);
    origins.expire(now + TTL);
    assert_eq!(origins.len(), 1);
    origins.expire(now + MAX_TTL);
    assert!(origins.is_empty());
}

/// Guards against a record that was made by an old list: the process that sent the events may have had
/// the version that the list names now.
#[test]
fn a_list_contradicts_a_record() {
    let target = |id: &str, version: Option<&str>| Target {
        id: id.to_owned(),
        version: version.map(str::to_owned),
        ..Target::default()
    };
    let recorded = recorded(Origin::At(version("v1")));
    let of = |version| recorded.by_list(&[target("t1", Some("v2")), target("t0", version)]);
    assert_eq!(of(Some("v1")), Origin::At(version("v1")));
    assert_eq!(of(Some("v2")), Origin::Unknown);
    assert_eq!(of(None), Origin::Unknown);
    assert_eq!(recorded.by_list(&[]), Origin::At(version("v1")));
}

/// Guards against a table that grows with what callers begin.
#[test]
fn records_are_bounded() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        origins.insert_copy(record(number, Origin::At(version("v1"))), now);
    }
    assert!(origins.len() < 33_000);
    origins.insert_copy(record(50_000, Origin::At(version("v1"))), now + TTL);
    assert_eq!(origins.len(), 1);
}

/// Guards against a customer who names streams that nobody began, a thousand a second: daemons ask for
/// few of them, and for those of other customers as before.
#[test]
fn misses_are_limited_by_customer() {
    let now = Instant::now();
    let mut limit = MissLimit::default();
    let second = Duration::from_secs(1);
    let asked = |limit: &mut MissLimit, customer: &str, at| {
        (0..1_000)
            .filter(|_| {
                let is_allowed = limit.allows(customer, at);
                if is_allowed {
                    limit.record(customer, at);
                }
                is_allowed
            })
            .count()
    };
    assert!((1..=20).contains(&asked(&mut limit, "loud", now)));
    assert!(limit.allows("quiet", now));
    assert!((1..=20).contains(&asked(&mut limit, "loud", now + second)));
    // Customers are counted up to a bound; those beyond it are asked for.
    for number in 0..5_000 {
        limit.record(&number.to_string(), now + second);
    }
    assert!(!limit.allows("loud", now + second));
    assert!(limit.allows("quiet", now + second));
}

/// Daemons with their records, all of which see each change of the members.
#[derive(Default)]
struct Fleet {
    daemons: IndexMap<VmId, (u64, StreamOrigins)>,
    incarnation: u64,
}

impl Fleet {
    /// Seven daemons that have begun streams.
    fn with_streams() -> Self {
        let mut fleet = Self::default();
        (0..7).for_each(|vm| fleet.start(vm));
        for number in 0..STREAMS {
            fleet.begin(number % 7, record(number, Origin::At(version("v1"))));
        }
        fleet
    }

    fn start(&mut self, vm: usize) {
        self.incarnation += 1;
        let daemon = (self.incarnation, StreamOrigins::default());
        self.daemons.insert(format!("vm{vm}"), daemon);
        self.members_changed();
    }

    fn kill(&mut self, vm: usize) {
        self.daemons.swap_remove(&format!("vm{vm}"));
        self.members_changed();
    }

    fn members_changed(&mut self) {
        let members = self.daemons.iter().map(|(vm, (incarnation, _))| MemberRef {
            incarnation: *incarnation,
            vm: vm.clone(),
        });
        let members: Vec<_> = members.collect();
        let now = Instant::now();
        let daemons = self.daemons.values_mut();
        let outboxes: Vec<_> = daemons
            .map(|(_, origins)| origins.set_members(members.clone(), now))
            .collect();
        outboxes
            .into_iter()
            .for_each(|outbox| self.deliver(&outbox));
    }

    fn deliver(&mut self, outbox: &Outbox) {
        let now = Instant::now();
        for (owner, records) in outbox {
            if let Some((_, origins)) = self.daemons.get_mut(&owner.vm) {
                records
                    .iter()
                    .for_each(|record| origins.insert_copy(*record, now));
            }
        }
    }

    fn begin(&mut self, vm: usize, record: Record) {
        let now = Instant::now();
        let (_, origins) = &mut self.daemons[&format!("vm{vm}")];
        origins.insert_own(record, now);
        let outbox = origins.take_unsent(now);
        self.deliver(&outbox);
    }

    /// Whether one of the owners has the record.
    fn owners_know(&self, id: StreamId) -> bool {
        let owners = id.owners(self.daemons.keys(), COPIES);
        let now = Instant::now();
        let mut known = owners.iter().map(|vm| self.daemons[*vm].1.find(id, now));
        known.any(|known| known == Some(recorded(Origin::At(version("v1")))))
    }
}

quickcheck! {
    /// Guards against records that are lost while daemons are restarted one after the other, in any
    /// order and number.
    fn records_outlive_restarts(order: Vec<u8>) -> bool {
        let mut fleet = Fleet::with_streams();
        for vm in order.iter().map(|vm| usize::from(*vm % 7)) {
            fleet.kill(vm);
            fleet.start(vm);
        }
        (0..STREAMS).all(|number| fleet.owners_know(id(number)))
    }

    /// Guards against records that are lost with the members that leave for good.
    fn records_outlive_all_but_two(order: Vec<u8>) -> bool {
        let mut fleet = Fleet::with_streams();
        for vm in order.iter().map(|vm| usize::from(*vm % 5)) {
            fleet.kill(vm);
        }
        (0..STREAMS).all(|number| fleet.owners_know(id(number)))
    }
}
