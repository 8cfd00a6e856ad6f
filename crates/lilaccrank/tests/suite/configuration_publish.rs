//! Publication under faults of the store and races of operators.

use futures::future;
use lilaccrank::configuration::adoption::{self, Adoption};
use lilaccrank::configuration::archive::{self};
use lilaccrank::configuration::manifest::{self};
use lilaccrank::configuration::publish::{self, Confirmation, Error};
use lilaccrank::configuration::sections::Contents;
use lilaccrank::configuration::watcher::Look;
use lilaccrank::rules::difference::ChangeKind;
use lilaccrank::store;

use crate::configuration_bench::{Bench, LIMIT, publication};
use crate::configuration_store::{Fault, run};

/// A fault at the write of the manifest, and how often the manifest is written in all.
macro_rules! published_once {
    ($name:ident, $($fault:ident),+) => {
        #[test]
        fn $name() {
            // The operator sees one success. The store's answer to the write fails, the
            // publisher reads back whether its publication is there, and writes only if not.
            let bench = Bench::new();
            let first = bench.publish_next("p1", &["a"]);
            $(bench.store.fail_next(Fault::$fault);)+
            let second = bench.publish(publication("p2", Some(&first), &["a", "b"]));
            assert_eq!(second.unwrap().generation, 2);
            assert_eq!(bench.store.manifest_writes(), 2);
        }
    };
}

published_once!(lost_answer_after_effect, LostAfter);
published_once!(lost_answer_before_effect, LostBefore);
published_once!(throttled_then_lost, Throttled, LostBefore, LostAfter);

#[test]
fn a_publication_overtaken_after_a_lost_answer_is_not_published_again() {
    // The operator's answer is lost and the operator tries again with the same id. In between
    // another operator published on top; a second publication would undo that change.
    let bench = Bench::new();
    let first = bench.publish_next("p1", &["a"]);
    let second = bench.publish_next("p2", &["a", "b"]);
    let third = bench.publish_next("p3", &["a", "b", "c"]);
    let again = bench.publish(publication("p2", Some(&first), &["a", "b"]));
    assert_eq!(again, Ok(second));
    assert_eq!(bench.store.manifest().unwrap().identity, third);
    let reused = bench.publish(publication("p2", Some(&first), &["z"]));
    assert_eq!(reused, Err(Error::IdReused("p2".to_owned())));
}

#[test]
fn a_race_has_one_winner_and_the_loser_sees_what_changed() {
    // Two operators edit generation 1 and publish. The second is told who won and which rules
    // differ; nothing of the winner is undone.
    let bench = Bench::new();
    let base = bench.publish_next("p1", &["a", "b"]);
    let winner = bench.publish(publication("p2", Some(&base), &["b", "c"]));
    let loser = bench.publish(publication("p3", Some(&base), &["a"]));
    let Err(Error::Conflict(conflict)) = loser else {
        panic!("{loser:?}");
    };
    assert_eq!(conflict.winner.map(|winner| winner.identity), winner.ok());
    let difference = conflict.difference.unwrap();
    let kinds: Vec<_> = difference.rules.iter().map(|change| change.kind).collect();
    assert_eq!(kinds, [ChangeKind::Removed, ChangeKind::Added]);
}

#[test]
fn a_race_at_the_same_moment_has_one_winner() {
    // Both publishers read the same manifest and write at once; the conditional update lets
    // one through, and the other reads back that it was not its own.
    let bench = Bench::new();
    let base = bench.publish_next("p1", &["a"]);
    let (store, clock) = (bench.store.clone(), bench.clock.clone());
    let outcomes = run(&bench.clock, async move {
        let two = publication("p2", Some(&base), &["b"]);
        let three = publication("p3", Some(&base), &["c"]);
        let (here, there) = (Adoption::new(), Adoption::new());
        let two = publish::publish(&store, &clock, &here, &two, LIMIT);
        let three = publish::publish(&store, &clock, &there, &three, LIMIT);
        <[_; 2]>::from(future::join(two, three).await)
    });
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok());
    assert_eq!(accepted.count(), 1);
    assert_eq!(bench.store.manifest().unwrap().identity.generation, 2);
}

#[test]
fn an_outage_ends_with_an_error_that_is_true() {
    // The store is away. Before any write the operator hears that nothing took effect; after
    // a lost answer, that the outcome is open.
    let bench = Bench::new();
    let base = bench.publish_next("p1", &["a"]);
    bench.store.set_out(true);
    let outcome = bench.publish(publication("p2", Some(&base), &["b"]));
    let unavailable = archive::Error::Store(store::Error::Unavailable);
    assert_eq!(outcome, Err(Error::Read(unavailable)));
    bench.store.set_out(false);
    (0..100).for_each(|_| bench.store.fail_next(Fault::LostBefore));
    let outcome = bench.publish(publication("p3", Some(&base), &["b"]));
    assert_eq!(outcome, Err(Error::Unresolved("p3".to_owned())));
}

#[test]
fn a_daemon_heals_an_older_store_and_never_goes_back() {
    // The store is restored from a backup of generation 1 while a daemon holds generation 2.
    // The daemon keeps it and writes it back; a fresh daemon then gets generation 2.
    let bench = Bench::new();
    bench.publish_next("p1", &["a"]);
    let backup = bench.store.snapshot();
    let second = bench.publish_next("p2", &["b"]);
    assert_eq!(bench.look(&bench.adoption), Ok(Look::Adopted));
    bench.store.restore(&backup);
    assert_eq!(bench.look(&bench.adoption), Ok(Look::Healed));
    assert_eq!(bench.adoption.identity(), Some(second.clone()));
    let old = serde_json::from_slice(&backup[manifest::KEY].value).unwrap();
    let old = bench.adoption.adopt(old, &Contents::new()).unwrap_err();
    assert_eq!(old, adoption::Error::NotNewer(second.clone()));
    let fresh = Adoption::new();
    assert_eq!(bench.look(&fresh), Ok(Look::Adopted));
    assert_eq!(fresh.identity(), Some(second));
}

#[test]
fn a_publication_into_an_older_store_goes_above_what_daemons_hold() {
    // A daemon holds generation 2, the store came back at 1. An editor of generation 1 gets a
    // conflict; an editor of generation 2 publishes generation 3, in force at once.
    let bench = Bench::new();
    let first = bench.publish_next("p1", &["a"]);
    let backup = bench.store.snapshot();
    let second = bench.publish_next("p2", &["b"]);
    bench.look(&bench.adoption).unwrap();
    bench.store.restore(&backup);
    let late = publication("p3", Some(&first), &["c"]);
    let late = bench.publish_at(&bench.adoption, late);
    assert!(matches!(late, Err(Error::Conflict(_))));
    let next = publication("p4", Some(&second), &["d"]);
    let next = bench.publish_at(&bench.adoption, next).unwrap();
    assert_eq!(next.generation, 3);
    assert_eq!(bench.adoption.identity(), Some(next));
    assert_eq!(bench.look(&Adoption::new()), Ok(Look::Adopted));
}

#[test]
fn siblings_of_one_generation_come_together() {
    // The store comes back older just after the publisher asked what daemons hold, and accepts
    // a second generation 2. Daemons of either sibling would stay apart for ever; the one that
    // was held first goes above, and the publisher of the other learns that it is void.
    let bench = Bench::new();
    let first = bench.publish_next("p1", &["a"]);
    let backup = bench.store.snapshot();
    let second = bench.publish_next("p2", &["b"]);
    bench.look(&bench.adoption).unwrap();
    bench.store.restore(&backup);
    let sibling = bench.publish(publication("p3", Some(&first), &["c"]));
    let sibling = sibling.unwrap();
    let other = Adoption::new();
    bench.look(&other).unwrap();
    assert_eq!(
        bench.confirm(sibling.clone(), second),
        Confirmation::Pending
    );
    assert_eq!(bench.look(&bench.adoption), Ok(Look::Healed));
    bench.look(&bench.adoption).unwrap();
    bench.look(&other).unwrap();
    assert_eq!(bench.adoption.identity(), other.identity());
    let by = other.identity().unwrap();
    assert_eq!(by.generation, 3);
    assert_eq!(
        bench.confirm(sibling, by.clone()),
        Confirmation::Displaced { by }
    );
}
