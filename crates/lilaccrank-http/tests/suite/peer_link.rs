//! Tests of calls to peers over links that are narrow or fall silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lilaccrank::peers::Error;
use lilaccrank_http::peer_link::PeerLink;
use lilaccrank_http::runtime;
use lilaccrank_http::tally::Tally;

/// Size of a large reply.
const REPLY_BYTES: usize = 600_000;
/// What the link carries in a second.
const BYTES_PER_S: usize = 400_000;
/// Size of a piece on the way.
const PIECE: usize = 8_000;
/// Time without a byte after which the peer may be taken for dead, with the test's own delays.
const SILENCE: Duration = Duration::from_millis(1_500);

/// A peer that answers each batch of one call with the same text, at the link's rate, and falls silent
/// after `limit` bytes.
struct NarrowPeer {
    address: SocketAddr,
    /// Batches that were asked.
    asked: Arc<AtomicUsize>,
}

impl NarrowPeer {
    fn start(limit: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&asked);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let asked = Arc::clone(&counted);
                thread::spawn(move || answer(stream, &asked, limit));
            }
        });
        Self { address, asked }
    }

    /// Asks the peer once.
    fn call(&self) -> Result<String, Error> {
        let address = self.address.to_string();
        runtime::block_on(async move {
            let link = PeerLink::<u8, String>::start("vm".to_owned(), address, Tally::default());
            link.call(1).await
        })
        .unwrap()
    }
}

fn answer(mut stream: TcpStream, asked: &AtomicUsize, limit: usize) {
    let mut req = [0; 1 << 10];
    while stream.read(&mut req).is_ok_and(|length| length > 0) {
        asked.fetch_add(1, Ordering::Relaxed);
        let body = rmp_serde::to_vec_named(&["x".repeat(REPLY_BYTES)]).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let reply = [head.as_bytes(), &body].concat();
        for piece in reply[..limit.min(reply.len())].chunks(PIECE) {
            if stream.write_all(piece).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1) * PIECE as u32 / BYTES_PER_S as u32);
        }
    }
}

// Guards against large replies that are given up half way, though they come, and asked for anew.
#[test]
fn a_large_reply_over_a_narrow_link_is_received_once() {
    let peer = NarrowPeer::start(usize::MAX);
    let reply = peer.call();
    assert_eq!(reply.map(|reply| reply.len()), Ok(REPLY_BYTES));
    assert_eq!(peer.asked.load(Ordering::Relaxed), 1);
}

// Guards against calls that wait for long behind a peer that has died in the middle of a reply.
#[test]
fn a_peer_that_falls_silent_in_the_middle_is_given_up() {
    let peer = NarrowPeer::start(REPLY_BYTES / 4);
    let sending = Duration::from_secs(1) * (REPLY_BYTES / 4) as u32 / BYTES_PER_S as u32;
    let began = Instant::now();
    assert_eq!(peer.call(), Err(Error::NoAnswer("vm".to_owned())));
    let elapsed = began.elapsed();
    assert!(elapsed < sending + SILENCE, "{elapsed:?}");
}
