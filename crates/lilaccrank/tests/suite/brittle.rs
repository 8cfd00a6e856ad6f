//! Brittle targets: leases on their slots, whose slots are whose, and what a rejection changes.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use lilaccrank::cells::Cell;
use lilaccrank::dispatch::queue::Priority;
use lilaccrank::ids::VmId;
use lilaccrank::request_key::MemberRef;
use lilaccrank::slot_leases::{Arbiter, Decision, LeaseId, LeaseRequest, Release};
use quickcheck::quickcheck;

const SLOTS: u32 = 7;
const TARGET: u32 = 1;

fn holder(number: u64) -> MemberRef {
    MemberRef {
        incarnation: 1,
        vm: format!("vm{number}"),
    }
}

fn request(id: LeaseId) -> LeaseRequest {
    LeaseRequest {
        holder: holder(id),
        id,
        is_running: false,
        limit: 3,
        may_wait: true,
        priority: Priority::default(),
        slots: SLOTS,
        target: TARGET,
        term: Some(Duration::from_secs(5)),
    }
}

fn release(id: LeaseId, is_turned_away: bool) -> Release {
    Release {
        id,
        is_turned_away,
        target: TARGET,
    }
}

fn granted(arbiter: &mut Arbiter, ids: impl IntoIterator<Item = LeaseId>, now: Instant) -> usize {
    let ids = ids.into_iter();
    let decisions = ids.map(|id| arbiter.acquire(&request(id), None, now));
    decisions
        .filter(|decision| *decision == Decision::Granted)
        .count()
}

/// An arbiter whose target has turned away one of `running` requests, all of which have ended.
fn turned_away(running: u64, now: Instant) -> Arbiter {
    let mut arbiter = Arbiter::default();
    granted(&mut arbiter, 0..running, now);
    arbiter.release(&release(0, true), now);
    for id in 1..running {
        arbiter.release(&release(id, false), now);
    }
    arbiter
}

quickcheck! {
    // Guards against slots that two daemons take for their own, and slots that nobody uses.
    fn each_slot_has_one_owner(daemons: u8, target: u32) -> bool {
        let vms: IndexSet<VmId> = (0..=daemons % 60).map(|vm| format!("vm{vm}")).collect();
        let owned = vms.iter().map(|me| {
            let cell = Cell::new(&vms, me);
            let sharing = cell.cells_sharing_targets(3);
            cell.owned_slots(target, &sharing, me)
        });
        let mut all = 0_u64;
        let mut count = 0;
        for slots in owned {
            all |= slots;
            count += slots.count_ones();
        }
        all == u64::MAX && count == u64::BITS
    }

    // Guards against more requests than slots at a target, whatever the number of daemons and the order
    // in which they acquire and release.
    fn leases_never_exceed_the_slots(steps: Vec<(u8, bool)>) -> bool {
        let now = Instant::now();
        let mut arbiter = Arbiter::default();
        steps.into_iter().all(|(id, is_release)| {
            let id = LeaseId::from(id);
            match is_release {
                true => arbiter.release(&release(id, false), now),
                false => drop(arbiter.acquire(&request(id), None, now)),
            }
            arbiter.grant_waiting(now);
            arbiter.leases(TARGET) <= SLOTS as usize
        })
    }
}

/// Takes the number of daemons that ask at the same moment. Guards against daemons that all take the last
/// slots before they hear of each other.
macro_rules! slots_bound_daemons {
    ($name:ident, $daemons:literal) => {
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut arbiter = Arbiter::default();
            let granted = granted(&mut arbiter, 0..$daemons, now);
            assert_eq!(granted, SLOTS.min($daemons) as usize);
            arbiter.release(&release(0, false), now);
            let waiting = arbiter.grant_waiting(now).len();
            assert_eq!(waiting, usize::from($daemons > SLOTS));
        }
    };
}

slots_bound_daemons!(four_daemons_get_no_more_than_the_slots, 4);
slots_bound_daemons!(sixteen_daemons_get_no_more_than_the_slots, 16);
slots_bound_daemons!(seventy_five_daemons_get_no_more_than_the_slots, 75);

// Guards against an arbiter that has just taken over and leases out slots that others use.
#[test]
fn an_arbiter_that_does_not_know_all_leases_declines() {
    let now = Instant::now();
    let settled_at = now + Duration::from_secs(1);
    let mut arbiter = Arbiter::default();
    let decision = arbiter.acquire(&request(1), Some(settled_at), now);
    assert_eq!(decision, Decision::Declined(Duration::from_secs(1)));
    let running = LeaseRequest {
        is_running: true,
        ..request(2)
    };
    let decision = arbiter.acquire(&running, Some(settled_at), now);
    assert_eq!(decision, Decision::Granted);
    assert_eq!(granted(&mut arbiter, 10..30, settled_at), 6);
}

// Guards against further rejections right after one, and against a target that is left for longer than
// needed.
#[test]
fn a_rejection_holds_back_for_a_part_of_a_second() {
    let now = Instant::now();
    let after = Duration::from_millis;
    let mut once = turned_away(7, now);
    assert_eq!(granted(&mut once, [10], now + after(300)), 0);
    assert_eq!(granted(&mut once, [10], now + after(340)), 1);
    let mut twice = Arbiter::default();
    granted(&mut twice, 0..7, now);
    twice.release(&release(0, true), now);
    twice.release(&release(1, true), now + after(10));
    assert_eq!(granted(&mut twice, [10], now + after(600)), 0);
    twice.release(&release(2, false), now + after(600));
    assert_eq!(granted(&mut twice, [10], now + after(680)), 1);
}

// Guards against a target with less room than slots that is filled to its slots again and again.
#[test]
fn room_is_learnt_from_a_rejection_and_tried_again_later() {
    let now = Instant::now();
    let held = now + Duration::from_secs(1);
    assert_eq!(granted(&mut turned_away(5, now), 10..30, held), 4);
    let later = now + Duration::from_secs(2);
    assert_eq!(granted(&mut turned_away(5, now), 10..30, later), 5);
}

// Guards against slots that stay taken after their daemon has died, or after a release that was lost.
#[test]
fn leases_end_with_their_holder_and_their_term() {
    let now = Instant::now();
    let mut arbiter = Arbiter::default();
    granted(&mut arbiter, 0..4, now);
    arbiter.retain_holders(|alive| *alive != holder(2));
    assert_eq!(arbiter.leases(TARGET), 3);
    arbiter.expire(now + Duration::from_secs(5));
    assert_eq!(arbiter.leases(TARGET), 0);
    assert!(arbiter.is_empty());
}

// Guards against urgent requests that wait behind bulk for a slot.
#[test]
fn the_first_in_priority_gets_the_free_slot() {
    let now = Instant::now();
    let mut arbiter = Arbiter::default();
    granted(&mut arbiter, 0..7, now);
    let bulk = LeaseRequest {
        priority: Priority { rank: 0, tier: 2 },
        ..request(10)
    };
    for req in [bulk, request(11)] {
        assert_eq!(arbiter.acquire(&req, None, now), Decision::Queued);
    }
    arbiter.release(&release(3, false), now);
    let granted = arbiter.grant_waiting(now);
    assert_eq!(
        granted.iter().map(|granted| granted.id).collect::<Vec<_>>(),
        [11]
    );
}

// Guards against requests that wait without bound at a target that is full.
#[test]
fn no_more_wait_than_there_are_slots() {
    let now = Instant::now();
    let mut arbiter = Arbiter::default();
    granted(&mut arbiter, 0..7, now);
    let decisions: Vec<_> = (10..18)
        .map(|id| arbiter.acquire(&request(id), None, now))
        .collect();
    assert!(
        decisions[..7]
            .iter()
            .all(|decision| *decision == Decision::Queued)
    );
    assert!(matches!(decisions[7], Decision::Declined(_)));
}
