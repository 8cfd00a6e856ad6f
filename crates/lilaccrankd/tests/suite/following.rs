//! When a daemon that is no watcher follows the platform itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::clock::Clock;
use lilaccrank::membership::{self, Membership};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrankd::configuration;
use lilaccrankd::configuration::source::UpdateHandler;
use lilaccrankd::daemon::Daemon;
use lilaccrankd::peers::traffic::Traffic;
use lilaccrankd::ports::Ports;
use lilaccrankd::settings::Settings;

use super::network::Network;

/// Time after which every daemon has to know that a target leaves.
const DRAINED: Duration = Duration::from_secs(2);

/// Address of the gossip of the member with this number.
fn address(member: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], member))
}

fn settings(member: u16) -> Settings {
    Settings {
        gossip: address(member),
        peer: address(member),
        seeds: vec![address(1)],
        vm: format!("vm-{member}"),
        ..Settings::default()
    }
}

/// Settings of the last member, whose list of targets may be used for a time only.
fn leased() -> Settings {
    Settings {
        listing_lease_ms: 5_000,
        ..settings(6)
    }
}

/// Starts the gossip of a member, which joins through the first one.
fn join(network: &Network, member: u16) -> Membership {
    let cfg = settings(member);
    let (membership, gossip) = membership::new(
        membership::Settings::default(),
        Daemon::member(&cfg, 1),
        MonoioClock,
        network.socket(address(member)),
    );
    membership.set_seeds(cfg.seeds);
    monoio::spawn(gossip.run());
    membership
}

/// A daemon with these settings that is no watcher of the members that have joined.
async fn start(network: &Network, member: u16, cfg: Settings) -> Daemon {
    let membership = join(network, member);
    let (traffic, ports) = (Rc::<Traffic>::default(), Ports::default());
    let daemon = Daemon::new(cfg, 1, membership, traffic, ports).unwrap();
    while daemon.duties.is_watcher() {
        let version = daemon.membership.version();
        daemon.membership.changed(version).await;
    }
    daemon
}

/// Time after its last contact in which a daemon follows the platform; `None` if it does not in twice
/// the time in which it has to.
fn asked_after(cfg: Settings, is_churning: bool) -> Option<Duration> {
    let asked = runtime::block_on(async {
        let network = Network::default();
        for member in 1..=5 {
            join(&network, member);
        }
        let daemon = start(&network, 6, cfg).await;
        let now = MonoioClock.boot_time();
        daemon.platform_contact.record_configuration(now);
        daemon.platform_contact.record_list(now);
        let started = Instant::now();
        if is_churning {
            monoio::spawn(async move {
                for member in 10.. {
                    join(&network, member);
                    monoio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
        let needed = configuration::until_needed(&daemon);
        let needed = monoio::time::timeout(DRAINED * 2, needed).await;
        needed.is_ok().then(|| started.elapsed())
    });
    asked.unwrap()
}

/// Takes a lease and whether members change all the time. A daemon that hears nothing asks in time.
macro_rules! asks {
    ($name:ident, $lease:ident, $is_churning:literal) => {
        #[test]
        fn $name() {
            let cfg = Settings {
                $lease: 5_000,
                ..settings(6)
            };
            let asked = asked_after(cfg, $is_churning).expect("the daemon asks the platform");
            assert!(asked < DRAINED, "{asked:?}");
        }
    };
}

// Guards against a fleet in which the members change all the time, as when a data centre is cut off:
// each change began the wait for old news anew, and a daemon that heard nothing never asked the platform.
asks!(
    changes_of_the_members_postpone_no_check,
    configuration_lease_ms,
    true
);
// Guards against sends that wait for a newer list which nobody asks for.
asks!(for_a_list_that_has_a_lease, listing_lease_ms, false);

/// Time after a send needs a newer list in which the platform is asked for one.
const ASKED: Duration = Duration::from_millis(100);

// Guards against a send that waits for a newer list, and goes by the old one as the daemon still waits for its
// peers to tell it something.
#[test]
fn a_send_that_needs_a_newer_list_is_asked_for_at_once() {
    let asked = runtime::block_on(async {
        let network = Network::default();
        for member in 1..=5 {
            join(&network, member);
        }
        let daemon = Rc::new(start(&network, 6, leased()).await);
        let started = Instant::now();
        let needing = Rc::clone(&daemon);
        monoio::spawn(async move {
            loop {
                let freshness = &needing.live_list.freshness;
                freshness.need(MonoioClock.boot_time());
                monoio::time::sleep(ASKED / 5).await;
            }
        });
        configuration::until_needed(&daemon).await;
        started.elapsed()
    });
    let asked = asked.unwrap();
    assert!(asked < ASKED, "{asked:?}");
}

// Guards against a daemon that gives up its call for a newer list since a watcher had contact, although
// that has not made its own list any newer.
#[test]
fn with_an_old_list_a_daemon_is_not_relieved() {
    let relieved = runtime::block_on(async {
        let network = Network::default();
        for member in 1..=5 {
            join(&network, member);
        }
        let daemon = start(&network, 6, leased()).await;
        let relieved = async || {
            let now = MonoioClock.boot_time();
            daemon.platform_contact.record_watcher(now);
            let relieved = configuration::until_relieved(&daemon);
            monoio::time::timeout(ASKED, relieved).await.is_ok()
        };
        let freshness = &daemon.live_list.freshness;
        let now = MonoioClock.boot_time();
        freshness.confirm(now.saturating_sub(DRAINED));
        let with_an_old_list = relieved().await;
        freshness.confirm(MonoioClock.boot_time());
        [with_an_old_list, relieved().await]
    });
    assert_eq!(relieved.unwrap(), [false, true]);
}

// Without any lease what is known may be used for good.
#[test]
fn without_a_lease_nobody_asks() {
    assert_eq!(asked_after(settings(6), false), None);
}

// Guards against a daemon that alone reaches the platform and pauses as if it heard of changes from watchers.
#[test]
fn without_a_fresh_watcher_a_follower_pauses_like_a_watcher() {
    let settled = Duration::from_secs(3);
    let quiet = Some(Duration::ZERO);
    let pause = runtime::block_on(async {
        let network = Network::default();
        for member in 1..=5 {
            join(&network, member);
        }
        let daemon = Rc::new(start(&network, 6, leased()).await);
        let handler = UpdateHandler::new(&daemon);
        monoio::time::sleep(settled).await;
        handler.watch_pause(quiet)
    });
    assert_eq!(
        pause.unwrap(),
        configuration::watch_pause(quiet, true, settled)
    );
}
