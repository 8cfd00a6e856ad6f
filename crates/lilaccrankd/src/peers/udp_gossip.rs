//! Membership datagrams over a UDP socket of the runtime.

use std::io;
use std::net::SocketAddr;

use lilaccrank::membership::datagrams::{self, Datagram, Datagrams};
use lilaccrank_http::runtime;
use lilaccrank_http::tally::Tally;
use monoio::net::udp::UdpSocket;

/// Size of the receive buffer; members send at most [`lilaccrank::membership::DATAGRAM_LIMIT`].
const BUFFER_BYTES: usize = 2_048;

/// A bound UDP socket.
pub struct UdpGossip {
    socket: UdpSocket,
    tally: Tally,
}

impl UdpGossip {
    /// Binds the gossip address of this daemon. Traffic is counted in `tally`.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn bind(address: SocketAddr, tally: Tally) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        Ok(Self { socket, tally })
    }
}

impl Datagrams for UdpGossip {
    async fn recv(&self) -> datagrams::Result<Datagram> {
        runtime::checkpoint().await;
        let (received, mut bytes) = self.socket.recv_from(vec![0; BUFFER_BYTES]).await;
        let (len, from) = received?;
        bytes.truncate(len);
        self.tally.count_received_bytes(len);
        self.tally.count_received_messages(1);
        Ok(Datagram { bytes, from })
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> datagrams::Result<()> {
        let (sent, _) = self.socket.send_to(bytes, to).await;
        self.tally.count_sent_bytes(sent?);
        self.tally.count_sent_messages(1);
        Ok(())
    }
}
