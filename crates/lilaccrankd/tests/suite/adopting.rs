//! Other tasks and timers of a daemon while it adopts or sends a large configuration.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::configuration::exchange::{Answer, Ask};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Document, Pool, Rule};
use lilaccrank::steps::Steps;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrankd::configuration::source::UpdateHandler;
use lilaccrankd::configuration::transfers;

use super::fixtures;

/// Rules of a large document.
const RULES: usize = 4_200;
/// Bytes that one step may handle: many times less than a core handles in 10 ms.
const STEP_BYTES_MAX: usize = 256 << 10;

fn rule(n: usize) -> Rule {
    let mut rule = Rule {
        id: format!("a-route-of-a-large-block-{n:06}"),
        ..Rule::default()
    };
    rule.then.pool = Some("pool".to_owned());
    rule.when.path = Some(format!("/a/long/prefix/of/a/large/block/{n:06}/"));
    rule
}

fn document() -> Document {
    Document {
        pools: vec![Pool {
            id: "pool".to_owned(),
            waiting_limit: 10,
            ..Pool::default()
        }],
        rules: (0..RULES).map(rule).collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    }
}

fn manifest(generation: u64, sections: &Sections) -> Manifest {
    Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: Identity {
            generation,
            publication: format!("version-{generation}"),
        },
        sections: sections.index.clone(),
    }
}

/// Counts how often a timer fires.
fn count_turns() -> Rc<Cell<usize>> {
    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    monoio::spawn(async move {
        loop {
            monoio::time::sleep(Duration::from_millis(1)).await;
            counted.set(counted.get() + 1);
        }
    });
    turns
}

// Guards against timers that don't fire while a configuration is deflated for another daemon.
#[test]
fn timers_fire_while_sections_are_deflated() {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        let sections = Sections::split(&document()).unwrap();
        let bytes: usize = sections.contents.values().map(|c| c.len()).sum();
        let manifest = manifest(1, &sections);
        daemon.adoption.adopt(manifest, &sections.contents).unwrap();
        let turns = count_turns();
        let ask = Ask::Sections {
            digests: sections.contents.keys().cloned().collect(),
            takes_deflated: true,
        };
        let answer = transfers::answer(&daemon, &ask).await;
        assert!(matches!(answer, Answer::Deflated(_)), "{answer:?}");
        let turns = turns.get();
        assert!(turns >= bytes / STEP_BYTES_MAX, "{turns} turns");
    })
    .unwrap();
}

// Guards against a request that is decided by an older configuration although a newer one was read before
// its body had come.
#[test]
fn a_configuration_decides_once_it_was_read() {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        let handler = UpdateHandler::new(&daemon);
        let turns = count_turns();
        for generation in 1..=2 {
            let handler = handler.clone();
            let identity = manifest(generation, &Sections::default()).identity;
            monoio::spawn(async move {
                let pace = Steps::new(MonoioClock);
                let document = document();
                let building = handler.begin().await;
                let adopted =
                    handler.adopt_configuration(&building, identity, "ana", &document, &pace);
                adopted.await.unwrap();
            });
        }
        // Both have begun, and neither has ended.
        monoio::time::sleep(Duration::from_millis(1)).await;
        assert_eq!(daemon.adoption.identity(), None);
        let in_force = daemon.newest_in_force().await.unwrap();
        assert_eq!(in_force.identity.generation, 2);
        assert!(turns.get() > 0);
    })
    .unwrap();
}
