//! A daemon that stands still while its callers send or read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use hyper::{Response, StatusCode};
use lilaccrank_http::body;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use lilaccrankd::callers::entry;
use lilaccrankd::settings::Settings;

use super::fixtures;

/// Time for a body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 300;
/// When the daemon stands still, and for how long.
const RUNS: Duration = Duration::from_millis(100);
const STANDS_STILL: Duration = Duration::from_millis(800);
/// Size of a body, which takes many reads.
const BODY_BYTES: usize = 400_000;

/// A caller that sends the rest of its body `after` the start. Returns the status of its answer.
fn caller(address: SocketAddr, after: Duration) -> JoinHandle<String> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        thread::sleep(after);
        // The daemon may have refused it.
        let _ = stream.write_all(&vec![b'x'; BODY_BYTES]);
        let mut answer = [0; 12];
        let _ = stream.read_exact(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    })
}

fn status(after: Duration) -> String {
    let status = runtime::block_on(async {
        let daemon = fixtures::daemon_with(Settings {
            body_timeout_ms: BODY_TIMEOUT_MS,
            ..Settings::default()
        });
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(server::serve(
            listener,
            ShutdownHandle::default(),
            move |req, _| {
                let daemon = Rc::clone(&daemon);
                async move {
                    let read = entry::read_body(&daemon, req.into_body(), BODY_BYTES).await;
                    let mut res = Response::new(body::empty());
                    if read.is_err() {
                        *res.status_mut() = StatusCode::BAD_REQUEST;
                    }
                    res
                }
            },
        ));
        let caller = caller(address, after);
        monoio::time::sleep(RUNS).await;
        thread::sleep(STANDS_STILL);
        while !caller.is_finished() {
            monoio::time::sleep(RUNS).await;
        }
        caller.join().unwrap()
    });
    status.unwrap()
}

/// Guards against a caller that is refused since the daemon stood still while its body came.
#[test]
fn a_body_that_lies_unread() {
    assert_eq!(status(2 * RUNS), "HTTP/1.1 200");
}

/// Guards against a wait without end for a body.
#[test]
fn a_body_that_does_not_come() {
    assert_eq!(status(3 * STANDS_STILL), "HTTP/1.1 400");
}
