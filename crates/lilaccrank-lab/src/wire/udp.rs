//! Forwards datagrams, some of which are lost.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use indexmap::IndexMap;
use lilaccrank_http::runtime;
use monoio::net::udp::UdpSocket;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::stand_in::Result;

use super::{Mode, Wire};

/// Largest datagram.
const DATAGRAM: usize = 64 * 1024;
/// Senders remembered; the oldest is forgotten first.
const SENDERS_LIMIT: usize = 1024;
/// Pause after a failed receipt.
const PAUSE: Duration = Duration::from_millis(1);

/// Forwards datagrams to the far end, and answers back to their senders.
pub(super) struct Relay {
    near: Rc<UdpSocket>,
    passage: Passage,
    senders: IndexMap<SocketAddr, Far>,
}

/// The far socket of one sender; its task of answers ends when this is dropped.
struct Far {
    _alive: oneshot::Sender<()>,
    socket: Rc<UdpSocket>,
}

/// What each datagram goes through, whichever way it goes.
#[derive(Clone)]
struct Passage {
    rng: Rc<RefCell<StdRng>>,
    wire: Rc<Wire>,
}

impl Relay {
    pub(super) fn bind(address: SocketAddr, wire: Rc<Wire>, seed: u64) -> Result<Self> {
        let rng = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
        Ok(Self {
            near: Rc::new(UdpSocket::bind(address)?),
            passage: Passage { rng, wire },
            senders: IndexMap::new(),
        })
    }

    pub(super) fn local_addr(&self) -> Result<SocketAddr> {
        self.near.local_addr()
    }

    /// Forwards for as long as the process lives.
    pub(super) async fn run(mut self) {
        let mut buf = Vec::with_capacity(DATAGRAM);
        loop {
            let received;
            (received, buf) = self.near.recv_from(buf).await;
            let far = received.and_then(|(_, sender)| self.far(sender));
            match far {
                Ok(far) => self.passage.send(&buf, &far, None),
                Err(e) => {
                    log::debug!("a datagram was not taken: {e}");
                    monoio::time::sleep(PAUSE).await;
                }
            }
            buf.clear();
        }
    }

    fn far(&mut self, sender: SocketAddr) -> Result<Rc<UdpSocket>> {
        if let Some(far) = self.senders.get(&sender) {
            return Ok(Rc::clone(&far.socket));
        }
        if self.senders.len() == SENDERS_LIMIT {
            self.senders.shift_remove_index(0);
        }
        let any = match self.passage.wire.to {
            SocketAddr::V4(_) => SocketAddr::from(([0; 4], 0)),
            SocketAddr::V6(_) => SocketAddr::from(([0; 16], 0)),
        };
        let socket = Rc::new(UdpSocket::bind(any)?);
        let (alive, forgotten) = oneshot::channel::<()>();
        let answers = answer(
            Rc::clone(&socket),
            Rc::clone(&self.near),
            sender,
            self.passage.clone(),
        );
        runtime::spawn(async move {
            future::select(pin!(answers), forgotten).await;
        });
        let far = Far {
            _alive: alive,
            socket: Rc::clone(&socket),
        };
        self.senders.insert(sender, far);
        Ok(socket)
    }
}

async fn answer(far: Rc<UdpSocket>, near: Rc<UdpSocket>, sender: SocketAddr, passage: Passage) {
    let mut buf = Vec::with_capacity(DATAGRAM);
    loop {
        let received;
        (received, buf) = far.recv_from(buf).await;
        match received {
            Ok(_) => passage.send(&buf, &near, Some(sender)),
            Err(e) => {
                log::debug!("an answering datagram was not taken: {e}");
                monoio::time::sleep(PAUSE).await;
            }
        }
        buf.clear();
    }
}

impl Passage {
    /// Sends a datagram to `to`, or to the far end, in a task of its own: a slow wire delays
    /// each datagram, and the next one does not queue behind it.
    fn send(&self, datagram: &[u8], socket: &Rc<UdpSocket>, to: Option<SocketAddr>) {
        let forwards = matches!(self.wire.mode.get(), Mode::Open | Mode::Slow);
        if !forwards || self.rng.borrow_mut().random::<f64>() < self.wire.loss.get() {
            return;
        }
        let (datagram, socket) = (datagram.to_vec(), Rc::clone(socket));
        let (to, delay) = (to.unwrap_or(self.wire.to), self.wire.delay.get());
        runtime::spawn(async move {
            if !delay.is_zero() {
                monoio::time::sleep(delay).await;
            }
            let (sent, _) = socket.send_to(datagram, to).await;
            if let Err(e) = sent {
                log::debug!("a datagram was not sent: {e}");
            }
        });
    }
}
