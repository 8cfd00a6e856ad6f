//! Failure detection of the membership: failures that it must detect and false positives that it
//! must avoid.

use std::cell::Cell;
use std::rc::Rc;

use lilaccrank::membership::{DATAGRAM_LIMIT, State};

use crate::cluster::{self, Cluster};

// Requests sent to a killed daemon are lost until all others know of its death. Daemon 1 is killed
// without announcing it. A member whose probes fail suspects it, and announces its death when the
// suspicion ends.
macro_rules! killed {
    ($($name:ident: $count:expr, $limit_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new($count);
            cluster.kill(1);
            let known = cluster.advance_until($limit_ms, |c| c.all_see($count - 1, Some(1)));
            assert!(known.is_some());
            assert!(cluster.network.largest() <= DATAGRAM_LIMIT);
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

// A daemon that resumes after a freeze would go on granting although it was declared dead and its
// successor grants as well. Datagrams queued during the freeze may report its death, only a
// suspicion that it refutes first, or nothing. In each case it must learn of its death within a few
// periods, so that the caller gives up its grants. Its first messages are lost.
macro_rules! thawed {
    ($($name:ident: $count:expr, $known_state:expr;)*) => {$(
        #[test]
        fn $name() {
            for phase in 0..5 {
                thaw_after_death($count, $known_state, phase * 130);
            }
        }
    )*};
}

fn thaw_after_death(count: usize, known_state: State, phase_ms: u64) {
    let mut cluster = Cluster::new(count);
    cluster.advance(phase_ms);
    let death_count = Rc::new(Cell::new(0));
    let (membership, seen) = (
        cluster.daemons[1].membership.clone(),
        Rc::clone(&death_count),
    );
    cluster.spawn(async move { seen.set(membership.self_was_declared_dead(0).await) });
    cluster.freeze(1);
    let known = cluster.advance_until(5_000, |c| {
        let others = (0..count).filter(|index| *index != 1);
        let mut records = others.filter_map(|index| c.record(index, &cluster::vm(1)));
        records.any(|record| record.state == known_state)
    });
    assert!(known.is_some());
    cluster.advance(100);
    cluster.network.isolate([cluster::address(1)]);
    cluster.advance(30_000);
    assert!(cluster.all_see(count - 1, Some(1)));
    cluster.thaw(1);
    cluster.advance(100);
    cluster.network.isolate([]);
    assert!(
        cluster
            .advance_until(500, |_| death_count.get() > 0)
            .is_some()
    );
    assert!(
        cluster
            .advance_until(3_000, |c| c.all_see(count, None))
            .is_some()
    );
    cluster.advance(10_000);
    assert_eq!(cluster.declared_dead(), 1);
}

thawed! {
    thawed_daemon_of_2_that_heard_all_learns_of_its_death: 2, State::Dead;
    thawed_daemon_of_2_that_heard_nothing_learns_of_its_death: 2, State::Live;
    thawed_daemon_of_2_that_heard_of_suspicion_learns_of_its_death: 2, State::Suspect;
    thawed_daemon_of_3_that_heard_all_learns_of_its_death: 3, State::Dead;
    thawed_daemon_of_3_that_heard_nothing_learns_of_its_death: 3, State::Live;
    thawed_daemon_of_3_that_heard_of_suspicion_learns_of_its_death: 3, State::Suspect;
    thawed_daemon_of_9_that_heard_all_learns_of_its_death: 9, State::Dead;
    thawed_daemon_of_9_that_heard_nothing_learns_of_its_death: 9, State::Live;
    thawed_daemon_of_9_that_heard_of_suspicion_learns_of_its_death: 9, State::Suspect;
}

// A daemon is frozen during a probe. When it resumes, the timeout has passed although the other
// member had no chance to answer. If that failure alone counted, a healthy daemon would be declared
// dead and lose its duties.
#[test]
fn thawed_daemon_declares_nobody_dead() {
    let mut cluster = Cluster::new(9);
    for pause in 0..20 {
        cluster.network.isolate([cluster::address(3)]);
        cluster.advance(110 + 10 * pause);
        cluster.freeze(3);
        cluster.advance(5_000);
        cluster.network.isolate([]);
        cluster.thaw(3);
        cluster.advance(5_000);
    }
    let others = (0..9).filter(|index| *index != 3);
    for index in others {
        let count = cluster.daemons[index].membership.declared_dead_count();
        assert_eq!(count, 0, "daemon {index} was declared dead");
    }
}

// Guards against a daemon that runs in short turns, and takes what it has not read yet for silence of the others.
#[test]
fn daemon_that_runs_in_short_turns_declares_nobody_dead() {
    let mut cluster = Cluster::new(9);
    for pause in 0..100 {
        cluster.freeze(3);
        cluster.advance(110 + 10 * (pause % 20));
        cluster.thaw(3);
        cluster.advance(10);
    }
    let others = (0..9).filter(|index| *index != 3);
    for index in others {
        let count = cluster.daemons[index].membership.declared_dead_count();
        assert_eq!(count, 0, "daemon {index} was declared dead");
    }
}

// Daemon 5 learns that daemon 4 is suspect and is frozen before daemon 4 refutes the suspicion.
// When daemon 5 resumes, its wait is over and it still has the suspicion. If the elapsed time alone
// counted, it would declare a healthy daemon dead.
#[test]
fn outdated_suspicion_kills_no_live_member() {
    let mut cluster = Cluster::new(9);
    cluster.freeze(4);
    let suspected = cluster.advance_until(3_000, |c| {
        c.record(5, &cluster::vm(4))
            .is_some_and(|m| m.state == State::Suspect)
    });
    assert!(suspected.is_some());
    cluster.freeze(5);
    cluster.network.isolate([cluster::address(5)]);
    cluster.thaw(4);
    cluster.advance(10_000);
    cluster.network.isolate([]);
    cluster.thaw(5);
    cluster.advance(5_000);
    assert!(cluster.all_see(9, None));
    assert_eq!(cluster.daemons[4].membership.declared_dead_count(), 0);
}

// Three daemons fail shortly after each other, as when a rack fails. The failure detector must
// not depend on a member that fails itself before it declares another one dead.
#[test]
fn simultaneous_deaths_are_all_detected() {
    let mut cluster = Cluster::new(9);
    for victim in [1, 2, 3] {
        cluster.kill(victim);
        cluster.advance(300);
    }
    let known = cluster.advance_until(5_000, |c| {
        [0, 4, 5, 6, 7, 8].into_iter().all(|i| c.live(i).len() == 6)
    });
    assert!(known.is_some());
}

// A VM is replaced by one with another name at the same address. The old name no longer answers, so
// duties and grants sent to it are lost as long as it is considered live.
#[test]
fn replacement_at_same_address_marks_old_vm_dead() {
    let mut cluster = Cluster::new(9);
    cluster.kill(5);
    let successor = cluster.start("vm-new".to_owned(), 5, 2_000);
    cluster.daemons[5] = successor;
    let known = cluster.advance_until(1_000, |c| {
        let names = c.live(0);
        names.contains(&"vm-new".to_owned()) && !names.contains(&cluster::vm(5))
    });
    assert!(known.is_some());
    assert!(
        cluster
            .advance_until(3_000, |c| c.all_see(9, None))
            .is_some()
    );
}

// A daemon restarts under its own name before the others detect the failure. Its state is lost, so
// the others must see a new incarnation although they always considered it live.
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
    assert!(cluster.advance_until(3_000, all_know).is_some());
}

// One datagram in five is lost, so about one in three direct probes fails. If live members were
// dropped from the table, their duties and the requests queued there would move each time.
macro_rules! lossy {
    ($($name:ident: $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new($count);
            cluster.network.set_loss(0.2);
            for _ in 0..600 {
                cluster.advance(100);
                assert!(cluster.all_see($count, None), "a live member was dropped");
            }
            assert_eq!(cluster.declared_dead(), 0);
            cluster.kill(1);
            let known = cluster.advance_until(6_000, |c| c.all_see($count - 1, Some(1)));
            assert!(known.is_some());
        }
    )*};
}

lossy! {
    packet_loss_among_3_drops_no_live_member: 3;
    packet_loss_among_9_drops_no_live_member: 9;
}

// A network partition separates three daemons, and each side declares the other dead. Dead members
// are not probed, so unless digests are still sent to them, the sides never merge after the
// partition heals and both keep their own duties.
#[test]
fn partition_heals() {
    let mut cluster = Cluster::new(9);
    cluster.network.isolate((0..3).map(cluster::address));
    let partitioned =
        |c: &Cluster| (0..3).all(|i| c.live(i).len() == 3) && (3..9).all(|i| c.live(i).len() == 6);
    assert!(cluster.advance_until(5_000, partitioned).is_some());
    cluster.advance(60_000);
    cluster.network.isolate([]);
    assert!(
        cluster
            .advance_until(10_000, |c| c.all_see(9, None))
            .is_some()
    );
}

// A leaving daemon is assigned work until the others know that it leaves. It announces that to all
// members twice, so that with one datagram in five lost, few of them learn of it a period late.
#[test]
fn leaving_is_known_at_once() {
    let mut cluster = Cluster::new(9);
    cluster.network.set_loss(0.2);
    let membership = cluster.daemons[2].membership.clone();
    cluster.spawn(async move { membership.leave().await });
    assert!(
        cluster
            .advance_until(1_000, |c| c.all_see(8, None))
            .is_some()
    );
    let states = (0..9).map(|i| cluster.record(i, &cluster::vm(2)).map(|m| m.state));
    assert!(states.into_iter().all(|s| s == Some(State::Leaving)));
}

// A daemon exits right after it announced that it leaves. All others must know by then, since it
// can't repeat the announcement.
#[test]
fn exit_after_leaving_is_known_to_all() {
    let mut cluster = Cluster::new(64);
    let left = Rc::new(Cell::new(false));
    let (membership, done) = (cluster.daemons[2].membership.clone(), Rc::clone(&left));
    cluster.spawn(async move {
        membership.leave().await;
        done.set(true);
    });
    assert!(cluster.advance_until(250, |_| left.get()).is_some());
    cluster.kill(2);
    assert!(cluster.all_see(63, Some(2)));
}

// A caller reports that a peer refused its connection. If the report alone counted, one full listen
// backlog would be enough to declare a healthy daemon dead.
#[test]
fn hint_about_a_healthy_member_changes_nothing() {
    let mut cluster = Cluster::new(9);
    cluster.daemons[0].membership.suspect(&cluster::vm(4));
    cluster.advance(2_000);
    assert!(cluster.all_see(9, None));
    assert_eq!(cluster.daemons[4].membership.me().incarnation, 1_000);
}
