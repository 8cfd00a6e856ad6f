//! The datagram port of the membership over a UDP socket of the runtime.

use std::io;
use std::net::SocketAddr;

use lilaccrank::membership::datagrams::{self, Datagram, Datagrams};
use monoio::net::udp::UdpSocket;

/// Room for one datagram; members send at most [`lilaccrank::membership::DATAGRAM_LIMIT`].
const BUFFER: usize = 2_048;

/// A bound UDP socket.
pub struct UdpGossip {
    socket: UdpSocket,
}

impl UdpGossip {
    /// Binds the gossip address of this daemon.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        Ok(Self { socket })
    }
}

impl Datagrams for UdpGossip {
    async fn recv(&self) -> datagrams::Result<Datagram> {
        let (received, mut bytes) = self.socket.recv_from(vec![0; BUFFER]).await;
        let (len, from) = received?;
        bytes.truncate(len);
        Ok(Datagram { bytes, from })
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> datagrams::Result<()> {
        let (sent, _) = self.socket.send_to(bytes, to).await;
        sent?;
        Ok(())
    }
}
