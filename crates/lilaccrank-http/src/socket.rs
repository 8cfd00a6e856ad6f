//! Client sockets whose end discards what was not delivered.
//!
//! The kernel goes on sending what was written to a closed socket, for minutes if the network is cut.
//! A request that was given up would then reach a server that nobody means to send to any more. With
//! no time to linger, closing the socket resets the connection and drops what is left to send.

use std::io;
use std::net::{SocketAddr, TcpStream as StdStream, ToSocketAddrs};
use std::time::Duration;

use monoio::net::TcpStream;
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

/// Connects to `address`, given as IP number or name and port.
///
/// # Errors
///
/// If the address can't be resolved or nobody accepts the connection.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let resolved = address.to_socket_addrs()?.next();
    let resolved = resolved.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let stream = start(resolved)?;
    // A second handle for the outcome, which the runtime's stream does not tell.
    let handle = stream.try_clone()?;
    let stream = TcpStream::from_std(stream)?;
    stream.writable(false).await?;
    match handle.take_error()? {
        Some(e) => Err(e),
        None => Ok(stream),
    }
}

/// Begins to connect without waiting for the outcome.
fn start(address: SocketAddr) -> io::Result<StdStream> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_linger(&socket, Some(Duration::ZERO))?;
    sockopt::set_tcp_nodelay(&socket, true)?;
    match net::connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(socket.into()),
        Err(e) => Err(e.into()),
    }
}
