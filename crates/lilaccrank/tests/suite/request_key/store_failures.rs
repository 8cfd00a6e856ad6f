//! Failures of the store and of daemons around a non-idempotent request.

use std::time::Duration;

use lilaccrank::error_kind::Executed;
use lilaccrank::request_key::{Error, Outcome};

use crate::request_key::cluster::{Cluster, Fault, request};

/// Marks a claim during a fault of the store, and repeats the request elsewhere after it.
macro_rules! mark_under {
    ($name:ident, $fault:ident, $expected:expr, repeat runs $runs:literal) => {
        #[test]
        fn $name() {
            let cluster = Cluster::new(3);
            let claim = cluster.granted(2, &request(false));
            cluster.store.fault.set(Some(Fault::$fault));
            let mark = cluster.run(claim.mark_dispatching());
            assert_eq!(mark.err(), $expected);
            cluster.store.fault.set(None);
            let repeat = cluster.claim(1, &request(false));
            assert_eq!(
                matches!(repeat, Ok(super::cluster::TestAccess::Granted(_))),
                $runs
            );
            if let Ok(super::cluster::TestAccess::Granted(claim)) = repeat {
                assert!(cluster.run(claim.mark_dispatching()).is_ok());
            }
        }
    };
}

// The result of the create is unknown. The entry reads the object: it finds its own claim and
// runs the request, or finds nothing and creates it again. If it can't read, it refuses the
// request as not run, and an object that its write left behind must not block the repeat.
mark_under!(create_whose_answer_is_lost, LostAnswer, None, repeat runs false);
mark_under!(create_that_is_lost, LostWrite, None, repeat runs false);
mark_under!(store_unavailable, Away, Some(Error::StoreUnavailable), repeat runs true);
mark_under!(store_unavailable_after_the_create, EffectThenAway, Some(Error::StoreUnavailable), repeat runs true);

#[test]
fn unavailable_store_is_refused_at_once() {
    // The store is unavailable. A non-idempotent request must be refused as not run immediately,
    // without waiting for the store.
    let cluster = Cluster::new(3);
    let claim = cluster.granted(2, &request(false));
    cluster.store.fault.set(Some(Fault::Away));
    let before = cluster.clock.elapsed();
    let refusal = cluster.run(claim.mark_dispatching()).err().unwrap();
    assert_eq!(refusal.executed(), Executed::No);
    assert_eq!(cluster.clock.elapsed(), before);
}

#[test]
fn repeats_during_and_after_a_store_outage() {
    // The create takes effect, its reply is lost and the store becomes unavailable. Repeats during
    // the outage are refused as not run. After it, the store has the object of the first attempt,
    // which never ran, so the next repeat must run.
    let cluster = Cluster::new(3);
    let claim = cluster.granted(2, &request(false));
    cluster.store.fault.set(Some(Fault::EffectThenAway));
    let mut mark = cluster.run(claim.mark_dispatching());
    for _ in 0..3 {
        assert_eq!(mark.err(), Some(Error::StoreUnavailable));
        let repeat = cluster.granted(1, &request(false));
        mark = cluster.run(repeat.mark_dispatching());
    }
    cluster.store.fault.set(None);
    let repeat = cluster.granted(1, &request(false));
    assert!(cluster.run(repeat.mark_dispatching()).is_ok());
}

#[test]
fn owner_backup_and_entry_die() {
    // Owner, backup and entry of a running non-idempotent request die. The last daemon doesn't know
    // the key and grants the repeat; its mark must fail because of the object in the store.
    let cluster = Cluster::new(4);
    let _running = cluster.marked(2, &request(false));
    cluster.stop(0);
    cluster.stop(1);
    cluster.kill(2);
    let repeat = cluster.granted(3, &request(false));
    let mark = cluster.run(repeat.mark_dispatching());
    assert_eq!(mark.err(), Some(Error::AlreadyRun { failed: None }));
}

#[test]
fn other_data_centre_is_stopped_by_the_store() {
    // The caller repeats in another data centre, which shares only the store. Its daemons find the
    // first claim there and refuse. They must not delete its object when their own record expires:
    // it belongs to the other data centre and may have been renewed.
    let here = Cluster::new(3);
    let _running = here.marked(2, &request(false));
    let there = Cluster::new(2);
    let objects = here.store.objects.borrow().clone();
    *there.store.objects.borrow_mut() = objects;
    let repeat = there.granted(1, &request(false));
    let mark = there.run(repeat.mark_dispatching());
    assert_eq!(mark.err(), Some(Error::AlreadyRun { failed: None }));
    there.clock.advance(Duration::from_secs(25 * 3_600));
    for daemon in &there.daemons {
        daemon.owner.expire();
        there.run(daemon.claims.sweep());
        assert!(daemon.owner.is_empty());
    }
    assert_eq!(there.store.objects.borrow().len(), 1);
}

#[test]
fn claims_over_the_budget_are_refused_without_a_call() {
    // A customer sends non-idempotent requests faster than the budget of the store allows. The
    // excess must be refused as not run, without a call to the store.
    let cluster = Cluster::new(3);
    let mut refused = 0;
    for index in 0..30 {
        let mut request = request(false);
        request.key = index.to_string();
        let claim = cluster.granted(2, &request);
        if let Err(refusal) = cluster.run(claim.mark_dispatching()) {
            assert_eq!(
                (refusal, refusal.executed()),
                (Error::RateLimited, Executed::No)
            );
            refused += 1;
        }
    }
    assert_eq!((refused, cluster.store.calls.get()), (10, 20));
}

#[test]
fn object_is_deleted_after_the_retention_time() {
    let cluster = Cluster::new(3);
    let running = cluster.marked(2, &request(false));
    cluster.run(running.end(Outcome::Held { until_ms: 0 }));
    cluster.run(cluster.daemons[0].claims.sweep());
    assert_eq!(cluster.store.objects.borrow().len(), 1);
    cluster.clock.advance(Duration::from_secs(25 * 3_600));
    for daemon in &cluster.daemons {
        daemon.owner.expire();
        cluster.run(daemon.claims.sweep());
        assert!(daemon.owner.is_empty());
    }
    assert!(cluster.store.objects.borrow().is_empty());
}
