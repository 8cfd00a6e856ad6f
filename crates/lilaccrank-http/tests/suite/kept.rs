//! Kept connections on which much happens at once: no request that the server ran is left without its answer.

use std::cell::RefCell;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use derive_more::Display;
use hyper::body::Incoming;
use hyper::{Request, Response};
use indexmap::IndexSet;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

const CLIENTS: u64 = 12;
/// Time for which clients send.
const PLAY: Duration = Duration::from_secs(5);
/// Shortest idle time that is in force.
const IDLE: Duration = Duration::from_millis(800);
/// Time within which a head comes.
const HEAD: Duration = Duration::from_millis(800);
/// Longest pause between two pieces of a request.
const PIECE_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which the server's process gets no processor time.
const STANDSTILL: Duration = Duration::from_millis(300);
/// Longest time between two changes of the limits.
const CHANGE: Duration = Duration::from_millis(60);
/// Longest wait for bytes of an answer.
const LIMIT: Duration = Duration::from_secs(20);
/// Longest body of a request.
const BODY: usize = 20 << 10;
/// A long answer, of which the buffers of a connection hold a part.
const LONG_ANSWER: usize = 6 << 20;

type Number = u64;

/// A request whose answer did not come.
#[derive(Debug, Display)]
#[display("{number} after {read} bytes: {why}")]
struct Loss {
    number: Number,
    read: usize,
    why: io::Error,
}

/// One client's requests.
struct Client {
    address: SocketAddr,
    losses: Vec<Loss>,
    next: Number,
    rng: StdRng,
}

fn up_to(rng: &mut impl Rng, longest: Duration) -> Duration {
    longest.mul_f64(rng.random())
}

fn limits(rng: &mut StdRng) -> HeadLimits {
    HeadLimits {
        head_bytes: rng.random_range(12..64) << 10,
        head_timeout: HEAD,
        idle_timeout: IDLE + up_to(rng, IDLE),
        read_ahead_bytes: rng.random_range(0..BODY),
    }
}

/// Answers by the path of a request.
async fn answer(req: Request<Incoming>, seed: u64) -> Response<Body> {
    let mut rng = StdRng::seed_from_u64(seed);
    let path = req.uri().path().to_owned();
    body::read(req.into_body(), BODY).await.unwrap();
    if rng.random() {
        monoio::time::sleep(up_to(&mut rng, PIECE_PAUSE)).await;
    }
    match path.as_str() {
        "/long" => Response::new(body::full(vec![b'a'; LONG_ANSWER])),
        "/stream" => Response::new(body::streamed(move |mut tx| async move {
            for _ in 0..rng.random_range(0..6) {
                let part = vec![b'a'; rng.random_range(0..9_000)];
                if tx.send_data(part.into()).await.is_err() {
                    return;
                }
                monoio::time::sleep(up_to(&mut rng, PIECE_PAUSE)).await;
            }
        })),
        "/empty" => Response::new(body::empty()),
        _ => Response::new(body::full("whole")),
    }
}

/// Reads an answer whole, some at the pace of a slow reader; `true` if the connection goes on.
fn read(
    reader: &mut impl BufRead,
    is_slow: bool,
    has_body: bool,
    read: &mut usize,
) -> io::Result<bool> {
    let (mut length, mut is_chunked, mut goes_on) = (0, false, true);
    loop {
        let line = read_line(reader, read)?;
        match line.split_once(": ") {
            Some(("content-length", value)) => length = value.parse().unwrap(),
            Some(("transfer-encoding", _)) => is_chunked = true,
            Some(("connection", value)) => goes_on = value != "close",
            None if line.is_empty() => break,
            _ => {}
        }
    }
    if !has_body {
        return Ok(goes_on);
    }
    if !is_chunked {
        read_bytes(reader, length, is_slow, read)?;
        return Ok(goes_on);
    }
    loop {
        let length = usize::from_str_radix(&read_line(reader, read)?, 16).unwrap();
        read_bytes(reader, length, is_slow, read)?;
        read_line(reader, read)?;
        if length == 0 {
            return Ok(goes_on);
        }
    }
}

fn read_line(reader: &mut impl BufRead, read: &mut usize) -> io::Result<String> {
    let mut line = String::new();
    *read += reader.read_line(&mut line)?;
    match line.ends_with('\n') {
        true => Ok(line.trim_end().to_ascii_lowercase()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn read_bytes(
    reader: &mut impl Read,
    mut left: usize,
    is_slow: bool,
    read: &mut usize,
) -> io::Result<()> {
    let mut buf = vec![0; 1 << 20];
    while left > 0 {
        let part = left.min(buf.len());
        reader.read_exact(&mut buf[..part])?;
        (left, *read) = (left - part, *read + part);
        if is_slow {
            thread::sleep(PIECE_PAUSE);
        }
    }
    Ok(())
}

impl Client {
    /// Returns the next request, and whether its answer has a body.
    fn request(&mut self) -> (Number, Vec<u8>, bool) {
        let number = self.next;
        self.next += 1;
        let rng = &mut self.rng;
        let path = ["/", "/", "/empty", "/stream", "/long"][rng.random_range(0..5)];
        let method = ["GET", "HEAD", "POST", "POST"][rng.random_range(0..4)];
        let mut text = format!("{method} {path} HTTP/1.1\r\nhost: a\r\nnumber: {number}\r\n");
        if method == "POST" {
            let length = rng.random_range(0..BODY);
            text += &format!("content-length: {length}\r\n\r\n{}", "b".repeat(length));
        } else {
            text += "\r\n";
        }
        (number, text.into_bytes(), method != "HEAD")
    }

    /// Sends requests on one connection until it ends or the time is over.
    fn connection(&mut self, until: Instant) {
        let Ok(mut stream) = TcpStream::connect(self.address) else {
            return thread::sleep(PIECE_PAUSE);
        };
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while Instant::now() < until {
            let count = if self.rng.random_ratio(1, 4) { 3 } else { 1 };
            let requests: Vec<_> = (0..count).map(|_| self.request()).collect();
            let text: Vec<u8> = requests
                .iter()
                .flat_map(|(_, text, _)| text.clone())
                .collect();
            self.send(&mut stream, &text);
            for (number, _, has_body) in requests {
                let mut count = 0;
                let is_slow = self.rng.random_ratio(1, 4);
                match read(&mut reader, is_slow, has_body, &mut count) {
                    Ok(true) => {}
                    Ok(false) => return,
                    Err(why) => {
                        self.losses.push(Loss {
                            number,
                            read: count,
                            why,
                        });
                        return;
                    }
                }
            }
            if self.rng.random_ratio(1, 3) {
                thread::sleep(up_to(&mut self.rng, IDLE * 3 / 4));
            }
        }
    }

    /// Sends bytes in up to three pieces.
    fn send(&mut self, stream: &mut TcpStream, text: &[u8]) {
        let mut rest = text;
        for _ in 0..self.rng.random_range(0..3) {
            let (piece, behind) = rest.split_at(self.rng.random_range(0..=rest.len()));
            // The connection may be closed, which the answer shows.
            let _ = stream.write_all(piece);
            thread::sleep(up_to(&mut self.rng, PIECE_PAUSE));
            rest = behind;
        }
        let _ = stream.write_all(rest);
    }
}

fn call(address: SocketAddr, seed: u64, id: u64) -> (Number, Vec<Loss>) {
    let first = id << 32;
    let mut client = Client {
        address,
        losses: Vec::new(),
        next: first,
        rng: StdRng::seed_from_u64(seed ^ first),
    };
    let until = Instant::now() + PLAY;
    while Instant::now() < until {
        client.connection(until);
    }
    (client.next - first, client.losses)
}

/// Changes limits, and takes the processor from the server's thread, until the clients are done. The server
/// shuts down at `close_at`.
async fn disturb(
    rng: &mut StdRng,
    live: &LiveLimits,
    shutdown: &ShutdownHandle,
    close_at: Option<Instant>,
    is_done: impl Fn() -> bool,
) {
    while !is_done() {
        if close_at.is_some_and(|at| Instant::now() > at) {
            shutdown.close();
        }
        live.set(limits(rng));
        if rng.random_ratio(1, 40) {
            thread::sleep(up_to(rng, STANDSTILL));
        }
        monoio::time::sleep(up_to(rng, CHANGE)).await;
    }
}

/// Whether the server shuts down in the middle.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Shutdown {
    InTheMiddle,
    Never,
}

fn play(seed: u64, closing: Shutdown) {
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut rng = StdRng::seed_from_u64(seed);
        let live = LiveLimits::from(limits(&mut rng));
        let ran = Rc::new(RefCell::new(IndexSet::<Number>::new()));
        let handler = {
            let ran = Rc::clone(&ran);
            move |req: Request<Incoming>, _| {
                let number = req.headers()["number"].to_str().unwrap().parse().unwrap();
                ran.borrow_mut().insert(number);
                answer(req, seed ^ number)
            }
        };
        let shutdown = ShutdownHandle::default();
        let serving = server::serve_with_limits(listener, shutdown.clone(), live.clone(), handler);
        monoio::spawn(serving);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|id| thread::spawn(move || call(address, seed, id)))
            .collect();
        let close_at = (closing == Shutdown::InTheMiddle).then(|| Instant::now() + PLAY / 2);
        let is_done = || clients.iter().all(thread::JoinHandle::is_finished);
        disturb(&mut rng, &live, &shutdown, close_at, is_done).await;
        let results = clients.into_iter().map(|client| client.join().unwrap());
        let (counts, losses): (Vec<_>, Vec<_>) = results.unzip();
        let losses: Vec<_> = losses.into_iter().flatten().collect();
        let ran = ran.borrow();
        println!("{} sent, {} ran", counts.iter().sum::<Number>(), ran.len());
        let lost_runs = losses.iter().filter(|loss| ran.contains(&loss.number));
        let lost_runs: Vec<_> = lost_runs.map(Loss::to_string).collect();
        assert!(lost_runs.is_empty(), "{lost_runs:?}");
        let losses: Vec<_> = losses.iter().map(Loss::to_string).collect();
        // A request that crosses the shutdown is not run.
        let may_cross = closing == Shutdown::InTheMiddle;
        assert!(may_cross || losses.is_empty(), "not run: {losses:?}");
    })
    .unwrap();
}

macro_rules! plays {
    ($($name:ident: $seed:literal, $closing:expr;)*) => {$(
        // Guards against requests that were run, and whose kept connection ends without their answer.
        #[test]
        fn $name() {
            play($seed, $closing);
        }
    )*};
}

plays! {
    first: 1, Shutdown::Never;
    second: 2, Shutdown::Never;
    shutdown: 3, Shutdown::InTheMiddle;
}

/// Plays as many seeds as `LILACCRANK_PLAYS` says, by hand.
#[test]
#[ignore = "takes some seconds for each seed"]
fn many() {
    let count = std::env::var("LILACCRANK_PLAYS").ok();
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(10);
    for seed in 100..100 + count {
        println!("seed {seed}");
        let closing = [Shutdown::Never, Shutdown::InTheMiddle][usize::from(seed % 2 == 1)];
        play(seed, closing);
    }
}
