//! Stand-in for a stretch of network: forwards TCP or UDP, and can be cut, slowed or silenced.

mod tcp;
mod udp;

use std::cell::Cell;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lilaccrank_http::body::Body;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use serde::Deserialize;

use crate::notify::Notify;
use crate::reply;
use crate::stand_in::{self, Listen};

/// Largest body of a control call.
const CONTROL_LIMIT: usize = 4096;

/// Settings of a wire.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Address for control calls; port 0 takes any free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    #[command(flatten)]
    listen: Listen,
    /// Share of datagrams that are lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Seed of the losses.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Address to forward to.
    #[arg(long)]
    to: SocketAddr,
    /// Forward UDP in place of TCP.
    #[arg(long)]
    udp: bool,
}

/// How the wire behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    /// Open connections fall silent for good, and so does each new one. Datagrams vanish.
    BlackHole,
    /// Open connections are reset, new ones refused. Datagrams vanish.
    Cut,
    /// Forwards.
    #[default]
    Open,
    /// Connections open now fall silent for good, new ones work. Datagrams vanish.
    Silent,
    /// Forwards each piece after a delay.
    Slow,
}

/// Body of a control call.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    #[serde(default)]
    delay_ms: u64,
    loss: Option<f64>,
    mode: Mode,
}

/// How often open connections have fallen silent.
type Silences = u64;

struct Wire {
    changed: Notify,
    delay: Cell<Duration>,
    loss: Cell<f64>,
    mode: Cell<Mode>,
    /// A connection made before the latest silence never forwards again, since what lies between
    /// the two ends has lost track of it.
    silences: Cell<Silences>,
    to: SocketAddr,
}

/// Runs a wire.
///
/// # Errors
///
/// If an address can't be bound.
pub fn run(args: Args) -> stand_in::Result<()> {
    let wire = Rc::new(Wire {
        changed: Notify::default(),
        delay: Cell::default(),
        loss: Cell::new(args.loss),
        mode: Cell::default(),
        silences: Cell::default(),
        to: args.to,
    });
    runtime::block_on(async move {
        let control = server::bind(args.control)?;
        let control_address = control.local_addr()?;
        if args.udp {
            let relay = udp::Relay::bind(args.listen.listen, Rc::clone(&wire), args.seed)?;
            let listening = relay.local_addr()?;
            args.listen.announce(listening, Some(control_address))?;
            runtime::spawn(relay.run());
        } else {
            let entry = tcp::Entry::bind(args.listen.listen, Rc::clone(&wire))?;
            args.listen
                .announce(entry.address(), Some(control_address))?;
            runtime::spawn(entry.run());
        }
        let handler = move |req, _| handle(Rc::clone(&wire), req);
        server::serve(control, ShutdownHandle::default(), handler).await;
        Ok(())
    })?
}

async fn handle(wire: Rc<Wire>, req: Request<Incoming>) -> Response<Body> {
    match reply::read_json::<Control>(req, CONTROL_LIMIT).await {
        Ok(control) => {
            wire.set(&control);
            reply::empty(StatusCode::OK)
        }
        Err(refusal) => *refusal,
    }
}

impl Wire {
    fn set(&self, control: &Control) {
        if matches!(control.mode, Mode::BlackHole | Mode::Silent) {
            self.silences.set(self.silences.get() + 1);
        }
        let delay = match control.mode {
            Mode::Slow => Duration::from_millis(control.delay_ms),
            _ => Duration::ZERO,
        };
        self.delay.set(delay);
        self.loss.set(control.loss.unwrap_or(self.loss.get()));
        self.mode.set(control.mode);
        self.changed.notify();
    }

    /// Waits until connections are to be reset.
    async fn cut(&self) {
        while self.mode.get() != Mode::Cut {
            self.changed.changed().await;
        }
    }

    /// Waits until the cut is over.
    async fn mended(&self) {
        while self.mode.get() == Mode::Cut {
            self.changed.changed().await;
        }
    }

    /// Lets one piece pass after its delay; never, on a connection that has fallen silent.
    async fn pass(&self, born: Silences) {
        let delay = self.delay.get();
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        if born != self.silences.get() {
            future::pending().await
        }
    }
}
