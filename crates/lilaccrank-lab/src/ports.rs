//! Free ports on loopback for processes that must know their addresses beforehand.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use rand::RngExt;

/// Below the range from which systems give ports to outgoing connections.
const LOWEST: u16 = 18_000;
/// End of the range, exclusive.
const HIGHEST: u16 = 32_000;

/// A port on which nothing listens, over TCP or UDP.
#[must_use]
pub fn free() -> SocketAddr {
    let mut rng = rand::rng();
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], rng.random_range(LOWEST..HIGHEST)));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
