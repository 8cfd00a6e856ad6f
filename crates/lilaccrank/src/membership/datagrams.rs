//! The port to the wire: unordered, lossy datagrams.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Result of sending or receiving.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The socket failed; a lost datagram is no error.
#[derive(Debug, Error)]
#[error("datagram socket: {0}")]
pub struct Error(#[from] io::Error);

/// One datagram as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Datagram {
    /// Content.
    pub bytes: Vec<u8>,
    /// Address of the sender.
    pub from: SocketAddr,
}

/// A datagram socket. Datagrams may be lost, doubled or reordered.
pub trait Datagrams: 'static {
    /// Waits for the next datagram.
    fn recv(&self) -> impl Future<Output = Result<Datagram>>;

    /// Sends `bytes` to `to`, once.
    fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> impl Future<Output = Result<()>>;
}
