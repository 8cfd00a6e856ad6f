//! A daemon of which no task runs.

use std::rc::Rc;

use lilaccrank::membership;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrankd::daemon::Daemon;
use lilaccrankd::peers::traffic::Traffic;
use lilaccrankd::ports::Ports;
use lilaccrankd::settings::Settings;

use super::network::Network;

/// A daemon with default settings, without peers.
pub fn daemon() -> Rc<Daemon> {
    daemon_with(Settings::default())
}

/// A daemon without peers.
pub fn daemon_with(cfg: Settings) -> Rc<Daemon> {
    let member = Daemon::member(&cfg, 1);
    let socket = Network::default().socket(cfg.gossip);
    let settings = membership::Settings::default();
    let (membership, _) = membership::new(settings, member, MonoioClock, socket);
    let (traffic, ports) = (Rc::<Traffic>::default(), Ports::default());
    Rc::new(Daemon::new(cfg, 1, membership, traffic, ports).unwrap())
}
