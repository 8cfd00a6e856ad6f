//! Which words about load are believed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use lilaccrank::dispatch::sharing::{Digest, Sample, Seen, TargetLoad};
use lilaccrank::membership::{Member, State};
use lilaccrank::quota::Spent;
use lilaccrankd::peers::load_message::{Error, LoadMessage};
use quickcheck::{Gen, QuickCheck};

const HOME: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const ELSEWHERE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 9));
const CASES: u64 = 20_000;

fn member() -> Member {
    let at = |port| SocketAddr::new(HOME, port);
    Member {
        admin: at(1),
        data_centre: "portmore".to_owned(),
        gossip: at(2),
        incarnation: 5,
        peers: at(3),
        state: State::Live,
        vm: "vm1".to_owned(),
    }
}

fn message(vm: &str, incarnation: u64) -> LoadMessage {
    let load = TargetLoad {
        decode: 100,
        prefill: 2_000,
        running: 3,
        target: 77,
    };
    let seen = Seen::Step {
        batch: 4,
        step: Duration::from_millis(9),
    };
    let digest = Digest {
        loads: vec![load],
        samples: vec![Sample { seen, target: 77 }],
        ..Digest::default()
    };
    LoadMessage {
        ending: false,
        incarnation,
        pools: vec![("engines".to_owned(), digest)],
        sequence: 9,
        spent: vec![("hotel".to_owned(), Spent::default())],
        vm: vm.to_owned(),
    }
}

fn read(message: &LoadMessage, from: IpAddr) -> Result<LoadMessage, Error> {
    let datagram = rmp_serde::to_vec(message).unwrap();
    LoadMessage::read(&datagram, SocketAddr::new(from, 4_000), known)
}

fn known(vm: &String) -> Option<Member> {
    Some(member()).filter(|member| member.vm == *vm)
}

fn told(read: Result<LoadMessage, Error>) -> &'static str {
    match read {
        Ok(_) => "believed",
        Err(Error::EarlierLife { .. }) => "an earlier life",
        Err(Error::Unknown { .. }) => "unknown",
        Err(Error::Unreadable(_)) => "unreadable",
    }
}

/// Who says something, in which life and from where, and whether it is believed.
macro_rules! believed {
    ($name:ident, $vm:literal, $incarnation:literal, $from:expr, $told:literal) => {
        #[test]
        fn $name() {
            let read = read(&message($vm, $incarnation), $from);
            assert_eq!(told(read), $told);
        }
    };
}

believed!(by_a_member, "vm1", 5, HOME, "believed");
// Its start is not known here yet.
believed!(by_its_next_life, "vm1", 6, HOME, "believed");
// A datagram was held up while its sender was replaced, or is sent once more by someone: it would put
// requests on targets that ended with their daemon.
believed!(by_its_earlier_life, "vm1", 4, HOME, "an earlier life");
believed!(from_another_address, "vm1", 5, ELSEWHERE, "unknown");
believed!(by_nobody, "vm7", 5, HOME, "unknown");

// Datagrams are cut short and bytes of them are spoilt: each is read or is an error.
#[test]
fn spoilt_datagrams() {
    fn holds(changes: Vec<(usize, u8)>, cut: Option<usize>) -> bool {
        let mut datagram = rmp_serde::to_vec(&message("vm1", 5)).unwrap();
        for (at, byte) in changes {
            let at = at % datagram.len();
            datagram[at] = byte;
        }
        if let Some(cut) = cut {
            datagram.truncate(cut % datagram.len());
        }
        let from = SocketAddr::new(HOME, 4_000);
        LoadMessage::read(&datagram, from, known).map_or(true, |message| message.vm == "vm1")
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 11))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<(usize, u8)>, Option<usize>) -> bool);
}
