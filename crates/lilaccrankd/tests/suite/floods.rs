//! A daemon that gets datagrams faster than it handles them.

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use lilaccrank::membership::datagrams::Datagrams;
use lilaccrank_http::runtime;
use lilaccrank_http::tally::Tally;
use lilaccrankd::peers::load_exchange;
use lilaccrankd::peers::udp_gossip::UdpGossip;

use super::fixtures;

/// Maximum lateness of a timer.
const LATE: Duration = Duration::from_millis(100);
/// Time of the timer.
const WAIT: Duration = Duration::from_millis(300);
/// For how long datagrams come.
const FLOOD: Duration = Duration::from_secs(3);
/// Datagrams that are received meanwhile, at least.
const RECEIVED: u64 = 100;
/// Number of threads that send them.
const SENDERS: usize = 4;

fn flood(address: SocketAddr) {
    for _ in 0..SENDERS {
        thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            let began = Instant::now();
            while began.elapsed() < FLOOD {
                // The receiver may be gone.
                let _ = socket.send_to(&[0; 64], address);
            }
        });
    }
}

/// An address that nothing is bound to.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn receive_load(address: SocketAddr) -> Tally {
    let socket = load_exchange::bind(address).unwrap();
    let daemon = fixtures::daemon();
    let tally = daemon.traffic.load_exchange.clone();
    runtime::spawn(load_exchange::run(daemon, socket));
    tally
}

fn receive_gossip(address: SocketAddr) -> Tally {
    let tally = Tally::default();
    let gossip = UdpGossip::bind(address, tally.clone()).unwrap();
    runtime::spawn(async move {
        loop {
            gossip.recv().await.unwrap();
        }
    });
    tally
}

/// Returns how late a timer is while a receiver gets datagrams without end.
fn lateness(receive: fn(SocketAddr) -> Tally) -> Duration {
    let late = runtime::block_on(async {
        let address = free_address();
        let tally = receive(address);
        flood(address);
        let began = Instant::now();
        monoio::time::sleep(WAIT).await;
        let late = began.elapsed() - WAIT;
        assert!(tally.received().messages > RECEIVED);
        late
    });
    late.unwrap()
}

macro_rules! receivers {
    ($($name:ident: $receive:ident;)*) => {$(
        /// Guards against a receiver of datagrams that leaves no time to anything else.
        #[test]
        fn $name() {
            let late = lateness($receive);
            assert!(late < LATE, "{late:?}");
        }
    )*};
}

receivers! {
    load_updates: receive_load;
    gossip: receive_gossip;
}
