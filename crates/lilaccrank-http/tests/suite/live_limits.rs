//! Limits that change at any moment of a connection.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Requests on one connection.
const REQUESTS: usize = 400;
/// Longest time for all of them.
const LIMIT: Duration = Duration::from_secs(60);
/// Sizes that heads may have in turn.
const HEAD_BYTES: [usize; 3] = [12 << 10, 16 << 10, 64 << 10];
/// Most bytes of filling in a head.
const FILLING: usize = 6 << 10;
/// Longest body.
const BODY: usize = 30 << 10;
/// Most bytes that are sent at once.
const PIECE: usize = 9 << 10;
/// Longest pause between two changes of the limits, between two pieces, and of the handler.
const PAUSE: Duration = Duration::from_millis(3);

fn below(rng: &mut StdRng, end: usize) -> usize {
    rng.random_range(0..end)
}

fn pause(rng: &mut StdRng) -> Duration {
    PAUSE.mul_f64(rng.random())
}

fn limits(rng: &mut StdRng) -> HeadLimits {
    HeadLimits {
        head_bytes: HEAD_BYTES[below(rng, HEAD_BYTES.len())],
        read_ahead_bytes: below(rng, BODY),
        ..HeadLimits::default()
    }
}

/// Answers with the number and the body of the request, after a while.
async fn answer(req: Request<Incoming>, wait: Duration) -> Response<Body> {
    let number = req.headers()["number"].clone();
    let bytes = body::read(req.into_body(), BODY).await.unwrap();
    monoio::time::sleep(wait).await;
    let mut res = Response::new(body::full(bytes));
    res.headers_mut().insert("number", number);
    res
}

fn request(rng: &mut StdRng, number: usize, body: &[u8]) -> Vec<u8> {
    let filling = "f".repeat(below(rng, FILLING));
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\nnumber: {number}\r\nfilling: {filling}\r\n");
    let mut text = head.into_bytes();
    if rng.random() {
        text.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
        text.extend(body);
    } else {
        text.extend(b"transfer-encoding: chunked\r\n\r\n");
        for chunk in body.chunks(1 + below(rng, BODY)) {
            text.extend(format!("{:x}\r\n", chunk.len()).bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
    }
    text
}

fn bodies(seed: u64) -> Vec<Vec<u8>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let body = |_| {
        let length = match rng.random() {
            true => 0,
            false => below(&mut rng, BODY),
        };
        (0..length).map(|_| rng.random()).collect()
    };
    (0..REQUESTS).map(body).collect()
}

/// Sends requests in pieces, many of them before the answers of those in front.
fn send(stream: &mut TcpStream, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed + 1);
    let mut waiting = Vec::new();
    for (number, body) in bodies(seed).iter().enumerate() {
        waiting.extend(request(&mut rng, number, body));
        while waiting.len() > below(&mut rng, PIECE) {
            let length = (1 + below(&mut rng, PIECE)).min(waiting.len());
            stream.write_all(&waiting[..length]).unwrap();
            waiting.drain(..length);
            if rng.random_ratio(1, 4) {
                thread::sleep(pause(&mut rng));
            }
        }
    }
    stream.write_all(&waiting).unwrap();
}

/// Reads an answer; returns its number and its body.
fn read(reader: &mut impl BufRead) -> (usize, Vec<u8>) {
    let (mut number, mut length) = (None, 0);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).unwrap() > 0, "{lines:?}");
        let Some((name, value)) = line.trim().split_once(": ") else {
            if line.trim().is_empty() {
                break;
            }
            lines.push(line);
            continue;
        };
        match name {
            "number" => number = value.parse().ok(),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    assert_eq!(lines, ["HTTP/1.1 200 OK\r\n"]);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (number.unwrap(), body)
}

fn call(address: SocketAddr, seed: u64) {
    let mut stream = TcpStream::connect(address).unwrap();
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let sending = thread::spawn(move || send(&mut stream, seed));
    for (number, body) in bodies(seed).into_iter().enumerate() {
        assert_eq!(read(&mut reader), (number, body));
    }
    sending.join().unwrap();
}

fn play(seed: u64) {
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let mut rng = StdRng::seed_from_u64(seed);
        let live = LiveLimits::from(limits(&mut rng));
        let serving = {
            let waits = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
            let handler = move |req, _| answer(req, pause(&mut waits.borrow_mut()));
            server::serve_with_limits(listener, ShutdownHandle::default(), live.clone(), handler)
        };
        monoio::spawn(serving);
        let caller = thread::spawn(move || call(address, seed));
        let began = Instant::now();
        while !caller.is_finished() {
            assert!(began.elapsed() < LIMIT, "it does not end");
            live.set(limits(&mut rng));
            monoio::time::sleep(pause(&mut rng)).await;
        }
        caller.join().unwrap();
    })
    .unwrap();
}

macro_rules! plays {
    ($($name:ident: $seed:literal;)*) => {$(
        // Guards against requests and answers that lose bytes, or their order, when limits change while
        // they are read or written.
        #[test]
        fn $name() {
            play($seed);
        }
    )*};
}

plays! {
    first: 1;
    second: 2;
    third: 3;
}

/// Plays as many seeds as `LILACCRANK_PLAYS` says, by hand.
#[test]
#[ignore = "takes a few seconds for each seed"]
fn many() {
    let count = std::env::var("LILACCRANK_PLAYS").ok();
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(10);
    for seed in 100..100 + count {
        println!("seed {seed}");
        play(seed);
    }
}
