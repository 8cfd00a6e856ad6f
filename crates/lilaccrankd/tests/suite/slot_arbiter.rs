//! The arbiter of a brittle target right after it has become it.

use std::rc::Rc;
use std::thread;
use std::time::Duration;

use lilaccrank::dispatch::queue::Priority;
use lilaccrank::request_key::MemberRef;
use lilaccrank::slot_leases::{Decision, LeaseId, LeaseRequest};
use lilaccrank_http::runtime;
use lilaccrankd::peers::message::{SlotReply, SlotRequest};
use lilaccrankd::pools::slot_leases;

use super::fixtures;

/// When the arbiter stands still, and for how long: longer than it waits for registrations.
const RUNS: Duration = Duration::from_millis(100);
const STANDS_STILL: Duration = Duration::from_millis(1_200);

fn acquire(id: LeaseId) -> SlotRequest {
    SlotRequest::Acquire(LeaseRequest {
        holder: MemberRef {
            incarnation: 1,
            vm: "vm2".to_owned(),
        },
        id,
        is_running: false,
        limit: 3,
        may_wait: false,
        priority: Priority::default(),
        slots: 1,
        target: 7,
        term: None,
    })
}

/// Guards against slots that are leased twice, since what their holders registered lies unread.
#[test]
fn a_standstill_is_no_time_to_register() {
    let (unread, settled) = runtime::block_on(async {
        let daemon = fixtures::daemon();
        monoio::spawn(slot_leases::run(Rc::clone(&daemon)));
        monoio::time::sleep(RUNS).await;
        thread::sleep(STANDS_STILL);
        let unread = slot_leases::handle(&daemon, acquire(1));
        monoio::time::sleep(STANDS_STILL).await;
        (unread, slot_leases::handle(&daemon, acquire(2)))
    })
    .unwrap();
    let declined = matches!(unread, SlotReply::Decided(Decision::Declined(_)));
    assert!(declined, "{unread:?}");
    let granted = matches!(settled, SlotReply::Decided(Decision::Granted));
    assert!(granted, "{settled:?}");
}
