//! Forwards TCP connections.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use lilaccrank_http::runtime;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{TcpListener, TcpStream};
use rustix::fd::OwnedFd;
use rustix::net::{self, AddressFamily, SocketType, sockopt};

use crate::stand_in::Result;

use super::{Mode, Silences, Wire};

/// Bytes read at once.
const PIECE: usize = 64 * 1024;
/// Pause after a failed accept or bind.
const PAUSE: Duration = Duration::from_millis(20);

/// The wire's near end, which takes connections.
pub(super) struct Entry {
    address: SocketAddr,
    listener: StdListener,
    wire: Rc<Wire>,
}

impl Entry {
    pub(super) fn bind(address: SocketAddr, wire: Rc<Wire>) -> Result<Self> {
        let listener = listen(address)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            wire,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes connections for as long as the process lives; refuses them while the wire is cut.
    pub(super) async fn run(mut self) {
        loop {
            if let Err(e) = self.accept_until_cut().await {
                log::warn!("the wire can't accept: {e}");
                monoio::time::sleep(PAUSE).await;
            }
            if self.wire.mode.get() == Mode::Cut {
                self = self.refuse_until_mended().await;
            }
        }
    }

    async fn accept_until_cut(&self) -> Result<()> {
        // monoio's own accept hides the socket, whose linger time a reset needs.
        let ready = TcpListener::from_std(self.listener.try_clone()?)?;
        loop {
            let cut = pin!(self.wire.cut());
            let readable = pin!(ready.readable(false));
            match future::select(readable, cut).await {
                Either::Left((result, _)) => result?,
                Either::Right(_) => return Ok(()),
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    runtime::spawn(forward(Rc::clone(&self.wire), stream));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    async fn refuse_until_mended(self) -> Self {
        let Self {
            address,
            listener,
            wire,
        } = self;
        drop(listener);
        // A port without a listener refuses; holding it keeps other processes off it.
        let held = hold(address).inspect_err(|e| log::warn!("the port is not held: {e}"));
        wire.mended().await;
        let listener = loop {
            match listen(address) {
                Ok(listener) => break listener,
                Err(e) => log::warn!("the wire can't listen again: {e}"),
            }
            monoio::time::sleep(PAUSE).await;
        };
        drop(held);
        Self {
            address,
            listener,
            wire,
        }
    }
}

fn listen(address: SocketAddr) -> Result<StdListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds a port without listening on it.
fn hold(address: SocketAddr) -> Result<OwnedFd> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let socket = net::socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, &address)?;
    Ok(socket)
}

/// Carries one connection to its end, or resets it when the wire is cut.
async fn forward(wire: Rc<Wire>, near: StdStream) {
    let born = wire.silences.get();
    let Ok(handle) = near.try_clone() else {
        return;
    };
    let carried = {
        let carry = pin!(carry(&wire, born, near));
        match future::select(carry, pin!(wire.cut())).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(io::ErrorKind::ConnectionReset.into()),
        }
    };
    if let Err(e) = carried {
        log::debug!("a connection of the wire ended: {e}");
        // Closing with no time to linger sends a reset.
        let _ = sockopt::set_socket_linger(&handle, Some(Duration::ZERO));
    }
}

async fn carry(wire: &Wire, born: Silences, near: StdStream) -> Result<()> {
    near.set_nonblocking(true)?;
    near.set_nodelay(true)?;
    // Two handles in place of monoio's split, whose write half sends an orderly end when it is
    // dropped: the caller would take a cut for a whole answer.
    let near_tx = TcpStream::from_std(near.try_clone()?)?;
    let near_rx = TcpStream::from_std(near)?;
    if wire.mode.get() == Mode::BlackHole {
        future::pending::<()>().await;
    }
    let far = TcpStream::connect(wire.to).await?;
    far.set_nodelay(true)?;
    let (far_rx, far_tx) = far.into_split();
    let there = pump(wire, born, near_rx, far_tx);
    let back = pump(wire, born, far_rx, near_tx);
    future::try_join(there, back).await?;
    Ok(())
}

async fn pump<R, W>(wire: &Wire, born: Silences, mut rx: R, mut tx: W) -> Result<()>
where
    R: AsyncReadRent,
    W: AsyncWriteRent,
{
    let mut buf = Vec::with_capacity(PIECE);
    loop {
        let result;
        (result, buf) = rx.read(buf).await;
        // Ends and errors are held back as well: a silent connection tells nothing.
        wire.pass(born).await;
        if result? == 0 {
            return tx.shutdown().await;
        }
        let written;
        (written, buf) = tx.write_all(buf).await;
        written?;
        buf.clear();
    }
}
