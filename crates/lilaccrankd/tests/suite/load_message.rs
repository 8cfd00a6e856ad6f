//! Which load messages are accepted.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use lilaccrank::cells::CellId;
use lilaccrank::dispatch::sharing::{Digest, Observation, Sample, TargetLoad};
use lilaccrank::membership::{Member, State};
use lilaccrank::quota::{CellDemand, Spent};
use lilaccrankd::peers::load_message::{self, Error, LoadMessage};
use quickcheck::{Gen, QuickCheck};

/// Address of the member, and another one.
const MEMBER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 3);
const OTHER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9)), 3);
const CASES: u64 = 20_000;

fn member() -> Member {
    let at = |port| SocketAddr::new(MEMBER_ADDRESS.ip(), port);
    Member {
        admin: at(1),
        data_centre: "portmore".to_owned(),
        gossip: at(2),
        incarnation: 5,
        peers: MEMBER_ADDRESS,
        state: State::Live,
        vm: "vm1".to_owned(),
    }
}

fn message(incarnation: u64) -> LoadMessage {
    let load = TargetLoad {
        prefill: 2_000,
        running: 3,
        target: 77,
    };
    let observation = Observation::Step {
        batch: 4,
        step: Duration::from_millis(9),
    };
    let digest = Digest {
        loads: vec![load],
        samples: vec![Sample {
            observation,
            target: 77,
        }],
        ..Digest::default()
    };
    let rates = vec![(load_message::customer_digest("hotel"), 3_000)];
    LoadMessage {
        advisories: Vec::new(),
        cell_demand: Some(CellDemand {
            cell: CellId { count: 4, index: 1 },
            members: 9,
            rates,
        }),
        ending: false,
        incarnation,
        pools: vec![(load_message::pool_digest("engines"), digest)],
        sequence: 9,
        spent: vec![(load_message::customer_digest("hotel"), Spent::default())],
    }
}

fn read(message: &LoadMessage, from: SocketAddr) -> Result<LoadMessage, Error> {
    let datagram = rmp_serde::to_vec(message).unwrap();
    let (vm, message) = LoadMessage::read(&datagram, from, known)?;
    assert_eq!(vm, "vm1");
    Ok(message)
}

fn known(from: SocketAddr) -> Option<Member> {
    Some(member()).filter(|member| member.peers == from)
}

fn outcome(read: Result<LoadMessage, Error>) -> &'static str {
    match read {
        Ok(_) => "accepted",
        Err(Error::StaleIncarnation { .. }) => "stale incarnation",
        Err(Error::UnknownSender { .. }) => "unknown sender",
        Err(Error::Unreadable(_)) => "unreadable",
    }
}

/// Incarnation and address of a sender, and whether its message is accepted.
macro_rules! read_from {
    ($name:ident, $incarnation:literal, $from:expr, $outcome:literal) => {
        #[test]
        fn $name() {
            let read = read(&message($incarnation), $from);
            assert_eq!(outcome(read), $outcome);
        }
    };
}

read_from!(accepts_a_member, 5, MEMBER_ADDRESS, "accepted");
// The restart of the member is not known here yet.
read_from!(accepts_a_later_incarnation, 6, MEMBER_ADDRESS, "accepted");
// Guards against a datagram that was delayed while its sender was replaced, or that was replayed:
// it would count requests on targets that ended with their daemon.
read_from!(
    rejects_an_earlier_incarnation,
    4,
    MEMBER_ADDRESS,
    "stale incarnation"
);
read_from!(
    rejects_an_unknown_address,
    5,
    OTHER_ADDRESS,
    "unknown sender"
);

// Truncated and corrupted datagrams are either decoded or rejected.
#[test]
fn corrupted_datagrams_are_read_or_rejected() {
    fn holds(changes: Vec<(usize, u8)>, cut: Option<usize>) -> bool {
        let mut datagram = rmp_serde::to_vec(&message(5)).unwrap();
        for (at, byte) in changes {
            let at = at % datagram.len();
            datagram[at] = byte;
        }
        if let Some(cut) = cut {
            datagram.truncate(cut % datagram.len());
        }
        LoadMessage::read(&datagram, MEMBER_ADDRESS, known).map_or(true, |(vm, _)| vm == "vm1")
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 11))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<(usize, u8)>, Option<usize>) -> bool);
}

// Each daemon receives about a hundred of these messages a second. With ids instead of digests, the
// messages of seven daemons would cost more than the requests that they forward.
#[test]
fn encoded_message_is_small() {
    let mut message = message(1_790_000_000_000);
    let load = message.pools[0].1.loads[0];
    message.pools[0].1.loads = vec![load; 4];
    let size = rmp_serde::to_vec(&message).unwrap().len();
    assert!(size <= 120, "{size}");
    let read = read(&message, MEMBER_ADDRESS).unwrap();
    assert_eq!(read, message);
}
