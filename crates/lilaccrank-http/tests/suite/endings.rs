//! Lines of the log about connections that end within a request.

use std::cell::RefCell;
use std::future;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Once;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::head_limits::{HeadLimits, LiveLimits};
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};

const HEAD: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const LIMITS: HeadLimits = HeadLimits {
    head_bytes: 8 << 10,
    head_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_millis(300),
    read_ahead_bytes: 8 << 10,
};
/// Time in which a line is written that nothing delays.
const SOON: Duration = Duration::from_millis(500);
/// Longest time of a test.
const LIMIT: Duration = Duration::from_secs(10);
/// An answer that the buffers of a connection don't hold.
const LONG_ANSWER: usize = 24 << 20;

/// A line of the log.
#[derive(Clone, Debug)]
struct Line {
    level: Level,
    text: String,
    values: Vec<(String, String)>,
}

impl Line {
    fn value(&self, name: &str) -> &str {
        let mut values = self.values.iter();
        let found = values.find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

thread_local! {
    /// Lines of the server, which runs on the thread of its test.
    static LINES: RefCell<Vec<Line>> = const { RefCell::new(Vec::new()) };
}

struct Recorder;

struct Values(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Values {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

impl Log for Recorder {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("lilaccrank_http::server")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut values = Values(Vec::new());
        record.key_values().visit(&mut values).unwrap();
        let line = Line {
            level: record.level(),
            text: record.args().to_string(),
            values: values.0,
        };
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

fn record_lines() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Recorder).unwrap();
        log::set_max_level(LevelFilter::Debug);
    });
}

/// What the server does with a request, by its path.
async fn answer(req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/broken" => Response::new(body::streamed(|tx| async {
            body::send_and_abort(tx, "part".into(), "it broke off").await;
        })),
        "/long" => Response::new(body::full(vec![b'a'; LONG_ANSWER])),
        "/never" => future::pending().await,
        "/stream" => Response::new(body::streamed(|mut tx| async move {
            tx.send_data("part".into()).await.unwrap();
            future::pending::<()>().await;
        })),
        _ => Response::new(body::full("whole")),
    }
}

/// Runs a server until the client's thread has ended and the connections are gone; returns the lines about
/// connections that ended within something.
fn lines(client: impl FnOnce(SocketAddr, mpsc::Sender<()>) + Send + 'static) -> Vec<Line> {
    record_lines();
    runtime::block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = ShutdownHandle::default();
        let limits = LiveLimits::from(LIMITS);
        let handler = |req, _| answer(req);
        let serving = server::serve_with_limits(listener, shutdown.clone(), limits, handler);
        monoio::spawn(serving);
        let (close_tx, close) = mpsc::channel();
        let client = thread::spawn(move || client(address, close_tx));
        let began = Instant::now();
        while !client.is_finished() || shutdown.connections() > 0 {
            assert!(began.elapsed() < LIMIT, "it does not end");
            if close.try_recv().is_ok() {
                shutdown.close();
            }
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        client.join().unwrap();
    })
    .unwrap();
    let mut lines = LINES.with_borrow_mut(std::mem::take);
    lines.retain(|line| line.text.contains("within"));
    lines
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    stream
}

fn send(mut stream: &TcpStream, path: &str) {
    let head = HEAD.replacen('/', path, 1);
    stream.write_all(head.as_bytes()).unwrap();
}

/// Sends a request and reads the first bytes of its answer.
fn call(mut stream: &TcpStream, path: &str) -> usize {
    send(stream, path);
    stream.read(&mut [0; 1024]).unwrap()
}

/// Reads until the connection ends.
fn read_to_end(mut stream: &TcpStream) {
    let mut buf = vec![0; 1 << 16];
    while matches!(stream.read(&mut buf), Ok(1..)) {}
}

/// The only line, which tells of a second request on its connection.
fn only(lines: Vec<Line>) -> Line {
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line = lines[0].clone();
    assert!(
        line.text
            .starts_with("a connection ended within a request: "),
        "{line:?}"
    );
    assert_eq!(line.value("requests"), "2", "{line:?}");
    line
}

fn is_one_of_kind(line: &Line, ended_by: &str, answer_begun: bool, has_written: bool) {
    assert_eq!(line.value("ended_by"), ended_by, "{line:?}");
    assert_eq!(
        line.value("answer_begun"),
        answer_begun.to_string(),
        "{line:?}"
    );
    assert_eq!(line.value("written") != "0", has_written, "{line:?}");
}

// Guards against an answer that the server's side breaks off without a line of the connection.
#[test]
fn a_body_that_fails() {
    let line = only(lines(|address, _| {
        let stream = connect(address);
        call(&stream, "/");
        call(&stream, "/broken");
        read_to_end(&stream);
    }));
    is_one_of_kind(&line, "body", true, true);
    assert_eq!(line.level, Level::Info);
}

// Guards against a client that leaves within its answer without a line of the connection.
#[test]
fn a_client_that_leaves_within_the_answer() {
    let line = only(lines(|address, _| {
        let stream = connect(address);
        call(&stream, "/");
        call(&stream, "/stream");
    }));
    is_one_of_kind(&line, "client", true, true);
    assert_eq!(line.level, Level::Info);
}

// Guards against a flood of lines on days on which many clients leave before they are answered.
#[test]
fn a_client_that_leaves_before_the_answer() {
    let line = only(lines(|address, _| {
        let stream = connect(address);
        call(&stream, "/");
        send(&stream, "/never");
        thread::sleep(SOON);
    }));
    is_one_of_kind(&line, "client", false, false);
    assert_eq!(line.level, Level::Debug);
    assert!(line.value("since_head_ms").parse::<u64>().unwrap() >= SOON.as_millis() as u64 / 2);
}

// Guards against an answer that is cut as nobody reads it, without a line.
#[test]
fn an_answer_that_is_not_read() {
    let line = only(lines(|address, _| {
        let stream = connect(address);
        call(&stream, "/");
        send(&stream, "/long");
        thread::sleep(4 * LIMITS.idle_timeout + Duration::from_secs(1));
        read_to_end(&stream);
    }));
    is_one_of_kind(&line, "idle", true, true);
    assert_eq!(line.level, Level::Info);
}

// Guards against a client that ends behind an unread answer and is taken for one that ended within a head.
#[test]
fn a_client_that_ends_its_side_behind_an_unread_answer() {
    let line = only(lines(|address, _| {
        let stream = connect(address);
        call(&stream, "/");
        send(&stream, "/long");
        thread::sleep(SOON);
        stream.shutdown(Shutdown::Write).unwrap();
        read_to_end(&stream);
    }));
    is_one_of_kind(&line, "client", true, true);
}

// Guards against lines about connections whose answers were written whole.
#[test]
fn nothing_is_said_between_requests() {
    let lines = lines(|address, _| {
        let closed = connect(address);
        call(&closed, "/");
        drop(closed);
        let ended = connect(address);
        call(&ended, "/");
        ended.shutdown(Shutdown::Write).unwrap();
        read_to_end(&ended);
        let idle = connect(address);
        call(&idle, "/");
        read_to_end(&idle);
        drop(connect(address));
    });
    assert!(lines.is_empty(), "{lines:?}");
}

// Guards against lines about connections that a shutdown ends behind their last answer.
#[test]
fn nothing_is_said_of_a_shutdown_behind_answers() {
    let lines = lines(|address, close| {
        let stream = connect(address);
        call(&stream, "/");
        close.send(()).unwrap();
        read_to_end(&stream);
    });
    assert!(lines.is_empty(), "{lines:?}");
}
