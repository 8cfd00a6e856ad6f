//! How a daemon loads configurations from others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::advisories::sync::Pull;
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::exchange::{self, Answer, Ask};
use lilaccrank::configuration::manifest::{Identity, Manifest};
use lilaccrank::configuration::sections::Sections;
use lilaccrank::document::Document;
use lilaccrank::ids::{Generation, VmId};
use lilaccrank::peers::{Peers, Result};
use lilaccrank::store_revision::StoreRevision;
use lilaccrank_http::tally::Tally;
use lilaccrank_http::{peer_server, runtime, server};
use lilaccrankd::configuration::{self, feed};
use lilaccrankd::peers::message::{
    Announcement, Feed, FeedRequest, PeerReply, PeerRequest, Stamped,
};

use super::fixtures;

/// Time that a stand-in takes to answer about configurations.
const SLOW: Duration = Duration::from_millis(400);
/// Time in which a change has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time that what waits for nothing takes at most.
const QUICK: Duration = Duration::from_millis(200);

/// A peer that takes its time to send configurations, and answers everything else at once.
struct Holder {
    adoption: Adoption,
    asked: Rc<Cell<usize>>,
    vm: VmId,
}

fn identity(generation: Generation) -> Identity {
    Identity {
        generation,
        publication: format!("version-{generation}"),
    }
}

fn adopt(adoption: &Adoption, generation: Generation) {
    let sections = Sections::split(&Document::default()).unwrap();
    let manifest = Manifest {
        ancestors: Vec::new(),
        author: "ana".to_owned(),
        identity: identity(generation),
        sections: sections.index,
    };
    adoption.adopt(manifest, &sections.contents).unwrap();
}

impl Holder {
    /// Starts a peer that holds this generation; it fails to send it if it `is_broken`.
    fn start(generation: Generation, is_broken: bool) -> Self {
        Self::start_slow(generation, is_broken, SLOW)
    }

    /// The same with the time that each answer about configurations takes.
    fn start_slow(generation: Generation, is_broken: bool, time: Duration) -> Self {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let holder = Self {
            adoption: Adoption::new(),
            asked: Rc::default(),
            vm: listener.local_addr().unwrap().to_string(),
        };
        adopt(&holder.adoption, generation);
        let (adoption, asked) = (holder.adoption.clone(), Rc::clone(&holder.asked));
        let other = fixtures::daemon();
        let handler = move |req: Stamped<PeerRequest>| {
            let (adoption, asked) = (adoption.clone(), Rc::clone(&asked));
            let other = Rc::clone(&other);
            async move {
                let message: PeerReply = match req.message {
                    PeerRequest::Configuration(ask) => {
                        asked.set(asked.get() + 1);
                        monoio::time::sleep(time).await;
                        match is_broken {
                            true => Answer::Nothing.into(),
                            false => exchange::answer(&adoption, &ask).into(),
                        }
                    }
                    PeerRequest::Feed(asked) => feed::answer(&other, &asked).into(),
                    _ => unreachable!(),
                };
                Stamped {
                    message,
                    stamp: req.stamp,
                }
            }
        };
        monoio::spawn(peer_server::serve(listener, Tally::default(), handler));
        holder
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            identity: self.adoption.identity().unwrap(),
            vm: self.vm.clone(),
        }
    }
}

// Guards against a change that each of several announcements makes a daemon load once more: the copies
// fill its link.
#[test]
fn announcements_of_one_change_load_it_once() {
    let (asked, held) = runtime::block_on(async {
        let daemon = fixtures::daemon();
        adopt(&daemon.adoption, 6);
        let holders = [0; 3].map(|_| Holder::start(7, false));
        for holder in &holders {
            configuration::handle_announcement(&daemon, holder.announcement());
        }
        monoio::time::sleep(SLOW * 4).await;
        let asked: usize = holders.iter().map(|holder| holder.asked.get()).sum();
        (asked, daemon.adoption.identity())
    })
    .unwrap();
    assert_eq!((asked, held), (1, Some(identity(7))));
}

// Guards against a change that is lost when the first peer that told of it does not send it.
#[test]
fn another_peer_is_asked_when_the_first_fails() {
    let held = runtime::block_on(async {
        let daemon = fixtures::daemon();
        for holder in [Holder::start(7, true), Holder::start(7, false)] {
            configuration::handle_announcement(&daemon, holder.announcement());
        }
        monoio::time::sleep(IN_FORCE).await;
        daemon.adoption.identity()
    })
    .unwrap();
    assert_eq!(held, Some(identity(7)));
}

// Guards against a newer change that is overlooked while an older one is loaded.
#[test]
fn a_newer_change_is_loaded_after_the_first() {
    let held = runtime::block_on(async {
        let daemon = fixtures::daemon();
        for holder in [Holder::start(7, false), Holder::start(8, false)] {
            configuration::handle_announcement(&daemon, holder.announcement());
        }
        monoio::time::sleep(IN_FORCE).await;
        daemon.adoption.identity()
    })
    .unwrap();
    assert_eq!(held, Some(identity(8)));
}

// Guards against a change that one slow peer holds up, which never is silent for long.
#[test]
fn a_second_peer_is_asked_beside_one_that_takes_long() {
    let held = runtime::block_on(async {
        let daemon = fixtures::daemon();
        let slow = Holder::start_slow(7, false, Duration::from_millis(900));
        configuration::handle_announcement(&daemon, slow.announcement());
        monoio::time::sleep(Duration::from_millis(1_050)).await;
        let quick = Holder::start_slow(7, false, Duration::ZERO);
        configuration::handle_announcement(&daemon, quick.announcement());
        monoio::time::sleep(QUICK).await;
        daemon.adoption.identity()
    })
    .unwrap();
    assert_eq!(held, Some(identity(7)));
}

// Guards against polls that wait behind a configuration on its way: a daemon then takes the watchers for
// silent and asks the platform for everything as well.
#[test]
fn polls_do_not_wait_behind_a_configuration() {
    let waited = runtime::block_on(async {
        let daemon = fixtures::daemon();
        let holder = Holder::start(7, false);
        let (peers, vm) = (daemon.peers.clone(), holder.vm.clone());
        monoio::spawn(async move {
            let ask = Ask::Changes {
                held: None,
                takes_deflated: true,
            };
            let _: Result<Answer> = peers.call(&vm, ask).await;
        });
        while holder.asked.get() == 0 {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let began = Instant::now();
        let req = FeedRequest {
            advisories: Pull::default(),
            orders_revision: StoreRevision::default(),
            revision: StoreRevision::default(),
            takes_changes: true,
            lacks_versions: false,
        };
        let _: Feed = daemon.peers.call(&holder.vm, req).await.unwrap();
        began.elapsed()
    })
    .unwrap();
    assert!(waited < QUICK, "{waited:?}");
}
