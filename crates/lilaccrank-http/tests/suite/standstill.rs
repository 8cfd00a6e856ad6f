//! A process that gets no processor time while an answer arrives.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::future;
use hyper::Request;
use lilaccrank::guarded_store::{self, GuardedStore};
use lilaccrank::store::Store;
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Limits};
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::peer_link::PeerLink;
use lilaccrank_http::runtime;
use lilaccrank_http::store_client::StoreClient;
use lilaccrank_http::tally::Tally;
use lilaccrank_http::timeout;

/// Time for the head of an answer.
const HEAD: Duration = Duration::from_millis(200);
/// Time after which the server answers.
const ANSWERED: Duration = Duration::from_millis(100);
/// When this thread stands still, and for how long.
const RUNS: Duration = Duration::from_millis(50);
const STANDS_STILL: Duration = Duration::from_millis(500);
/// Size of an object of the store, which takes many reads.
const OBJECT_BYTES: usize = 400_000;
/// Standstill that is longer than the store may take for an object.
const STANDS_STILL_AT_STORE: Duration = Duration::from_millis(2_300);
/// Standstill that ends after a peer's answer is due, and the time of the answer.
const STANDS_STILL_AT_PEER: Duration = Duration::from_millis(1_200);
const PEER_ANSWERS: Duration = Duration::from_millis(1_300);

/// A server that answers one request.
fn server(after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        thread::sleep(after);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        // The client may have given up.
        let _ = stream.write_all(answer);
        let _ = stream.read(&mut [0; 1024]);
    });
    address
}

fn is_answered(after: Duration) -> bool {
    let address = server(after).to_string();
    let limits = Limits {
        connect: HEAD,
        max_idle: Duration::ZERO,
        head: HEAD,
    };
    let answered = async {
        monoio::spawn(async {
            monoio::time::sleep(RUNS).await;
            thread::sleep(STANDS_STILL);
        });
        let client = Client::default();
        let sent = client.send(&address, Request::new(body::empty()), limits);
        sent.await.is_ok()
    };
    runtime::block_on(answered).unwrap()
}

/// Guards against a server that is taken for silent although its answer has arrived, which this process
/// did not read while it stood still.
#[test]
fn an_answer_that_lies_unread() {
    for _ in 0..5 {
        assert!(is_answered(ANSWERED));
    }
}

/// Guards against a wait without end for a server that is silent.
#[test]
fn an_answer_that_does_not_come() {
    assert!(!is_answered(4 * (STANDS_STILL + HEAD)));
}

/// Guards against the same where several tasks have to run before the answer is there.
#[test]
fn an_answer_that_other_tasks_have_to_read() {
    let waited = runtime::block_on(async {
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async {
            thread::sleep(STANDS_STILL);
            for _ in 0..3 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
            let _ = tx.send(());
        });
        timeout::timeout(HEAD, rx).await
    });
    assert_eq!(waited.unwrap(), Ok(Ok(())));
}

/// Guards against a wait without end in a process that is held up again and again.
#[test]
fn a_process_that_is_held_up_all_the_time() {
    let began = Instant::now();
    let waited = runtime::block_on(async {
        monoio::spawn(async {
            loop {
                thread::sleep(Duration::from_millis(90));
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        timeout::timeout(HEAD, future::pending::<()>()).await
    });
    assert_eq!(waited.unwrap(), Err(timeout::Elapsed));
    assert!(began.elapsed() < 5 * HEAD, "{:?}", began.elapsed());
}

/// A store that sends the start of an object at once and the rest while its client stands still.
fn store(asked: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]).unwrap();
            asked.fetch_add(1, Ordering::Relaxed);
            let head =
                format!("HTTP/1.1 200 OK\r\nversion: 1\r\ncontent-length: {OBJECT_BYTES}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            thread::sleep(2 * RUNS);
            let _ = stream.write_all(&vec![b'x'; OBJECT_BYTES]);
        }
    });
    address
}

/// Guards against a store that is taken for silent, and asked again, although its object lies unread.
#[test]
fn an_object_that_lies_unread() {
    let asked = Arc::new(AtomicUsize::new(0));
    let client = StoreClient::new(store(Arc::clone(&asked)).to_string());
    let found = runtime::block_on(async {
        monoio::spawn(async {
            monoio::time::sleep(RUNS).await;
            thread::sleep(STANDS_STILL_AT_STORE);
        });
        let settings = guarded_store::Settings::default();
        let store = GuardedStore::new(settings, client, MonoioClock);
        store.get("key").await
    });
    let found = found.unwrap().unwrap().unwrap();
    assert_eq!(found.value.len(), OBJECT_BYTES);
    assert_eq!(asked.load(Ordering::Relaxed), 1);
}

/// Guards against a peer that is taken for dead since this process had stood still while it answered.
#[test]
fn a_peer_that_answers_after_the_standstill() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        thread::sleep(PEER_ANSWERS);
        let body = rmp_serde::to_vec_named(&[7_u8]).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(&[head.as_bytes(), &body].concat());
        let _ = stream.read(&mut [0; 1024]);
    });
    let reply = runtime::block_on(async move {
        monoio::spawn(async {
            monoio::time::sleep(RUNS).await;
            thread::sleep(STANDS_STILL_AT_PEER);
        });
        let link = PeerLink::<u8, u8>::start("vm".to_owned(), address, Tally::default());
        link.call(1).await
    });
    assert_eq!(reply.unwrap(), Ok(7));
}
