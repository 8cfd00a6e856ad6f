//! Callers of a soak that leave before their answer is whole.
//!
//! Their requests are the only ones without a key, for which daemons have no grace. Each has a prompt
//! of a length of its own, by which it is found in the engines' logs.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use lilaccrank::prompt;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::caller::{self, Call};
use crate::reply;

use super::load;
use super::world::{DAEMONS, World};

/// Longest time for which a caller stays, in milliseconds.
const STAYS_MS: u64 = 900;
/// Time after which no engine may get or do anything for a caller that has left.
pub(super) const LIMIT: Duration = Duration::from_millis(500);
/// Longest pause between two callers at a daemon, in milliseconds.
const PAUSE_MS: u64 = 300;
/// Beginning of a next request, which may stand behind the first.
const NEXT: &str = "POST /v1/completions HTTP/1.1\r\nhost: lilaccrank\r\n";
/// Words of the shortest prompt.
const SHORTEST: usize = 20;
/// Tokens of a request, whose answer takes longer than any caller stays.
const TOKENS: usize = 250;

/// A caller that has left.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    pub(super) began: Instant,
    pub(super) daemon: usize,
    pub(super) left: Instant,
    pub(super) left_ms: u64,
    pub(super) prompt_tokens: u32,
}

/// The callers that leave.
#[derive(Default)]
pub(super) struct Leavers {
    pub(super) departures: RefCell<Vec<Departure>>,
    stopped: Cell<bool>,
}

impl Leavers {
    /// No caller begins another request.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Sends until the callers are stopped.
    pub(super) async fn run(self: &Rc<Self>, world: &Rc<World>, seed: u64) {
        let callers = (0..DAEMONS).map(|at| {
            let rng = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(at as u64));
            self.leave_one_after_another(world, at, rng)
        });
        future::join_all(callers).await;
    }

    async fn leave_one_after_another(&self, world: &World, at: usize, mut rng: StdRng) {
        let mut sent = 0;
        while !self.stopped.get() {
            sent += 1;
            let mut call = load::draw(&mut rng, &format!("leaver-{at}-{sent}"));
            call.max_tokens = TOKENS;
            call.prompt = "word ".repeat(SHORTEST + sent * DAEMONS + at);
            let behind = match rng.random_bool(0.5) {
                true => NEXT,
                false => "",
            };
            let text = format!("{}{behind}", text(&call));
            let address = world.daemons.borrow()[at].callers.to_string();
            let stays = Duration::from_millis(rng.random_range(0..STAYS_MS));
            let began = Instant::now();
            // Dropping the exchange closes its connection.
            let exchange = exchange(&address, text);
            let _ = monoio::time::timeout(stays, exchange).await;
            self.departures.borrow_mut().push(Departure {
                began,
                daemon: at,
                left: Instant::now(),
                left_ms: reply::wall_ms(),
                prompt_tokens: prompt::estimate_tokens(&call.prompt),
            });
            let pause = Duration::from_millis(rng.random_range(0..PAUSE_MS));
            monoio::time::sleep(pause).await;
        }
    }
}

/// A request as it goes out, without a key.
fn text(call: &Call) -> String {
    let body = caller::json(call);
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: lilaccrank\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\nlilaccrank-tier: {}\r\ncontent-length: {}\r\n\r\n{body}",
        call.bearer,
        call.tier.as_deref().unwrap_or_default(),
        body.len(),
    )
}

/// Sends text and reads whatever comes, until the other side ends the connection.
async fn exchange(address: &str, text: String) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.into_bytes()).await.0?;
    let mut buf = vec![0; 4096];
    loop {
        let (read, returned) = stream.read(buf).await;
        if read? == 0 {
            return future::pending().await;
        }
        buf = returned;
    }
}
