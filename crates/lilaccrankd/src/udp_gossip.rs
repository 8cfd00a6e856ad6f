//! The datagram port of the membership on a UDP socket.

use std::net::SocketAddr;

use lilaccrank::membership::DATAGRAM_LIMIT;
use lilaccrank::membership::datagrams::{Datagram, Datagrams, Result};
use monoio::net::udp::UdpSocket;

/// A bound socket.
pub struct UdpGossip {
    socket: UdpSocket,
}

impl UdpGossip {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// If the address is taken.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        Ok(Self { socket })
    }
}

impl Datagrams for UdpGossip {
    async fn recv(&self) -> Result<Datagram> {
        let buf = Vec::with_capacity(DATAGRAM_LIMIT);
        let (received, bytes) = self.socket.recv_from(buf).await;
        let (_, from) = received?;
        Ok(Datagram { bytes, from })
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> Result<()> {
        let (sent, _) = self.socket.send_to(bytes, to).await;
        sent?;
        Ok(())
    }
}
