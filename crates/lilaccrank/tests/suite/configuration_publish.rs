//! Publication and adoption under faults of the store and races of operators.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future;
use lilaccrank::clock::Clock;
use lilaccrank::configuration::adoption::{self, Adoption};
use lilaccrank::configuration::archive::{self, Archive};
use lilaccrank::configuration::exchange::{self, Answer, Ask};
use lilaccrank::configuration::manifest::{self, Identity, Manifest};
use lilaccrank::configuration::publish::{self, Confirmation, Error, Publication};
use lilaccrank::configuration::sections::{self, Contents, Sections};
use lilaccrank::configuration::watcher::{self, Look, Timing};
use lilaccrank::document::{Customer, Document, Rule};
use lilaccrank::ids::VmId;
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::peers::{self, Peers};
use lilaccrank::rules::difference::ChangeKind;
use lilaccrank::store;

use crate::configuration_store::{FakeStore, Fault, run, run_beside};

const LIMIT: Duration = Duration::from_secs(10);

/// A document with these rules.
pub fn document(rules: &[&str]) -> Document {
    let rules = rules.iter().map(|id| {
        let mut rule = Rule {
            id: (*id).to_owned(),
            ..Rule::default()
        };
        rule.then.refuse = Some("closed".to_owned());
        rule.when.path = Some(format!("/{id}"));
        rule
    });
    Document {
        rules: rules.collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    }
}

pub fn publication(id: &str, base: Option<&Identity>, rules: &[&str]) -> Publication {
    Publication {
        author: format!("author of {id}"),
        base: base.cloned(),
        document: document(rules),
        id: id.to_owned(),
    }
}

/// A store, its clock and one daemon.
struct Bench {
    adoption: Adoption,
    clock: PausedClock,
    store: FakeStore,
}

impl Bench {
    fn new() -> Self {
        let clock = PausedClock::new();
        Self {
            adoption: Adoption::new(),
            store: FakeStore::new(&clock),
            clock,
        }
    }

    fn publish(&self, publication: Publication) -> publish::Result<Identity> {
        self.publish_at(&Adoption::new(), publication)
    }

    /// Publishes at a daemon.
    fn publish_at(
        &self,
        adoption: &Adoption,
        publication: Publication,
    ) -> publish::Result<Identity> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = adoption.clone();
        run(&self.clock, async move {
            publish::publish(&store, &clock, &adoption, &publication, LIMIT).await
        })
    }

    /// Publishes on top of what the store has, without any fault.
    fn publish_next(&self, id: &str, rules: &[&str]) -> Identity {
        let base = self.store.manifest().map(|manifest| manifest.identity);
        let published = self.publish(publication(id, base.as_ref(), rules));
        published.unwrap()
    }

    fn look(&self, adoption: &Adoption) -> watcher::Result<Look> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        let adoption = adoption.clone();
        run(&self.clock, async move {
            watcher::look(&store, &clock, &adoption, Timing::default()).await
        })
    }

    fn archive(&self) -> Archive<FakeStore, PausedClock> {
        Archive::new(&self.store, &self.clock, LIMIT)
    }

    fn confirm(&self, published: Identity, held: Identity) -> Confirmation {
        let archive = self.archive();
        run(&self.clock, async move {
            let confirmed = publish::confirm(&archive, &published, &[held]).await;
            confirmed.unwrap()
        })
    }
}

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

#[test]
fn nothing_is_adopted_unless_it_is_whole_and_sound() {
    // A section is missing, damaged, or makes up a bad document. The daemon says so and keeps
    // what is in force.
    let sections = Sections::split(&document(&["a"])).unwrap();
    let identity = Identity {
        generation: 1,
        publication: "p1".to_owned(),
    };
    let manifest_of = |sections: &Sections| Manifest {
        ancestors: vec![],
        author: "ana".to_owned(),
        identity: identity.clone(),
        sections: sections.index.clone(),
    };
    let adoption = Adoption::new();
    let missing = adoption.adopt(manifest_of(&sections), &Contents::new());
    let missing = missing.unwrap_err();
    assert!(matches!(
        missing,
        adoption::Error::Sections(sections::Error::Missing(_))
    ));
    let damaged = sections.contents.keys();
    let damaged = damaged
        .map(|digest| (digest.clone(), Rc::from("{}")))
        .collect();
    let damaged = adoption
        .adopt(manifest_of(&sections), &damaged)
        .unwrap_err();
    assert!(matches!(
        damaged,
        adoption::Error::Sections(sections::Error::Corrupt(_))
    ));
    let doubled = Sections::split(&document(&["a", "a"])).unwrap();
    let doubled = adoption.adopt(manifest_of(&doubled), &doubled.contents);
    assert!(matches!(doubled.unwrap_err(), adoption::Error::Invalid(_)));
    assert_eq!(adoption.identity(), None);
}

#[test]
fn a_silent_watch_is_given_up() {
    // Something between daemon and store loses track of the connection, and the watch never
    // ends. After a bounded time the daemon watches anew and adopts what came in between.
    let bench = Bench::new();
    bench.store.silence_next_watch();
    bench.publish_next("p1", &["a"]);
    let (store, clock, adoption) = (
        bench.store.clone(),
        bench.clock.clone(),
        bench.adoption.clone(),
    );
    let watcher = watcher::run_watcher(store, clock, adoption.clone(), Timing::default());
    run_beside(&bench.clock, watcher, async move {
        adoption.changed(None).await;
    });
    assert!(bench.clock.elapsed() < Duration::from_secs(60));
}

#[test]
fn the_watcher_follows_the_store_through_an_outage() {
    // The daemon holds generation 1 when the store goes away, and adopts generation 2 once the
    // store is back, without being asked. Whoever waits for the change is woken.
    let bench = Bench::new();
    let first = bench.publish_next("p1", &["a"]);
    let (store, clock, adoption) = (
        bench.store.clone(),
        bench.clock.clone(),
        bench.adoption.clone(),
    );
    let watcher = watcher::run_watcher(
        store.clone(),
        clock.clone(),
        adoption.clone(),
        Timing::default(),
    );
    let second = run_beside(&bench.clock, watcher, async move {
        adoption.changed(None).await;
        store.set_out(true);
        clock.sleep(Duration::from_secs(60)).await;
        store.set_out(false);
        let second = publication("p2", Some(&first), &["b"]);
        publish::publish(&store, &clock, &Adoption::new(), &second, LIMIT)
            .await
            .unwrap();
        let second = adoption.changed(Some(&first)).await;
        second.manifest.identity.clone()
    });
    assert_eq!(second.generation, 2);
}

/// A peer that holds `holder`'s configuration, and the sizes of its answers in bytes.
#[derive(Clone)]
pub struct Holder {
    pub holder: Adoption,
    pub sent: Rc<RefCell<Vec<usize>>>,
}

impl Peers<Ask, Answer> for Holder {
    async fn call(&self, _: &VmId, ask: Ask) -> peers::Result<Answer> {
        let wire = rmp_serde::to_vec_named(&exchange::answer(&self.holder, &ask)).unwrap();
        self.sent.borrow_mut().push(wire.len());
        Ok(rmp_serde::from_slice(&wire).unwrap())
    }
}

#[test]
fn a_peer_sends_only_the_sections_that_changed() {
    // A daemon is cut off from the store and hears from a peer: first everything, then only
    // the one shard of customers that was edited.
    let bench = Bench::new();
    let mut document = document(&["a"]);
    document.customers = (0..2_000)
        .map(|n| Customer {
            id: format!("customer-{n}"),
            tiers: vec!["urgent".to_owned()],
            weight: 1,
            ..Customer::default()
        })
        .collect();
    let mut first = publication("p1", None, &[]);
    first.document = document.clone();
    let base = bench.publish(first).unwrap();
    bench.look(&bench.adoption).unwrap();
    let peer = Holder {
        holder: bench.adoption.clone(),
        sent: Rc::default(),
    };
    let cut_off = Adoption::new();
    let hear = |peer: Holder| {
        let cut_off = cut_off.clone();
        run(&bench.clock, async move {
            exchange::take_from(&peer, &"vm".to_owned(), &cut_off).await
        })
    };
    assert_eq!(hear(peer.clone()), Ok(Some(base.clone())));
    let whole: usize = peer.sent.take().into_iter().sum();
    document.customers[7].weight = 2;
    let mut second = publication("p2", Some(&base), &[]);
    second.document = document;
    let second = bench.publish(second).unwrap();
    bench.look(&bench.adoption).unwrap();
    assert_eq!(hear(peer.clone()), Ok(Some(second)));
    let sent = peer.sent.take();
    assert!(
        sent.len() == 1 && sent[0] * 4 < whole,
        "{sent:?} of {whole} bytes"
    );
    let held = |adoption: &Adoption| adoption.current().unwrap().document.clone();
    assert_eq!(held(&cut_off), held(&bench.adoption));
}

#[test]
fn garbage_goes_and_the_last_fifty_stay() {
    // Each publication has a rule section of its own. Those beyond the history are deleted,
    // and every kept generation can still be read for a rollback.
    let bench = Bench::new();
    let names: Vec<String> = (0..96).map(|n| format!("rule-{n}")).collect();
    for name in &names {
        bench.publish_next(&format!("p-{name}"), &[name]);
    }
    let sections = bench.store.keys("configuration/section/");
    let general = 1;
    assert_eq!(sections, 1 + manifest::HISTORY_LENGTH + general);
    let (archive, newest) = (bench.archive(), bench.store.manifest().unwrap());
    let read = run(&bench.clock, async move {
        let kept = archive.ancestors(&newest).await.unwrap();
        for manifest in kept.iter().chain([&newest]) {
            archive.document(manifest, &Contents::new()).await.unwrap();
        }
        kept.len()
    });
    assert_eq!(read, manifest::HISTORY_LENGTH);
}

#[test]
fn garbage_that_another_publisher_takes_up_stays() {
    // A rollback to a document beyond the history finds its section still there, just as the
    // collector is about to delete it. Without care the new manifest would name a section that
    // is gone, and no daemon could adopt it. Taking up writes it again, and only the version
    // that the collector saw before is deleted.
    let bench = Bench::new();
    let first = bench.publish_next("p-0", &["rule-0"]);
    let archive = bench.archive();
    let first = run(&bench.clock, async move { archive.find(&first).await });
    let first = first.unwrap().unwrap();
    for n in 1..63 {
        bench.publish_next(&format!("p-{n}"), &[&format!("rule-{n}")]);
    }
    let key = sections::key(&first.sections["rules/000000"]);
    bench.store.take_up(&key);
    bench.publish_next("p-63", &["rule-63"]);
    let before = bench.store.snapshot()[&key].version;
    bench.publish_next("p-64", &["rule-0"]);
    assert!(bench.store.snapshot()[&key].version > before);
}
