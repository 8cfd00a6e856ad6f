//! Datagram transport used by the gossip protocol.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Result of sending or receiving.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failure of the socket. A lost datagram is not an error.
#[derive(Debug, Error)]
#[error("datagram socket: {0}")]
pub struct Error(#[from] io::Error);

/// A received datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// Payload.
    pub bytes: Vec<u8>,
    /// Address of the sender.
    pub from: SocketAddr,
}

/// A datagram socket. Datagrams may be lost, duplicated or reordered.
pub trait Datagrams: 'static {
    /// Waits for the next datagram.
    fn recv(&self) -> impl Future<Output = Result<Datagram>>;

    /// Sends `bytes` to `to` without retransmission.
    fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> impl Future<Output = Result<()>>;
}
