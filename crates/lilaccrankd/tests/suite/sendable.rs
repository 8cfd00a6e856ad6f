//! Whether the sender may still send to the target that it was granted.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Document, Pool, Target, TargetState};
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank_http::runtime;
use lilaccrankd::callers::refusal::Refusal;
use lilaccrankd::daemon::Daemon;
use lilaccrankd::targets::lapsed::{self, Missing};
use lilaccrankd::targets::live_list::Listing;
use lilaccrankd::targets::sendable;
use lilaccrankd::targets::transport::{self, Check};

use super::fixtures;

const POOL: &str = "engines";

fn target(id: &str, state: TargetState) -> Target {
    Target {
        address: "10.0.0.1:9000".to_owned(),
        data_centre: "local".to_owned(),
        id: id.to_owned(),
        slots: 1,
        state,
        ..Target::default()
    }
}

/// A document with one configured target, in a pool whose other targets the platform lists.
fn document(state: TargetState) -> Document {
    Document {
        pools: vec![Pool {
            id: POOL.to_owned(),
            listed: true,
            targets: vec![target("configured", state)],
            waiting_limit: 10,
            ..Pool::default()
        }],
        ..Document::default()
    }
}

fn publish(daemon: &Rc<Daemon>, generation: u64, document: &Document) {
    let sections = Sections::split(document).unwrap();
    let manifest = Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: Identity {
            generation,
            publication: generation.to_string(),
        },
        sections: sections.index,
    };
    let adopted = daemon.adoption.adopt(manifest, &sections.contents).unwrap();
    daemon.put_in_force(&adopted);
}

fn list(daemon: &Daemon, revision: u64, targets: Vec<Target>, leaving: &[&str]) {
    let leaving = leaving.iter().map(|vm| (*vm).to_owned());
    let listing = Listing {
        leaving: IndexSet::from_iter(leaving),
        revision: revision.into(),
        targets: IndexMap::from([(POOL.to_owned(), targets)]),
        ..Listing::default()
    };
    assert!(daemon.live_list.update(listing, false));
}

/// Checks a target after `change` on a daemon that has one configured and one listed target, both
/// live.
fn check_after(id: &str, change: impl FnOnce(&Rc<Daemon>)) -> Result<Target, Refusal> {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        publish(&daemon, 1, &document(TargetState::Live));
        list(&daemon, 1, vec![target("listed", TargetState::Live)], &[]);
        change(&daemon);
        sendable::check(&daemon, &POOL.to_owned(), &TargetInstance::from(id))
    })
    .unwrap()
}

/// Takes a target and a change after which it gets no request that was granted before.
macro_rules! refused_test {
    ($name:ident, $target:literal, $message:literal, $change:expr) => {
        #[test]
        fn $name() {
            let refusal = check_after($target, $change).unwrap_err();
            assert_eq!(refusal.kind, ErrorKind::NoTarget);
            assert_eq!(refusal.ran, Executed::No);
            assert_eq!(refusal.message, $message);
        }
    };
}

#[test]
fn live_targets_get_requests() {
    assert!(check_after("listed", |_| {}).is_ok());
    assert!(check_after("configured", |_| {}).is_ok());
}

// Guards against a grant that was made before the target asked this daemon for a pause, or by a dispatcher
// that does not know of it.
refused_test!(
    in_a_pause,
    "listed",
    "the target has asked for a pause",
    |daemon| {
        let target = TargetInstance::from("listed");
        let pause = Duration::from_secs(3);
        daemon.pauses.record(&target, pause, Instant::now());
    }
);
// Guards against a grant that was made before an answer said that the target leaves.
refused_test!(
    said_to_leave,
    "configured",
    "the target is leaving",
    |daemon| {
        let target = TargetInstance::from("configured");
        let exchange = &daemon.load_exchange;
        daemon.advisories.record_leaving(&target, exchange);
    }
);
// Guards against a grant of a dispatcher that did not know yet that the target leaves: the sender
// carried it out, though its own list said so.
refused_test!(
    draining_by_the_list,
    "listed",
    "the target is leaving",
    |daemon| {
        list(
            daemon,
            2,
            vec![target("listed", TargetState::Draining)],
            &[],
        );
    }
);
refused_test!(
    gone_from_the_list,
    "listed",
    "the target was removed",
    |daemon| {
        list(daemon, 2, vec![], &[]);
    }
);
refused_test!(
    on_a_leaving_vm,
    "configured",
    "the target is leaving",
    |daemon| {
        list(daemon, 2, vec![], &["configured"]);
    }
);
refused_test!(
    draining_by_the_configuration,
    "configured",
    "the target is leaving",
    |daemon| {
        publish(daemon, 2, &document(TargetState::Draining));
    }
);

// Guards against a request that waits for the link while its target goes missing from the list, and is
// written before other daemons have said whether it left.
#[test]
fn at_the_write_a_missing_target_is_asked_about() {
    let refusal = runtime::block_on(async {
        let daemon = fixtures::daemon();
        publish(&daemon, 1, &document(TargetState::Live));
        list(&daemon, 1, vec![target("listed", TargetState::Live)], &[]);
        let live_list = &daemon.live_list;
        let known = live_list.listing();
        let missing = Missing::MayLapse;
        live_list
            .lapsed
            .update(&known, &Listing::default(), missing);
        lapsed::settle(&daemon);
        let target = TargetInstance::from("listed");
        sendable::check_at_write(&daemon, &POOL.to_owned(), &target).unwrap_err()
    });
    let refusal = refusal.unwrap();
    assert_eq!(refusal.kind, ErrorKind::NoTarget);
    assert_eq!(refusal.ran, Executed::No);
}

// Guards against a request that is dropped like one that its caller has cancelled, as a newer list came right after the
// old one had stopped it.
#[test]
fn a_stop_that_has_passed_cancels_nothing() {
    let check: Check = Rc::new(|| Ok(()));
    let refusal = transport::withdrawn(&check, "10.0.0.1:9000").refusal();
    assert_eq!(
        (refusal.kind, refusal.ran, refusal.is_own_stop),
        (ErrorKind::NoTarget, Executed::No, true)
    );
}
