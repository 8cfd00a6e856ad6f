//! Permits for retries, which return to the budget of their pool unless they are spent.

use std::iter;
use std::rc::Rc;

use lilaccrank::membership;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;
use lilaccrankd::daemon::Daemon;
use lilaccrankd::peers::traffic::Traffic;
use lilaccrankd::ports::Ports;
use lilaccrankd::request::pool_retry_budgets::RetryPermit;
use lilaccrankd::settings::Settings;

use super::network::Network;

/// Takes all permits of a new daemon, gives them to `end`, and returns how many there were and how many
/// there are afterwards.
fn permits_after(end: impl Fn(RetryPermit)) -> (usize, usize) {
    runtime::block_on(async {
        let cfg = Settings::default();
        let member = Daemon::member(&cfg, 1);
        let socket = Network::default().socket(cfg.gossip);
        let settings = membership::Settings::default();
        let (membership, _) = membership::new(settings, member, MonoioClock, socket);
        let (traffic, ports) = (Rc::<Traffic>::default(), Ports::default());
        let daemon = Rc::new(Daemon::new(cfg, 1, membership, traffic, ports).unwrap());
        let pool = "engines".to_owned();
        let take_all =
            || -> Vec<_> { iter::from_fn(|| RetryPermit::take(&daemon, &pool)).collect() };
        let first = take_all();
        let count = first.len();
        first.into_iter().for_each(end);
        (count, take_all().len())
    })
    .unwrap()
}

/// Guards against callers that leave while a retry waits for a target, and use up the budget of others.
#[test]
fn a_retry_that_is_not_made_is_given_back() {
    let (before, after) = permits_after(drop);
    assert!(before > 0);
    assert_eq!(after, before);
}

#[test]
fn a_retry_that_is_made_is_spent() {
    let (before, after) = permits_after(RetryPermit::spend);
    assert!(before > 0);
    assert_eq!(after, 0);
}
