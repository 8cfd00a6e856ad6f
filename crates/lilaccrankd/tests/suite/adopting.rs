//! Requests of a daemon while it adopts a large configuration.

use std::time::Duration;

use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Document, Pool, Rule};
use lilaccrank::steps::Steps;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrankd::configuration::source::UpdateHandler;

use super::fixtures;

/// Rules of a large document.
const RULES: usize = 4_200;

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

// Guards against requests that wait while a configuration is built, and against one that counts before all
// of it is there.
#[test]
fn requests_are_decided_while_a_configuration_is_built() {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        let handler = UpdateHandler::new(&daemon);
        let adopt = |generation, document: Document| {
            let handler = handler.clone();
            let identity = manifest(generation, &Sections::default()).identity;
            async move {
                let pace = Steps::new(MonoioClock);
                let building = handler.begin().await;
                let adopted =
                    handler.adopt_configuration(&building, identity, "ana", &document, &pace);
                adopted.await.unwrap();
            }
        };
        let small = Document {
            rules: Vec::new(),
            ..document()
        };
        adopt(1, small).await;
        let building = monoio::spawn(adopt(2, document()));
        monoio::time::sleep(Duration::from_millis(1)).await;
        let generation = || daemon.newest_in_force().unwrap().identity.generation;
        assert_eq!(generation(), 1);
        building.await;
        assert_eq!(generation(), 2);
    })
    .unwrap();
}
