//! Tests the server's timeouts and how its connections end.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::Response;
use lilaccrank_http::body;
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

const HEAD: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const LIMITS: HeadLimits = HeadLimits {
    head_bytes: 8 << 10,
    head_timeout: Duration::from_millis(200),
    idle_timeout: Duration::from_millis(900),
    read_ahead_bytes: 8 << 10,
};

/// Runs a server until the caller's thread ends.
fn serve(shutdown: &ShutdownHandle, caller: impl FnOnce(SocketAddr) + Send + 'static) {
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let limits = LiveLimits::from(LIMITS);
        let serving = server::serve_with_limits(listener, shutdown.clone(), limits, |_, _| async {
            Response::new(body::full("whole"))
        });
        monoio::spawn(serving);
        let (tx, rx) = mpsc::channel();
        let caller = thread::spawn(move || {
            caller(address);
            tx.send(()).unwrap();
        });
        while rx.try_recv().is_err() && !caller.is_finished() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        caller.join().unwrap();
    })
    .unwrap();
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    let limit = Some(Duration::from_secs(5));
    stream.set_read_timeout(limit).unwrap();
    stream
}

/// Sends a complete request and returns the response as text, empty if the connection is closed.
fn request(stream: &mut TcpStream) -> String {
    if stream.write_all(HEAD.as_bytes()).is_err() {
        return String::new();
    }
    let mut buf = [0; 1024];
    match stream.read(&mut buf) {
        Ok(read) => String::from_utf8_lossy(&buf[..read]).into_owned(),
        Err(e) if e.kind() == ErrorKind::ConnectionReset => String::new(),
        Err(e) => panic!("{e}"),
    }
}

// A caller keeps its connection idle for longer than the head timeout, as callers do between two
// requests. A timeout that starts at the last response would close the connection under the next
// request.
#[test]
fn idle_connection_outlives_head_timeout() {
    serve(&ShutdownHandle::default(), |address| {
        let mut stream = connect(address);
        assert!(request(&mut stream).contains("200 OK"));
        thread::sleep(LIMITS.head_timeout * 3);
        assert!(request(&mut stream).contains("200 OK"));
    });
}

// Guards against a caller that holds a connection by sending its head byte by byte. The timeout
// starts at the first byte.
#[test]
fn slow_head_closes_connection() {
    serve(&ShutdownHandle::default(), |address| {
        let mut stream = connect(address);
        assert!(request(&mut stream).contains("200 OK"));
        let begun = Instant::now();
        let mut cut = false;
        for byte in HEAD.as_bytes() {
            cut |= stream.write_all(&[*byte]).is_err();
            thread::sleep(Duration::from_millis(25));
        }
        let mut buf = [0; 64];
        cut |= matches!(stream.read(&mut buf), Ok(0) | Err(_));
        assert!(cut, "still open after {:?}", begun.elapsed());
    });
}

// A connection without requests is closed after the idle timeout.
#[test]
fn idle_connection_is_closed() {
    serve(&ShutdownHandle::default(), |address| {
        let mut stream = connect(address);
        assert!(request(&mut stream).contains("200 OK"));
        let mut buf = [0; 64];
        let begun = Instant::now();
        assert_eq!(stream.read(&mut buf).unwrap_or(0), 0);
        assert!(begun.elapsed() >= LIMITS.idle_timeout / 2);
    });
}

// An oversized head is refused and does not affect other connections.
#[test]
fn oversized_head_is_refused() {
    serve(&ShutdownHandle::default(), |address| {
        let mut stream = connect(address);
        let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(32 << 10));
        // The server may respond and close the connection before the whole head is sent.
        let _ = stream.write_all(head.as_bytes());
        let mut buf = [0; 64];
        let read = stream.read(&mut buf).unwrap_or(0);
        let answer = String::from_utf8_lossy(&buf[..read]).into_owned();
        assert!(answer.is_empty() || answer.contains("431"), "{answer}");
        assert!(request(&mut connect(address)).contains("200 OK"));
    });
}

// A request on an open connection during shutdown is answered with `Connection: close`. If the
// server closed the connection instead, a request already in flight would be lost.
#[test]
fn draining_sends_connection_close() {
    let shutdown = ShutdownHandle::default();
    shutdown.drain();
    serve(&shutdown, |address| {
        let mut stream = connect(address);
        let answer = request(&mut stream);
        assert!(
            answer.contains("200 OK") && answer.contains("connection: close"),
            "{answer}"
        );
        assert_eq!(request(&mut stream), "");
    });
}
