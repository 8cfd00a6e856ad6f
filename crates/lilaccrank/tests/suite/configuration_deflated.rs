//! Deflated sections between daemons.

use std::rc::Rc;

use bytes::Bytes;
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::deflated::{self, Deflated, TOTAL_LIMIT};
use lilaccrank::configuration::exchange::{self, Answer, Ask};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::{Customer, Document};
use lilaccrank::ids::{Generation, VmId};
use lilaccrank::paused_clock::PausedClock;
use lilaccrank::peers::{self, Peers};
use lilaccrank::store::VALUE_LIMIT;
use serde::{Deserialize, Serialize};

use super::configuration_bench::Holder;
use super::configuration_store::run;

/// A question of a daemon that knows nothing of deflated sections.
#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum OldAsk {
    Changes { held: Option<Identity> },
    Sections { digests: Vec<String> },
}

fn identity(generation: Generation) -> Identity {
    Identity {
        generation,
        publication: format!("version-{generation}"),
    }
}

fn document(customers: usize) -> Document {
    let customers = (0..customers).map(|n| Customer {
        id: format!("customer-{n}"),
        tiers: vec!["urgent".to_owned()],
        weight: 1,
        ..Customer::default()
    });
    Document {
        customers: customers.collect(),
        tiers: vec!["urgent".to_owned()],
        ..Document::default()
    }
}

fn adopt(adoption: &Adoption, generation: Generation, document: &Document) -> Sections {
    let sections = Sections::split(document).unwrap();
    let manifest = Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: identity(generation),
        sections: sections.index.clone(),
    };
    adoption.adopt(manifest, &sections.contents).unwrap();
    sections
}

/// What a daemon answers to another one's question, over the wire.
fn answer_to(adoption: &Adoption, ask: &OldAsk) -> Answer {
    let wire = rmp_serde::to_vec_named(ask).unwrap();
    let ask: Ask = rmp_serde::from_slice(&wire).unwrap();
    exchange::answer(adoption, &ask)
}

// Guards against daemons of two versions that can't read each other's configurations.
#[test]
fn a_daemon_that_takes_nothing_deflated_gets_plain_sections() {
    let adoption = Adoption::new();
    adopt(&adoption, 1, &document(10));
    let sections = adopt(&adoption, 2, &document(11));
    let held = Some(identity(1));
    let Answer::Changes(changes) = answer_to(&adoption, &OldAsk::Changes { held }) else {
        panic!("no changes");
    };
    assert!(changes.deflated.is_empty() && !changes.contents.is_empty());
    let digests = sections.contents.keys().cloned().collect();
    let answer = answer_to(&adoption, &OldAsk::Sections { digests });
    assert_eq!(answer, Answer::Sections(sections.contents));
}

// Guards against the same the other way round.
#[test]
fn a_daemon_that_knows_nothing_of_deflated_sections_reads_the_question() {
    let ask = Ask::Changes {
        held: Some(identity(1)),
        takes_deflated: true,
    };
    let wire = rmp_serde::to_vec_named(&ask).unwrap();
    let read: OldAsk = rmp_serde::from_slice(&wire).unwrap();
    let held = Some(identity(1));
    assert_eq!(read, OldAsk::Changes { held });
}

/// What comes of asking a peer.
fn take_from(
    peer: impl Peers<Ask, Answer>,
    adoption: &Adoption,
) -> exchange::Result<Option<Identity>> {
    let adoption = adoption.clone();
    let clock = PausedClock::new();
    run(&clock.clone(), async move {
        exchange::take_from(&peer, &"vm".to_owned(), &adoption, &clock).await
    })
}

/// A peer that gives one answer.
#[derive(Clone)]
struct Fixed(Answer);

impl Peers<Ask, Answer> for Fixed {
    async fn call(&self, _: &VmId, _: Ask) -> peers::Result<Answer> {
        Ok(self.0.clone())
    }
}

// Guards against a damaged section that is taken, or sent on to others.
#[test]
fn a_damaged_section_is_not_adopted() {
    let holder = Adoption::new();
    adopt(&holder, 1, &document(10));
    adopt(&holder, 2, &document(11));
    let asker = Adoption::new();
    adopt(&asker, 1, &document(10));
    let ask = Ask::Changes {
        held: Some(identity(1)),
        takes_deflated: true,
    };
    let Answer::Changes(mut changes) = exchange::answer(&holder, &ask) else {
        panic!("no changes");
    };
    let other = deflated::deflate("{}").unwrap();
    changes
        .deflated
        .values_mut()
        .for_each(|bytes| *bytes = other.clone());
    let peer = Fixed(Answer::Changes(changes));
    assert!(take_from(peer, &asker).is_err());
    assert_eq!(asker.identity(), Some(identity(1)));
}

// Guards against an answer of some kilobytes that inflates to more memory than the daemon has.
#[test]
fn what_inflates_without_end_is_cut_off() {
    let section = deflated::deflate(&" ".repeat(VALUE_LIMIT)).unwrap();
    let sections = TOTAL_LIMIT / VALUE_LIMIT * 2;
    let mut all: Deflated = (0..sections)
        .map(|n| (n.to_string(), section.clone()))
        .collect();
    let larger = deflated::deflate(&" ".repeat(VALUE_LIMIT + 1)).unwrap();
    all.insert_before(0, "too large".to_owned(), larger);
    all.insert_before(0, "damaged".to_owned(), Bytes::from_static(b"damaged"));
    let contents = deflated::inflate(&all, |_| true);
    let total: usize = contents.values().map(|content| content.len()).sum();
    assert_eq!(total, TOTAL_LIMIT);
}

// Guards against a daemon that sends on what it has received in a larger form.
#[test]
fn what_came_deflated_is_sent_on_deflated() {
    let first = Adoption::new();
    adopt(&first, 1, &document(500));
    let plain: usize = adopt(&first, 2, &document(501))
        .contents
        .values()
        .map(|content| content.len())
        .sum();
    let mut from = first;
    for _ in 0..2 {
        let holder = Holder {
            holder: from,
            sent: Rc::default(),
        };
        let next = Adoption::new();
        adopt(&next, 1, &document(500));
        assert_eq!(take_from(holder.clone(), &next), Ok(Some(identity(2))));
        let sent: usize = holder.sent.take().into_iter().sum();
        assert!(sent * 4 < plain, "{sent} bytes of {plain}");
        from = next;
    }
}
