//! Tests what a server learns of clients that hang up, and that reading ahead loses nothing.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};

/// Longest time from the end of a connection until its request is dropped.
const AIM: Duration = Duration::from_millis(100);
/// Longest time of a test.
const LIMIT: Duration = Duration::from_secs(5);
const HEAD: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// What the handlers of a server saw.
#[derive(Default)]
struct Seen {
    began: Cell<usize>,
    /// When a handler was dropped before it had answered, or its body before it was whole.
    dropped_at: RefCell<Vec<Instant>>,
}

struct DropRecorder(Rc<Seen>);

impl Drop for DropRecorder {
    fn drop(&mut self) {
        self.0.dropped_at.borrow_mut().push(Instant::now());
    }
}

/// Runs a server until the client's thread ends; returns what its handlers saw and what the client
/// returns.
fn serve<H, F, T>(
    handler: H,
    client: impl FnOnce(SocketAddr) -> T + Send + 'static,
) -> (Rc<Seen>, T)
where
    H: Fn(Rc<Seen>, Request<Incoming>, ClientConnection) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
    T: Send + 'static,
{
    let seen = Rc::new(Seen::default());
    let shared = Rc::clone(&seen);
    let returned = runtime::block_on(async move {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let handler = move |req, connection| {
            shared.began.set(shared.began.get() + 1);
            handler(Rc::clone(&shared), req, connection)
        };
        monoio::spawn(server::serve(listener, ShutdownHandle::default(), handler));
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || tx.send(client(address)).unwrap());
        let until = Instant::now() + LIMIT;
        loop {
            monoio::time::sleep(Duration::from_millis(2)).await;
            if let Ok(returned) = rx.try_recv() {
                return returned;
            }
            assert!(Instant::now() < until, "the client does not end");
        }
    });
    (seen, returned.unwrap())
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
}

async fn never(seen: Rc<Seen>, _: Request<Incoming>, _: ClientConnection) -> Response<Body> {
    let _recorder = DropRecorder(seen);
    futures::future::pending().await
}

async fn silent_stream(
    seen: Rc<Seen>,
    _: Request<Incoming>,
    _: ClientConnection,
) -> Response<Body> {
    let recorder = DropRecorder(seen);
    Response::new(body::streamed(|mut tx| async move {
        let _recorder = recorder;
        tx.send_data("begun".into()).await.unwrap();
        futures::future::pending().await
    }))
}

/// Sends a request and more bytes and hangs up after a moment. Returns times just before and after.
fn hang_up(address: SocketAddr, behind: &str) -> (Instant, Instant) {
    let mut stream = connect(address);
    stream
        .write_all(format!("{HEAD}{behind}").as_bytes())
        .unwrap();
    thread::sleep(Duration::from_millis(50));
    let before = Instant::now();
    stream.shutdown(Shutdown::Write).unwrap();
    let after = Instant::now();
    thread::sleep(2 * AIM);
    (before, after)
}

/// Guards against a handler, or the writer of a body, that goes on after its client has hung up.
macro_rules! dropped {
    ($($name:ident: $handler:ident, $behind:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (seen, (before, after)) = serve($handler, |address| hang_up(address, $behind));
                let dropped_at = seen.dropped_at.borrow();
                assert_eq!((seen.began.get(), dropped_at.len()), (1, 1));
                assert!(dropped_at[0] >= before, "before the client hung up");
                assert!(dropped_at[0] < after + AIM, "{:?}", dropped_at[0] - after);
            }
        )*
    };
}

dropped! {
    handler_of_one_request: never, "";
    handler_before_a_part_of_a_request: never, "GET / HTTP/1.1\r\nho";
    handler_before_a_whole_request: never, HEAD;
    silent_body_of_one_request: silent_stream, "";
    silent_body_before_a_part_of_a_request: silent_stream, "GET / HTTP/1.1\r\nho";
    silent_body_before_a_whole_request: silent_stream, HEAD;
}

async fn echo_length(_: Rc<Seen>, req: Request<Incoming>, _: ClientConnection) -> Response<Body> {
    // Bytes of the next request arrive meanwhile.
    monoio::time::sleep(Duration::from_millis(30)).await;
    let bytes = body::read(req.into_body(), usize::MAX).await.unwrap();
    let sum: u64 = bytes.iter().map(|byte| u64::from(*byte)).sum();
    Response::new(body::full(format!("<{} {sum}>", bytes.len())))
}

/// Guards against bytes that are lost, doubled or out of order because they were read ahead.
#[test]
fn pipelined_bodies_arrive_whole() {
    let lengths = [3_usize, 200_000, 0, 70_000, 1];
    let bodies: Vec<Vec<u8>> = lengths
        .iter()
        .map(|length| (0..*length).map(|at| (at * 7 % 251) as u8).collect())
        .collect();
    let wanted: Vec<_> = bodies
        .iter()
        .map(|bytes| {
            let sum: u64 = bytes.iter().map(|byte| u64::from(*byte)).sum();
            format!("<{} {sum}>", bytes.len())
        })
        .collect();
    let (_, text) = serve(echo_length, move |address| {
        let mut stream = connect(address);
        let mut writer = stream.try_clone().unwrap();
        let writing = thread::spawn(move || {
            for bytes in bodies {
                let length = bytes.len();
                let head =
                    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
                writer.write_all(head.as_bytes()).unwrap();
                for piece in bytes.chunks(9_000) {
                    writer.write_all(piece).unwrap();
                }
            }
        });
        let mut text = String::new();
        let mut buf = [0; 4096];
        while text.matches('>').count() < lengths.len() {
            let length = stream.read(&mut buf).unwrap();
            assert!(length > 0, "closed after {text}");
            text.push_str(&String::from_utf8_lossy(&buf[..length]));
        }
        writing.join().unwrap();
        text
    });
    let found: Vec<_> = text
        .split('<')
        .skip(1)
        .filter_map(|rest| rest.split_once('>'))
        .map(|(inner, _)| format!("<{inner}>"))
        .collect();
    assert_eq!(found, wanted);
}
