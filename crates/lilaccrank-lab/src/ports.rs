//! Free ports on loopback for processes that must know their addresses beforehand.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex, PoisonError};

use indexmap::IndexSet;
use rand::RngExt;

/// Below the range from which systems give ports to outgoing connections.
const LOWEST: u16 = 18_000;
/// End of the range, exclusive.
const HIGHEST: u16 = 32_000;

/// Ports given out before. Nothing listens on them until their process has started, so without
/// this a large cluster would give one port to two daemons, of which one can't start.
static GIVEN: LazyLock<Mutex<IndexSet<u16>>> = LazyLock::new(Mutex::default);

/// A port on which nothing listens, over TCP or UDP, and which was not given out before.
#[must_use]
pub fn free() -> SocketAddr {
    let mut rng = rand::rng();
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], rng.random_range(LOWEST..HIGHEST)));
        let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
        if TcpListener::bind(address).is_ok()
            && UdpSocket::bind(address).is_ok()
            && given.insert(address.port())
        {
            return address;
        }
    }
}
