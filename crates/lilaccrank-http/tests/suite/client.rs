//! Tests which connections the client reuses and closes.

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hyper::{Request, Response};
use indexmap::IndexSet;
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Conditions, Error, Limits, RequestDigest};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

/// Longer than the client keeps an idle connection, shorter than the server's idle timeout.
const IDLE: Duration = Duration::from_secs(3);

/// Starts a server with empty responses; returns its address and a handle that counts connections.
fn serve() -> (String, ShutdownHandle) {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let shutdown = ShutdownHandle::default();
    monoio::spawn(server::serve(listener, shutdown.clone(), |_, _| async {
        Response::new(body::empty())
    }));
    (address, shutdown)
}

// Guards against a leak of pooled connections. Requests that require a new connection add to the
// pool but never take from it, so a daemon with thousands of targets runs out of descriptors unless
// expired connections are closed.
#[test]
fn unused_connections_are_closed() {
    runtime::block_on(async {
        let (address, shutdown) = serve();
        let client = Client::default();
        let limits = Limits {
            connect: IDLE,
            max_idle: Duration::ZERO,
            head: IDLE,
        };
        for _ in 0..3 {
            let sent = client.send(&address, Request::new(body::empty()), limits);
            let (_, connection) = sent.await.unwrap();
            client.release(connection);
        }
        assert_eq!(shutdown.connections(), 3);
        monoio::time::sleep(IDLE).await;
        assert_eq!(shutdown.connections(), 0);
    })
    .unwrap();
}

/// Checks how many connections two requests open, with a pause between them.
macro_rules! connections_opened {
    ($name:ident, $max_idle_ms:literal, $pause_ms:literal, $connections:literal) => {
        #[test]
        fn $name() {
            let opened = runtime::block_on(async {
                let (address, shutdown) = serve();
                let client = Client::default();
                let limits = Limits {
                    connect: IDLE,
                    max_idle: Duration::from_millis($max_idle_ms),
                    head: IDLE,
                };
                for _ in 0..2 {
                    let sent = client.send(&address, Request::new(body::empty()), limits);
                    let (_, connection) = sent.await.unwrap();
                    client.release(connection);
                    monoio::time::sleep(Duration::from_millis($pause_ms)).await;
                }
                shutdown.connections()
            });
            assert_eq!(opened.unwrap(), $connections);
        }
    };
}

/// Counts the connections that requests with these ids use, one after the other.
fn connections_for(ids: &[Option<RequestDigest>]) -> usize {
    let used = runtime::block_on(async {
        let (address, _) = serve();
        let client = Client::default();
        let limits = Limits {
            connect: IDLE,
            max_idle: IDLE,
            head: IDLE,
        };
        let mut used = IndexSet::new();
        for id in ids {
            let conditions = Conditions {
                is_wanted: Rc::new(|| true),
                request: *id,
            };
            let req = Request::new(body::empty());
            let sent = client.send_if(&address, req, limits, &conditions);
            let (_, connection) = sent.await.unwrap();
            used.insert(connection.last_exchange().connection);
            client.release(connection);
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        used.len()
    });
    used.unwrap()
}

/// Guards against an answer that could be a copy of an earlier one: a connection carries an id once, and
/// requests that can't be told from others use connections of their own.
macro_rules! connections_for {
    ($($name:ident: $ids:expr => $connections:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(connections_for(&$ids), $connections);
            }
        )*
    };
}

connections_for! {
    other_ids_share_a_connection: [Some(1), Some(2), Some(3)] => 1;
    an_id_that_comes_again_opens_a_connection: [Some(1), Some(1)] => 2;
    an_earlier_id_opens_a_connection: [Some(1), Some(2), Some(1)] => 2;
    requests_without_ids_open_connections: [None, None] => 2;
}

// Guards against memory that grows with the age of a connection.
#[test]
fn a_connection_that_has_carried_many_ids_is_replaced() {
    let ids: Vec<_> = (0..300).map(Some).collect();
    assert_eq!(connections_for(&ids), 2);
}

// Guards against sending a request that is not safe to retry on a stale connection. A middlebox may
// have dropped the idle connection; the request then gets no response, and whether it ran is
// unknown. The sender limits the idle time of a reused connection.
connections_opened!(zero_max_idle_opens_new_connection, 0, 5, 2);
connections_opened!(recently_used_connection_is_reused, 600, 5, 1);
connections_opened!(stale_connection_is_not_reused, 100, 300, 2);

// Guards against a request that arrives after its sender has given it up, for example when a cut
// network works again. The kernel goes on sending what was written to a connection that is closed, unless
// the connection is reset.
#[test]
fn request_that_was_given_up_is_not_delivered() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (given_up, wait) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        wait.recv().unwrap();
        stream.read_to_end(&mut Vec::new()).map_err(|e| e.kind())
    });
    runtime::block_on(async {
        let limits = Limits {
            connect: IDLE,
            max_idle: Duration::ZERO,
            head: Duration::from_millis(100),
        };
        let req = Request::new(body::full(vec![0; 16 << 20]));
        let sent = Client::default().send(&address, req, limits).await;
        assert!(matches!(sent, Err(Error::Silent { .. })));
        given_up.send(()).unwrap();
        // The task of the connection closes it.
        while !server.is_finished() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .unwrap();
    assert_eq!(server.join().unwrap(), Err(ErrorKind::ConnectionReset));
}

// Guards against a request that is written although its caller left while the connection was being made.
#[test]
fn nothing_is_written_of_a_request_that_was_withdrawn() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut written = Vec::new();
        // The connection ends by a reset.
        let _ = stream.read_to_end(&mut written);
        written.len()
    });
    runtime::block_on(async {
        let limits = Limits {
            connect: IDLE,
            max_idle: Duration::ZERO,
            head: IDLE,
        };
        let req = Request::new(body::full(vec![0; 1 << 10]));
        let conditions = Conditions {
            is_wanted: Rc::new(|| false),
            request: Some(1),
        };
        let client = Client::default();
        let sent = client.send_if(&address, req, limits, &conditions).await;
        assert!(matches!(sent, Err(Error::Withdrawn { .. })));
        while !server.is_finished() {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .unwrap();
    assert_eq!(server.join().unwrap(), 0);
}
