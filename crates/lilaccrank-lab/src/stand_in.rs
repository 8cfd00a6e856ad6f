//! What all stand-ins share: the address, the line that tells it, and their end.

use std::future::Future;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::thread;

use clap::Args;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body::Body;
use lilaccrank_http::server::{self, ShutdownHandle};
use serde::Serialize;

/// Result of running a stand-in.
pub type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Entries that a log keeps unless told otherwise.
pub const LOG_LIMIT: usize = 100_000;

/// Where a stand-in listens and when it ends. SIGTERM and SIGINT end it at once: it keeps
/// nothing, and what it stands for may die at any moment too.
#[derive(Args, Clone, Debug)]
pub struct Listen {
    /// Address to listen on; port 0 takes any free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// End when standard input closes.
    #[arg(long)]
    pub until_stdin_closes: bool,
}

/// The line on standard output by which a stand-in tells that it is ready.
#[derive(Serialize)]
struct Ready {
    #[serde(skip_serializing_if = "Option::is_none")]
    control: Option<SocketAddr>,
    listening: SocketAddr,
}

impl Listen {
    /// Tells the addresses on standard output, and from now on ends with standard input if asked.
    ///
    /// # Errors
    ///
    /// If standard output is closed.
    pub fn announce(&self, listening: SocketAddr, control: Option<SocketAddr>) -> Result<()> {
        if self.until_stdin_closes {
            thread::spawn(end_with_stdin);
        }
        let line = serde_json::to_string(&Ready { control, listening })?;
        let mut out = io::stdout().lock();
        writeln!(out, "{line}")?;
        out.flush()
    }

    /// Binds, announces and serves for as long as the process runs.
    ///
    /// # Errors
    ///
    /// If the address can't be bound or standard output is closed.
    pub async fn serve<H, F>(&self, handler: H) -> Result<()>
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let listener = server::bind(self.listen)?;
        self.announce(listener.local_addr()?, None)?;
        let handler = move |req, _| handler(req);
        server::serve(listener, ShutdownHandle::default(), handler).await;
        Ok(())
    }
}

/// A killed parent closes the pipe; without this its stand-ins would stay behind as orphans.
fn end_with_stdin() {
    let mut buf = [0; 256];
    let mut stdin = io::stdin().lock();
    while matches!(stdin.read(&mut buf), Ok(1..)) {}
    std::process::exit(0);
}
