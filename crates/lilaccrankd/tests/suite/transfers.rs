//! Contents of configurations for other daemons.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::exchange::{self, Ask};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Customer, Document};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;

/// Customers of a configuration with many sections.
const CUSTOMERS: usize = 20_000;
/// Interval of a timer.
const TICK: Duration = Duration::from_millis(1);

/// A configuration in force, and the question for all of its sections.
fn adopted() -> (Adoption, Ask) {
    let customers = (0..CUSTOMERS).map(|n| Customer {
        id: format!("customer-{n}"),
        tiers: vec!["urgent".to_owned()],
        weight: 1,
        ..Customer::default()
    });
    let document = Document {
        customers: customers.collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    };
    let sections = Sections::split(&document).unwrap();
    let manifest = Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: Identity {
            generation: 1,
            publication: "first".to_owned(),
        },
        sections: sections.index,
    };
    let adoption = Adoption::new();
    let digests = sections.contents.keys().cloned().collect();
    adoption.adopt(manifest, &sections.contents).unwrap();
    let ask = Ask::Sections {
        digests,
        takes_deflated: true,
    };
    (adoption, ask)
}

/// Guards against timers that don't fire while sections are deflated, although the task yields after each.
#[test]
fn timers_fire_while_sections_are_deflated() {
    let (adoption, ask) = adopted();
    let Ask::Sections { digests, .. } = &ask else {
        unreachable!()
    };
    let ticks = Rc::new(Cell::new(0));
    let fired = Rc::clone(&ticks);
    runtime::block_on(async {
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(TICK).await;
                fired.set(fired.get() + 1);
            }
        });
        monoio::time::sleep(10 * TICK).await;
        ticks.set(0);
        exchange::prepare(&adoption, &ask, &MonoioClock).await;
    })
    .unwrap();
    assert!(
        ticks.get() >= digests.len() / 2,
        "{} timers, {} sections",
        ticks.get(),
        digests.len()
    );
}
