//! Adoption: what is whole, what a watcher and a peer bring, and what becomes garbage.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::clock::Clock;
use lilaccrank::configuration::adoption::{self, Adoption};
use lilaccrank::configuration::exchange::{self};
use lilaccrank::configuration::manifest::{self, Identity, Manifest};
use lilaccrank::configuration::publish::{self};
use lilaccrank::configuration::sections::{self, Contents, Sections};
use lilaccrank::configuration::watcher::{self, Timing};
use lilaccrank::document::Customer;
use lilaccrank::store::{Expect, Store};

use crate::configuration_bench::{Bench, Holder, LIMIT, document, publication};
use crate::configuration_store::{run, run_beside};

/// A daemon that follows the store.
fn watch(bench: &Bench) -> impl Future<Output = Infallible> + use<> {
    let (store, clock) = (bench.store.clone(), bench.clock.clone());
    watcher::run_watcher(store, clock, bench.adoption.clone(), Timing::default())
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
    // ends. A change has to be in force everywhere after four seconds: before that the daemon
    // watches anew and adopts what came in between.
    let bench = Bench::new();
    bench.store.silence_next_watch();
    bench.publish_next("p1", &["a"]);
    let adoption = bench.adoption.clone();
    let watcher = watch(&bench);
    run_beside(&bench.clock, watcher, async move {
        adoption.changed(None).await;
    });
    assert!(bench.clock.elapsed() < Duration::from_secs(4));
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
    let watcher = watch(&bench);
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

// Guards against an answer of the store that confirms the configuration in force although the newer one
// that it brought could not be adopted.
#[test]
fn a_publication_that_is_not_adopted_confirms_nothing() {
    let bench = Bench::new();
    bench.publish_next("p1", &["a"]);
    let (store, clock, adoption) = (
        bench.store.clone(),
        bench.clock.clone(),
        bench.adoption.clone(),
    );
    let watcher = watch(&bench);
    let ages = run_beside(&bench.clock, watcher, async move {
        adoption.changed(None).await;
        clock.sleep(Duration::from_secs(10)).await;
        let before = adoption.age(clock.boot_time()).unwrap();
        let mut next = store.manifest().unwrap();
        next.identity.generation += 1;
        next.sections = Sections::split(&document(&["a", "a"])).unwrap().index;
        let next = serde_json::to_vec(&next).unwrap();
        store
            .put(manifest::KEY, next.into(), Expect::Any)
            .await
            .unwrap();
        clock.sleep(Duration::from_secs(10)).await;
        (before, adoption.age(clock.boot_time()).unwrap())
    });
    let time = Duration::from_secs(10);
    assert!(ages.0 < time && ages.1 >= time, "{ages:?}");
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
        let (cut_off, clock) = (cut_off.clone(), bench.clock.clone());
        run(&bench.clock, async move {
            exchange::take_from(&peer, &"vm".to_owned(), &cut_off, &clock).await
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
