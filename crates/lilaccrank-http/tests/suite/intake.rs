//! More connections than the processor can serve.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body;
use lilaccrank_http::head_limits::LiveLimits;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

/// Time after which a client gives up on a server that has not read its request.
const PATIENCE: Duration = Duration::from_secs(1);
/// Path of the requests on a connection that is kept open.
const KEPT: &str = "/kept";

/// Connections that come at once to a server that works for some time on each request.
struct Crowd {
    connections: usize,
    work: Duration,
}

/// What became of them.
struct Served {
    answered: usize,
    /// Time to the last answer, or to the last end without one.
    time: Duration,
    /// Whether an answer on a connection that was open before ended it.
    kept_ended: bool,
    /// Requests of the crowd that the server has read.
    read: usize,
}

impl Crowd {
    fn serve(self) -> Served {
        let read = Rc::new(Cell::new(0));
        let counted = Rc::clone(&read);
        let ((answered, time), kept_ended) = runtime::block_on(async move {
            let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let address = listener.local_addr().unwrap();
            let work = self.work;
            let handler = move |req: Request<Incoming>, _| {
                if req.uri().path() != KEPT {
                    counted.set(counted.get() + 1);
                }
                let began = Instant::now();
                while began.elapsed() < work {
                    std::hint::spin_loop();
                }
                async { Response::new(body::full("whole")) }
            };
            let (tx, rx) = mpsc::channel();
            let clients = self.connections;
            thread::spawn(move || {
                let kept = TcpStream::connect(address).unwrap();
                let kept = thread::spawn(move || use_until_ended(kept));
                let asked = ask(address, clients);
                tx.send((asked, kept.join().unwrap())).unwrap();
            });
            // All connections wait before the first is accepted.
            thread::sleep(Duration::from_millis(100));
            runtime::spawn(server::serve_with_limits(
                listener,
                ShutdownHandle::default(),
                LiveLimits::default(),
                handler,
            ));
            loop {
                match rx.try_recv() {
                    Ok(asked) => return asked,
                    Err(_) => monoio::time::sleep(Duration::from_millis(1)).await,
                }
            }
        })
        .unwrap();
        Served {
            answered,
            time,
            kept_ended,
            read: read.get(),
        }
    }
}

/// Sends requests on one connection, one after the other. Returns `true` if an answer ends it, `false` if none does
/// for some time.
fn use_until_ended(mut stream: TcpStream) -> bool {
    let began = Instant::now();
    while began.elapsed() < 2 * PATIENCE {
        let request = format!("GET {KEPT} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut buf = [0; 1024];
        let read = stream.read(&mut buf).unwrap();
        let answer = String::from_utf8_lossy(&buf[..read]);
        assert!(answer.ends_with("whole"), "{answer}");
        if answer.contains("connection: close") {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Sends a request on each of many connections. Returns how many were answered, and for how long that took.
fn ask(address: SocketAddr, clients: usize) -> (usize, Duration) {
    let began = Instant::now();
    let streams = (0..clients).map(|_| {
        let mut stream = TcpStream::connect(address).unwrap();
        let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request).unwrap();
        stream
    });
    let streams: Vec<_> = streams.collect();
    let answered = streams.into_iter().filter(|mut stream| {
        let mut answer = String::new();
        // A connection that is closed unread is reset.
        stream.read_to_string(&mut answer).is_ok() && answer.ends_with("whole")
    });
    (answered.count(), began.elapsed())
}

/// Guards against a server that takes in more requests than it has time for.
#[test]
fn connections_beyond_the_processor_are_closed_unread() {
    let work = Duration::from_millis(20);
    let crowd = Crowd {
        connections: 200,
        work,
    };
    let served = crowd.serve();
    assert!(served.answered > 0 && served.answered < 200);
    assert_eq!(served.read, served.answered);
    assert!(served.time < PATIENCE, "{:?}", served.time);
}

/// Guards against requests on open connections that leave new ones no time.
#[test]
fn open_connections_end_while_new_ones_are_closed_unread() {
    let work = Duration::from_millis(20);
    let crowd = Crowd {
        connections: 200,
        work,
    };
    assert!(crowd.serve().kept_ended);
}

/// Guards against a server that turns a burst away for which it has time.
#[test]
fn a_burst_that_can_be_served_is_served() {
    let crowd = Crowd {
        connections: 200,
        work: Duration::ZERO,
    };
    let served = crowd.serve();
    assert_eq!((served.read, served.answered), (200, 200));
    assert!(!served.kept_ended);
}
