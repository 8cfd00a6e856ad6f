//! Failures that the membership has to see, and those it must not see.

use std::cell::Cell;
use std::rc::Rc;

use lilaccrank::membership::{DATAGRAM_LIMIT, State};

use crate::cluster::{self, Cluster};

// Requests sent to a killed daemon are lost until all know of its death. Daemon 4 is killed
// without a word; one of the others sees its probes fail, suspects it, and after the suspicion
// tells all.
macro_rules! killed {
    ($($name:ident: $count:expr, $limit_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new($count);
            cluster.kill(1);
            let known = cluster.until($limit_ms, |c| c.all_see($count - 1, Some(1)));
            assert!(known.is_some());
            assert!(cluster.wire.largest() <= DATAGRAM_LIMIT);
            assert_eq!(cluster.declared_dead(), 0, "a survivor was declared dead");
        }
    )*};
}

killed! {
    killed_among_2: 2, 2_500;
    killed_among_3: 3, 2_500;
    killed_among_9: 9, 2_500;
    killed_among_64: 64, 3_000;
}

// A frozen daemon wakes and goes on granting as if nothing had been, while its successor grants
// as well. It was declared dead meanwhile; the answers to its first messages tell it so, it
// raises its incarnation and its embedding code drops what it held.
#[test]
fn thawed_daemon_learns_that_it_was_declared_dead() {
    let mut cluster = Cluster::new(9);
    let told = Rc::new(Cell::new(0));
    let (membership, seen) = (cluster.daemons[3].membership.clone(), Rc::clone(&told));
    cluster.spawn(async move { seen.set(membership.self_was_declared_dead(0).await) });
    cluster.freeze(3);
    assert!(cluster.until(3_000, |c| c.all_see(8, Some(3))).is_some());
    cluster.advance(30_000);
    cluster.thaw(3);
    assert!(cluster.until(1_000, |_| told.get() > 0).is_some());
    assert!(cluster.until(3_000, |c| c.all_see(9, None)).is_some());
    assert_eq!(cluster.daemons[3].membership.me().incarnation, 1_001);
}

// All timers of a thawed daemon are over at once. Without care it takes every member that it
// was probing for silent, and its word moves the duties of healthy daemons.
#[test]
fn thawed_daemon_declares_nobody_dead() {
    let mut cluster = Cluster::new(9);
    for _ in 0..20 {
        cluster.freeze(3);
        cluster.advance(730);
        cluster.thaw(3);
        cluster.advance(300);
    }
    for index in (0..9).filter(|index| *index != 3) {
        let record = cluster
            .record(index, &cluster::vm(index))
            .expect("own record");
        assert_eq!(record.incarnation, 1_000, "{} had to refute", record.vm);
    }
}

// A vm is replaced by one with another name at the same address. The old name answers no more;
// as long as it is thought live, duties and grants go to it and are lost.
#[test]
fn replaced_vm_at_the_same_address_ends_the_old_name() {
    let mut cluster = Cluster::new(9);
    cluster.kill(5);
    let successor = cluster.start("vm-new".to_owned(), 5, 2_000);
    cluster.daemons[5] = successor;
    let known = cluster.until(1_000, |c| {
        let names = c.live(0);
        names.contains(&"vm-new".to_owned()) && !names.contains(&cluster::vm(5))
    });
    assert!(known.is_some());
    assert!(cluster.until(3_000, |c| c.all_see(9, None)).is_some());
}

// A daemon restarts under its own name before anybody missed it. What it held is gone, so the
// others must see a new incarnation although it always seemed live.
#[test]
fn restarted_daemon_is_seen_as_a_new_incarnation() {
    let mut cluster = Cluster::new(9);
    cluster.kill(5);
    cluster.daemons[5] = cluster.start(cluster::vm(5), 5, 2_000);
    let all_know = |c: &Cluster| {
        (0..9).all(|i| {
            c.record(i, &cluster::vm(5))
                .is_some_and(|m| m.incarnation == 2_000 && m.state == State::Live)
        })
    };
    assert!(cluster.until(3_000, all_know).is_some());
}

// One datagram in five is lost, so one probe in three fails directly. Members that come and go
// in the table would move their duties each time, with all that waits there.
macro_rules! lossy {
    ($($name:ident: $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new($count);
            cluster.wire.set_loss(0.2);
            for _ in 0..600 {
                cluster.advance(100);
                assert!(cluster.all_see($count, None), "a live member was dropped");
            }
            assert_eq!(cluster.declared_dead(), 0);
            cluster.kill(1);
            let known = cluster.until(6_000, |c| c.all_see($count - 1, Some(1)));
            assert!(known.is_some());
        }
    )*};
}

lossy! {
    lossy_wire_among_3_drops_nobody: 3;
    lossy_wire_among_9_drops_nobody: 9;
}

// A switch cuts three daemons off, and each side declares the other dead. When it heals, nobody
// probes the dead: without letters to them both sides would keep their own duties for ever.
#[test]
fn partition_heals() {
    let mut cluster = Cluster::new(9);
    cluster.wire.cut_off((0..3).map(cluster::address));
    let parted =
        |c: &Cluster| (0..3).all(|i| c.live(i).len() == 3) && (3..9).all(|i| c.live(i).len() == 6);
    assert!(cluster.until(5_000, parted).is_some());
    cluster.advance(60_000);
    cluster.wire.cut_off([]);
    assert!(cluster.until(10_000, |c| c.all_see(9, None)).is_some());
}

// A leaving daemon is given work until the others know. It tells all at once, twice, so that
// losing one datagram in five delays few of them by a period.
#[test]
fn leaving_is_known_at_once() {
    let mut cluster = Cluster::new(9);
    cluster.wire.set_loss(0.2);
    let membership = cluster.daemons[2].membership.clone();
    cluster.spawn(async move { membership.leave().await });
    assert!(cluster.until(1_000, |c| c.all_see(8, None)).is_some());
    let states = (0..9).map(|i| cluster.record(i, &cluster::vm(2)).map(|m| m.state));
    assert!(states.into_iter().all(|s| s == Some(State::Leaving)));
}

// A daemon that leaves ends at once after the announcement: each of the others has to know it by
// then, since nobody is left to repeat it.
#[test]
fn leaving_and_gone_is_known() {
    let mut cluster = Cluster::new(64);
    let left = Rc::new(Cell::new(false));
    let (membership, done) = (cluster.daemons[2].membership.clone(), Rc::clone(&left));
    cluster.spawn(async move {
        membership.leave().await;
        done.set(true);
    });
    assert!(cluster.until(250, |_| left.get()).is_some());
    cluster.kill(2);
    assert!(cluster.all_see(63, Some(2)));
}

// A caller's connection to a peer is refused and it hints at that. If the hint alone counted,
// one full backlog would kill a healthy daemon.
#[test]
fn hint_about_a_healthy_member_changes_nothing() {
    let mut cluster = Cluster::new(9);
    cluster.daemons[0].membership.suspect(&cluster::vm(4));
    cluster.advance(2_000);
    assert!(cluster.all_see(9, None));
    assert_eq!(cluster.daemons[4].membership.me().incarnation, 1_000);
}
