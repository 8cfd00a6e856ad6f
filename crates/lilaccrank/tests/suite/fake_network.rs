//! An in-memory datagram network with packet loss, partitions and traffic counters.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

use indexmap::IndexMap;
use lilaccrank::membership::datagrams::{self, Datagram, Datagrams};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Capacity of a socket's receive buffer, in datagrams.
const INBOX_LIMIT: usize = 256;
/// Size of the IP and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

#[derive(Clone)]
pub struct FakeNetwork(Rc<RefCell<Inner>>);

struct Inner {
    inboxes: IndexMap<SocketAddr, Inbox>,
    isolated: HashSet<SocketAddr>,
    loss: f64,
    rng: StdRng,
    sent_bytes: usize,
    largest: usize,
}

#[derive(Default)]
struct Inbox {
    queue: VecDeque<Datagram>,
    waker: Option<Waker>,
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            inboxes: IndexMap::new(),
            isolated: HashSet::new(),
            loss: 0.0,
            rng: StdRng::seed_from_u64(seed),
            sent_bytes: 0,
            largest: 0,
        })))
    }

    pub fn socket(&self, address: SocketAddr) -> Socket {
        self.0
            .borrow_mut()
            .inboxes
            .insert(address, Inbox::default());
        Socket {
            address,
            network: self.clone(),
        }
    }

    pub fn close(&self, address: SocketAddr) {
        self.0.borrow_mut().inboxes.swap_remove(&address);
    }

    /// Partitions these addresses from all others.
    pub fn isolate(&self, isolated: impl IntoIterator<Item = SocketAddr>) {
        self.0.borrow_mut().isolated = isolated.into_iter().collect();
    }

    pub fn set_loss(&self, loss: f64) {
        self.0.borrow_mut().loss = loss;
    }

    /// Returns the bytes sent on all sockets since the last call, including headers.
    pub fn take_sent_bytes(&self) -> usize {
        std::mem::take(&mut self.0.borrow_mut().sent_bytes)
    }

    /// Returns the payload size of the largest datagram so far, in bytes.
    pub fn largest(&self) -> usize {
        self.0.borrow().largest
    }
}

impl Inner {
    fn send(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        self.sent_bytes += bytes.len() + HEADER_BYTES;
        self.largest = self.largest.max(bytes.len());
        let is_partitioned = self.isolated.contains(&from) != self.isolated.contains(&to);
        let lost = self.rng.random::<f64>() < self.loss;
        let Some(inbox) = self.inboxes.get_mut(&to) else {
            return;
        };
        if is_partitioned || lost || inbox.queue.len() >= INBOX_LIMIT {
            return;
        }
        inbox.queue.push_back(Datagram { bytes, from });
        if let Some(waker) = inbox.waker.take() {
            waker.wake();
        }
    }
}

pub struct Socket {
    address: SocketAddr,
    network: FakeNetwork,
}

impl Datagrams for Socket {
    async fn recv(&self) -> datagrams::Result<Datagram> {
        future::poll_fn(|cx| {
            let mut inner = self.network.0.borrow_mut();
            let Some(inbox) = inner.inboxes.get_mut(&self.address) else {
                return Poll::Pending;
            };
            if let Some(datagram) = inbox.queue.pop_front() {
                return Poll::Ready(Ok(datagram));
            }
            inbox.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> datagrams::Result<()> {
        self.network.0.borrow_mut().send(self.address, to, bytes);
        Ok(())
    }
}
