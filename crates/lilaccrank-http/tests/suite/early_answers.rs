//! Answers to requests whose bodies nobody has read.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body;
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const BODY: &str = "the body";
const LIMITS: HeadLimits = HeadLimits {
    head_bytes: 8 << 10,
    head_timeout: Duration::from_millis(200),
    idle_timeout: Duration::from_millis(2_000),
    read_ahead_bytes: 8 << 10,
};
/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(5);
/// Pause between two pieces of a request.
const LATER: Duration = Duration::from_millis(100);

/// Runs a server that answers after `wait` without reading the body, until the client's thread ends.
fn serve(wait: Duration, client: impl FnOnce(SocketAddr) + Send + 'static) {
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let live = LiveLimits::from(LIMITS);
        let handler = move |req: Request<Incoming>, _| async move {
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            drop(req);
            Response::new(body::full("whole"))
        };
        let shutdown = ShutdownHandle::default();
        monoio::spawn(server::serve_with_limits(listener, shutdown, live, handler));
        let client = thread::spawn(move || client(address));
        while !client.is_finished() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        client.join().unwrap();
    })
    .unwrap();
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
}

/// Sends a request, whose body comes in pieces with a pause before each.
fn post(mut stream: &TcpStream, pieces: usize, pause: Duration) {
    let length = BODY.len() * pieces;
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..pieces {
        thread::sleep(pause);
        // The connection may be closed, which the answer shows.
        let _ = stream.write_all(BODY.as_bytes());
    }
}

/// Reads an answer; returns its head, or `None` if the connection ends before it is whole.
fn read(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|read| *read > 0)?;
    }
    let mut body = [0; 5];
    reader.read_exact(&mut body).ok()?;
    assert_eq!(&body, b"whole");
    Some(head.to_ascii_lowercase())
}

fn get(mut stream: &TcpStream) -> Option<String> {
    // The connection may be closed, which the answer shows.
    let _ = stream.write_all(GET.as_bytes());
    read(stream)
}

macro_rules! bodies {
    ($($name:ident: $wait:expr, $pieces:literal, $pause:expr;)*) => {$(
        // Guards against a connection that is closed behind an answer which does not say so: the client's next
        // request is lost.
        #[test]
        fn $name() {
            serve($wait, |address| {
                let stream = connect(address);
                post(&stream, $pieces, $pause);
                let head = read(&stream).unwrap();
                // Longer than a head may take, and shorter than a connection may be idle.
                thread::sleep(2 * LIMITS.head_timeout);
                let is_told = head.contains("connection: close");
                assert!(is_told || get(&stream).is_some(), "{head}");
            });
        }
    )*};
}

bodies! {
    bodies_that_come_with_the_head: Duration::ZERO, 1, Duration::ZERO;
    bodies_that_come_before_the_answer: 6 * LATER, 1, LATER;
    bodies_in_two_pieces_before_the_answer: 6 * LATER, 2, LATER;
    bodies_that_come_after_the_answer: Duration::ZERO, 1, LATER;
    bodies_in_two_pieces_around_the_answer: 3 * LATER, 2, 2 * LATER;
}
