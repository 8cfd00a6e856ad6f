//! Servers that send without end what is no part of an answer.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Limits};
use lilaccrank_http::runtime;

/// Time for the head of an answer.
const HEAD: Duration = Duration::from_secs(2);
/// Time after which another task has to run.
const TICK: Duration = Duration::from_millis(100);
/// Bytes that a connection may take, with what lies in the buffers of both kernels.
const MOST: usize = 16 << 20;

/// What a server sends: a beginning, and then a piece without end.
struct Endless {
    head: &'static str,
    piece: String,
}

/// Returns the bytes that the server sent, and the longest time for which no other task ran.
fn read_endless(endless: Endless) -> (usize, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(endless.head.as_bytes()).unwrap();
        let mut sent = 0;
        while stream.write_all(endless.piece.as_bytes()).is_ok() {
            sent += endless.piece.len();
        }
        sent
    });
    let mut longest = Duration::ZERO;
    runtime::block_on(async {
        let limits = Limits {
            connect: HEAD,
            max_idle: Duration::ZERO,
            head: HEAD,
        };
        let ticking = monoio::spawn(async {
            let mut longest = Duration::ZERO;
            for _ in 0..20 {
                let began = Instant::now();
                monoio::time::sleep(TICK).await;
                longest = longest.max(began.elapsed());
            }
            longest
        });
        let client = Client::default();
        let req = Request::new(body::empty());
        let answer = client.send(&address, req, limits).await;
        if let Ok((res, connection)) = answer {
            let mut body = res.into_body();
            connection.meter().start();
            let reading = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
            let _ = monoio::time::timeout(HEAD, reading).await;
        }
        longest = ticking.await;
    })
    .unwrap();
    (server.join().unwrap(), longest)
}

/// Guards against bytes that are read for as long as they come, and timers that don't fire meanwhile.
macro_rules! endless {
    ($($name:ident: $head:expr, $piece:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (sent, longest) = read_endless(Endless {
                    head: $head,
                    piece: $piece.repeat(512),
                });
                assert!(sent < MOST, "{sent} bytes");
                assert!(longest < TICK * 5, "{longest:?}");
            }
        )*
    };
}

endless! {
    interim_answers: "", "HTTP/1.1 103 Early Hints\r\n\r\n";
    digits_of_a_size: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "00000000";
    garbage: "", "garbage ";
}
