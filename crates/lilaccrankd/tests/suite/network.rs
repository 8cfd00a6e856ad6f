//! Datagrams of the membership in memory.

use std::cell::RefCell;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::StreamExt;
use futures::channel::mpsc;
use indexmap::IndexMap;
use lilaccrank::membership::datagrams::{self, Datagram, Datagrams};

/// Inboxes by address.
type Inboxes = IndexMap<SocketAddr, mpsc::UnboundedSender<Datagram>>;

/// A network in memory.
#[derive(Clone, Default)]
pub struct Network(Rc<RefCell<Inboxes>>);

pub struct Socket {
    address: SocketAddr,
    network: Network,
    rx: RefCell<mpsc::UnboundedReceiver<Datagram>>,
}

impl Network {
    pub fn socket(&self, address: SocketAddr) -> Socket {
        let (tx, rx) = mpsc::unbounded();
        self.0.borrow_mut().insert(address, tx);
        Socket {
            address,
            network: self.clone(),
            rx: RefCell::new(rx),
        }
    }
}

impl Datagrams for Socket {
    async fn recv(&self) -> datagrams::Result<Datagram> {
        let next = future::poll_fn(|cx| self.rx.borrow_mut().poll_next_unpin(cx));
        match next.await {
            Some(datagram) => Ok(datagram),
            None => future::pending().await,
        }
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> datagrams::Result<()> {
        let datagram = Datagram {
            bytes,
            from: self.address,
        };
        if let Some(tx) = self.network.0.borrow().get(&to) {
            // A receiver that is gone loses its datagrams.
            let _ = tx.unbounded_send(datagram);
        }
        Ok(())
    }
}
