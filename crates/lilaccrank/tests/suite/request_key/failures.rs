//! Failures of daemons and of their network around a claim.

use std::time::Duration;

use futures::future;
use lilaccrank::clock::Clock;
use lilaccrank::error_kind::Executed;
use lilaccrank::request_key::{
    Access, BodyDigest, ClaimNumber, Error, Holder, KeyId, KeyReply, KeyRequest, Limits,
    MovedRecord, Outcome, Record, Stage,
};

use crate::request_key::cluster::{Cluster, Loss, TestAccess, member, request};

const HELD: Outcome = Outcome::Held { until_ms: 60_000 };
const ALREADY_RUN: Option<Error> = Some(Error::AlreadyRun { failed: None });

/// Repeats a request at daemon 2, after daemon 1 marked its claim and the listed daemons died.
macro_rules! repeat_after_mark {
    ($name:ident, kill $killed:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let cluster = Cluster::new(4);
            let _running = cluster.marked(1, &request(true));
            for index in $killed {
                cluster.kill(index);
            }
            let repeat = cluster.claim(2, &request(true));
            assert!(matches!(repeat, $expected));
        }
    };
}

// The caller repeats its request at another daemon while the first one runs it. Whichever
// replica answers, the reply must be "running" while the entry lives, and "already run" after.
repeat_after_mark!(repeat_attaches, kill [], Ok(Access::Running { .. }));
repeat_after_mark!(
    repeat_attaches_without_owner,
    kill[0],
    Ok(Access::Running { .. })
);
repeat_after_mark!(
    repeat_of_a_dead_entry,
    kill[1],
    Err(Error::AlreadyRun { .. })
);
repeat_after_mark!(repeat_of_a_dead_entry_and_owner, kill [0, 1], Err(Error::AlreadyRun { .. }));

fn refused(access: Result<TestAccess, Error>) -> Option<Error> {
    access.err()
}

#[test]
fn owner_killed_between_claim_and_mark() {
    // The owner dies between claim and mark. Its successor has the claim as the backup, so the
    // mark succeeds there, and an earlier repeat is directed to the entry instead of being
    // granted a second claim.
    let cluster = Cluster::new(3);
    let claim = cluster.granted(2, &request(true));
    cluster.kill(0);
    let repeat = cluster.claim(1, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { entry }) if entry == member(2)));
    assert!(cluster.run(claim.mark_dispatching()).is_ok());
}

#[test]
fn owner_and_backup_change_at_once() {
    // Owner 0 and backup 1 are frozen while 2 and 3 take over and run the request. Both thaw
    // with the membership that they knew and without the record. 0 must detect its pause and
    // refuse the repeat as unsettled until it has fetched the records of the others.
    let cluster = Cluster::new(4);
    cluster.stop(0);
    cluster.kill(1);
    let _running = cluster.marked(3, &request(true));
    cluster.clock.advance(Duration::from_secs(5));
    cluster.thaw(0);
    cluster.thaw(1);
    cluster.rejoin(&[0, 1, 2, 3]);
    assert_eq!(
        refused(cluster.claim(0, &request(true))),
        Some(Error::Unsettled)
    );
    cluster.settle();
    let repeat = cluster.claim(0, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { entry }) if entry == member(3)));
}

#[test]
fn owner_and_backup_die_while_the_entry_runs() {
    // Owner and backup die at once while entry 2 runs the request. Only the entry still has the
    // record, and the new owner must fetch it before it grants a claim.
    let cluster = Cluster::new(4);
    let _running = cluster.marked(2, &request(true));
    cluster.stop(0);
    cluster.kill(1);
    let repeat = cluster.claim(3, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { entry }) if entry == member(2)));
}

#[test]
fn frozen_entry_thaws_after_a_takeover() {
    // Entry 2 is frozen after its claim and declared dead; the repeat at 1 gets a new claim and
    // runs. Thawed, 2 still holds the old claim. Its mark must fail, as the claim number is
    // outdated, and the stale record that it pushes must not replace the new one.
    let cluster = Cluster::new(3);
    let frozen = cluster.granted(2, &request(true));
    cluster.kill(2);
    let _running = cluster.marked(1, &request(true));
    cluster.thaw(2);
    let mark = cluster.run(frozen.mark_dispatching());
    assert_eq!(mark.err(), ALREADY_RUN);
    cluster.rejoin(&[0, 1, 2]);
    cluster.settle();
    let record = cluster.daemons[0].owner.record(&key()).unwrap();
    assert_eq!(record.holder.entry, member(1));
}

#[test]
fn frozen_owner_thaws_after_a_takeover() {
    // Owner 0 is frozen; 1 takes over and grants and marks a claim of entry 2. Thawed, 0 still
    // considers itself the owner, doesn't know the key and gets a claim. It must not grant it: its
    // backup 1 sees another owner and doesn't acknowledge.
    let cluster = Cluster::new(3);
    cluster.kill(0);
    let _running = cluster.marked(2, &request(true));
    cluster.thaw(0);
    assert_eq!(
        refused(cluster.claim(0, &request(true))),
        Some(Error::Unsettled)
    );
}

#[test]
fn isolated_daemon_waits_before_it_grants() {
    // A thawed daemon finds its timers expired and considers all others dead. Alone it needs no
    // backup, and an immediate grant could run a request that the others run. It must wait first,
    // so that their heartbeats can arrive and restore its view.
    let cluster = Cluster::new(3);
    let _running = cluster.marked(1, &request(true));
    cluster.daemons[2]
        .view
        .live
        .borrow_mut()
        .retain(|other| *other == member(2));
    let daemon = &cluster.daemons[2];
    let request = request(true);
    let both = future::join(
        daemon.owner.handle_membership_change(),
        daemon.claims.claim(&request),
    );
    let (_, claim) = cluster.run(both);
    assert_eq!(refused(claim), Some(Error::Unsettled));
}

#[test]
fn joining_daemon_waits_until_all_see_it() {
    // Daemon 0 has thawed, but the others don't see it yet and 1 still owns its keys. A claim that
    // 1 grants after its handover would be unknown to 0, which would grant it again. So the others
    // refuse the handover until they see 0, and 0 grants nothing until then.
    let cluster = Cluster::new(3);
    cluster.kill(0);
    cluster.thaw(0);
    let owner = &cluster.daemons[0].owner;
    let settling = std::pin::pin!(owner.handle_membership_change());
    let soon = cluster.clock.sleep(Duration::from_secs(5));
    cluster.run(future::select(settling, std::pin::pin!(soon)));
    assert!(!owner.is_settled());
    let _running = cluster.marked(1, &request(true));
    cluster.rejoin(&[0, 1, 2]);
    cluster.settle();
    let repeat = cluster.claim(0, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { .. })));
}

#[test]
fn two_repeats_race_at_two_daemons() {
    // The caller's client retries after a timeout while its first request is in flight, so two
    // daemons claim the key concurrently. One must get the claim, the other is directed to it.
    let cluster = Cluster::new(3);
    let request = request(true);
    let (first, second) = (
        cluster.daemons[1].claims.claim(&request),
        cluster.daemons[2].claims.claim(&request),
    );
    let (first, second) = cluster.run(future::join(first, second));
    assert!(matches!(first, Ok(Access::Granted(_))));
    assert!(matches!(second, Ok(Access::Running { entry }) if entry == member(1)));
}

#[test]
fn claim_without_its_backup_is_not_acknowledged() {
    // The network loses the calls from owner to backup. If the claim were granted, it would be lost
    // with the owner. It must be refused as not run, and a retry must run after the network heals.
    let cluster = Cluster::new(3);
    cluster.lose(Loss::Copies);
    let refusal = refused(cluster.claim(2, &request(true))).unwrap();
    assert_eq!(
        (refusal, refusal.executed()),
        (Error::Unsettled, Executed::No)
    );
    cluster.lose(Loss::Nothing);
    cluster.run(cluster.daemons[2].claims.sweep());
    let _running = cluster.marked(1, &request(true));
}

#[test]
fn mark_whose_replies_are_lost_frees_the_key() {
    // The owner marks the claim, but its replies are lost. The entry must not dispatch, and refuses
    // the request as not run. Its release, sent later, frees the key, so that the repeat runs.
    let cluster = Cluster::new(3);
    let claim = cluster.granted(2, &request(true));
    cluster.lose(Loss::Replies);
    let refusal = cluster.run(claim.mark_dispatching()).err().unwrap();
    assert_eq!(
        (refusal, refusal.executed()),
        (Error::Unsettled, Executed::No)
    );
    cluster.lose(Loss::Nothing);
    cluster.run(cluster.daemons[2].claims.sweep());
    let _running = cluster.marked(1, &request(true));
}

#[test]
fn ended_request_is_held_then_forgotten_by_its_entry_only() {
    let cluster = Cluster::new(3);
    let running = cluster.marked(2, &request(true));
    cluster.run(running.end(HELD));
    let repeat = cluster.claim(1, &request(true));
    assert!(matches!(repeat, Ok(Access::Held { entry }) if entry == member(2)));
    cluster.clock.advance(Duration::from_secs(120));
    assert_eq!(refused(cluster.claim(1, &request(true))), ALREADY_RUN);
}

#[test]
fn record_of_a_running_request_never_expires() {
    // An answer streams for longer than records are kept. If the record of the running request
    // expired, a repeat would run the request concurrently.
    let cluster = Cluster::new(3);
    let running = cluster.marked(2, &request(true));
    advance_and_expire(&cluster, Duration::from_secs(100_000));
    let repeat = cluster.claim(1, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { .. })));
    cluster.run(running.end(HELD));
    advance_and_expire(&cluster, Duration::from_secs(601));
    assert!(cluster.daemons.iter().all(|daemon| daemon.owner.is_empty()));
}

#[test]
fn expired_claim_can_not_be_marked() {
    // A request waits in a queue until the record of its claim expires, and a repeat runs
    // elsewhere. The first claim can't be marked any more, so its entry dispatches nothing.
    let cluster = Cluster::new(3);
    let waiting = cluster.granted(2, &request(true));
    advance_and_expire(&cluster, Duration::from_secs(601));
    let _running = cluster.marked(1, &request(true));
    assert_eq!(cluster.run(waiting.mark_dispatching()).err(), ALREADY_RUN);
}

/// Advances the clock by `duration`, transfers records and drops expired ones.
fn advance_and_expire(cluster: &Cluster, duration: Duration) {
    cluster.clock.advance(duration);
    cluster.settle();
    cluster
        .daemons
        .iter()
        .for_each(|daemon| daemon.owner.expire());
}

#[test]
fn full_backup_prevents_the_grant() {
    // The backup's table is full of other records. A claim without a backup would be lost with the
    // owner, so it must be refused as not run, and the owner must release its record.
    let cluster = Cluster::with_limits(
        3,
        Limits {
            record_limit: 4,
            ..Limits::default()
        },
    );
    for index in 0..4 {
        let moved = MovedRecord {
            age_ms: 0,
            id: KeyId::new("other", &index.to_string()),
            record: running_record(),
        };
        let pushed = cluster.call_owner(1, KeyRequest::Push { moved: vec![moved] });
        assert_eq!(pushed, KeyReply::Done);
    }
    assert_eq!(refused(cluster.claim(2, &request(true))), Some(Error::Full));
    let record = cluster.daemons[0].owner.record(&key()).unwrap();
    assert_eq!(record.stage, Stage::Free);
}

#[test]
fn all_pages_of_a_handover_arrive() {
    // More records are transferred than fit into one page. A record that was left out would be
    // unknown to its new owner, and its request would run again.
    let cluster = Cluster::new(3);
    cluster.stop(0);
    cluster.kill(1);
    for index in 0..1_500 {
        let moved = MovedRecord {
            age_ms: 0,
            id: KeyId::new("other", &index.to_string()),
            record: running_record(),
        };
        cluster.call_owner(2, KeyRequest::Push { moved: vec![moved] });
    }
    cluster.thaw(0);
    cluster.thaw(1);
    cluster.rejoin(&[0, 1, 2]);
    cluster.run(cluster.daemons[0].owner.handle_membership_change());
    assert_eq!(cluster.daemons[0].owner.len(), 1_500);
    cluster.run(cluster.daemons[2].owner.handle_membership_change());
    assert_eq!(cluster.daemons[1].owner.len(), 1_500);
}

fn running_record() -> Record {
    let claim = ClaimNumber {
        number: 1,
        grant: 1,
    };
    Record {
        body: BodyDigest::new(b"other"),
        holder: Holder {
            attempt: 1,
            claim,
            entry: member(2),
        },
        idempotent: true,
        released: None,
        stage: Stage::Dispatching,
        stored: None,
    }
}

#[test]
fn key_for_another_body_is_refused() {
    let cluster = Cluster::new(3);
    let _running = cluster.marked(2, &request(true));
    let mut other = request(true);
    other.body = BodyDigest::new(b"other");
    assert_eq!(refused(cluster.claim(1, &other)), Some(Error::KeyReused));
}

#[test]
fn full_table_refuses_new_keys_and_keeps_known_ones() {
    let limits = Limits {
        record_limit: 2,
        ..Limits::default()
    };
    let cluster = Cluster::with_limits(3, limits);
    let _running = cluster.marked(2, &request(true));
    let mut other = request(true);
    other.key = "another".to_owned();
    let refusal = refused(cluster.claim(2, &other)).unwrap();
    assert_eq!((refusal, refusal.executed()), (Error::Full, Executed::No));
    let repeat = cluster.claim(1, &request(true));
    assert!(matches!(repeat, Ok(Access::Running { .. })));
}

#[test]
fn delayed_claim_after_its_release_is_rejected() {
    // A claim arrives late, after its entry has given up and released it. If it were granted,
    // repeats would be directed to an entry that doesn't run the request.
    let cluster = Cluster::new(3);
    let claim = cluster.granted(2, &request(true));
    let late = KeyRequest::Claim {
        attempt: claim.holder().attempt,
        body: request(true).body,
        entry: member(2),
        id: key(),
        idempotent: true,
    };
    cluster.run(claim.release());
    assert_eq!(cluster.call_owner(0, late), KeyReply::Superseded);
    let record = cluster.daemons[0].owner.record(&key()).unwrap();
    assert_eq!(record.stage, Stage::Free);
}

/// The caller disconnects and the task of its request is dropped; then it repeats elsewhere.
macro_rules! repeat_after_drop {
    ($name:ident, |$cluster:ident| $dropped:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let $cluster = Cluster::new(3);
            $dropped;
            $cluster.lose(Loss::Nothing);
            $cluster.run($cluster.daemons[2].claims.sweep());
            let repeat = $cluster.claim(1, &request(true));
            assert!(matches!(repeat, $expected));
        }
    };
}

// A claim that stayed behind would direct each repeat to an entry that doesn't run the request.
// Dropped before its mark, or before the reply with its grant arrives, it must free the key.
// Dropped after the mark, it must count as already run.
repeat_after_drop!(
    drop_of_a_claim,
    |c| drop(c.granted(2, &request(true))),
    Ok(Access::Granted(_))
);
repeat_after_drop!(
    drop_after_the_mark,
    |c| drop(c.marked(2, &request(true))),
    Err(Error::AlreadyRun { .. })
);
repeat_after_drop!(
    drop_before_the_grant,
    |c| drop_while_claiming(&c),
    Ok(Access::Granted(_))
);

fn drop_while_claiming(cluster: &Cluster) {
    cluster.lose(Loss::Replies);
    let request = request(true);
    let claim = std::pin::pin!(cluster.daemons[2].claims.claim(&request));
    let soon = cluster.clock.sleep(Duration::from_millis(100));
    cluster.run(future::select(claim, std::pin::pin!(soon)));
}

fn key() -> KeyId {
    KeyId::new("acme", "k")
}
