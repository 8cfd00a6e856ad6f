//! What cancels a request: connections of callers, its deadline, and the end of the daemon.

use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, future, pin_mut};
use hyper::Response;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use lilaccrankd::callers::refusal::Refusal;
use lilaccrankd::daemon::Daemon;
use lilaccrankd::request::answer_buffer::AnswerBuffer;
use lilaccrankd::request::cancellation::Cancellation;

use super::fixtures;

/// Longest time from what cancels a request to its end.
const AIM: Duration = Duration::from_millis(100);
/// Grace of a request with a key.
const GRACE: Duration = Duration::from_millis(300);

/// A daemon and the connections of two callers that wait for the same answer.
struct Rig {
    buffer: Rc<AnswerBuffer>,
    callers: Vec<TcpStream>,
    connections: mpsc::UnboundedReceiver<ClientConnection>,
    daemon: Rc<Daemon>,
    address: std::net::SocketAddr,
}

impl Rig {
    fn start() -> Self {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let buffer = Rc::new(AnswerBuffer::default());
        let (tx, connections) = mpsc::unbounded();
        let shared = Rc::clone(&buffer);
        monoio::spawn(server::serve(
            listener,
            ShutdownHandle::default(),
            move |_, connection: ClientConnection| {
                let reader = shared.reader(connection.clone());
                tx.unbounded_send(connection).unwrap();
                async move {
                    let _reader = reader;
                    future::pending::<()>().await;
                    Response::<Body>::new(body::empty())
                }
            },
        ));
        Self {
            address,
            buffer,
            callers: Vec::new(),
            connections,
            daemon: fixtures::daemon(),
        }
    }

    /// Adds a caller and waits until it is served.
    async fn call(&mut self) -> ClientConnection {
        let mut caller = TcpStream::connect(self.address).unwrap();
        caller
            .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        self.callers.push(caller);
        self.connections.next().await.unwrap()
    }

    fn cancellation(&self, deadline: Option<Duration>, grace: Duration) -> Cancellation {
        let deadline = deadline.map(|left| Instant::now() + left);
        Cancellation::new(&self.daemon, &self.buffer, deadline, grace)
    }
}

/// Runs work without an end until `change` cancels it. Returns why, and how long after the change.
async fn cancelled(
    cancellation: Cancellation,
    change: impl Future<Output = ()>,
) -> (Refusal, Duration) {
    let changed_at = RefCell::new(Instant::now());
    let changing = async {
        change.await;
        changed_at.replace(Instant::now());
    };
    let working = cancellation.run(future::pending::<()>());
    let (ended, ()) = future::join(working, changing).await;
    (ended.unwrap_err(), changed_at.into_inner().elapsed())
}

/// Guards against work that goes on although nobody waits for it any more.
#[test]
fn work_ends_when_the_last_caller_leaves() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        rig.call().await;
        let cancellation = rig.cancellation(None, Duration::ZERO);
        let mut callers = std::mem::take(&mut rig.callers);
        let (refusal, after) = cancelled(cancellation, async {
            callers.pop();
            monoio::time::sleep(2 * AIM).await;
            callers.pop();
        })
        .await;
        assert_eq!(refusal.kind, ErrorKind::Cancelled);
        assert!(after < AIM, "{after:?}");
    })
    .unwrap();
}

/// Guards against a repeat of a keyed request that finds its first run cancelled.
#[test]
fn work_with_a_key_has_its_grace() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(None, GRACE);
        rig.callers.clear();
        let (refusal, after) = cancelled(cancellation, future::ready(())).await;
        assert_eq!(refusal.kind, ErrorKind::Cancelled);
        assert!((GRACE..GRACE + AIM).contains(&after), "{after:?}");
    })
    .unwrap();
}

/// Guards against a caller that comes back within the grace and loses its answer.
#[test]
fn a_caller_that_comes_back_keeps_the_work() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(None, GRACE);
        rig.callers.clear();
        let (refusal, after) = cancelled(cancellation, async {
            monoio::time::sleep(GRACE / 2).await;
            rig.call().await;
            monoio::time::sleep(2 * GRACE).await;
            rig.callers.clear();
        })
        .await;
        assert_eq!(refusal.kind, ErrorKind::Cancelled);
        assert!((GRACE..GRACE + AIM).contains(&after), "{after:?}");
    })
    .unwrap();
}

/// Guards against a caller that comes back within the grace and loses its answer, since its request lies unread.
#[test]
fn a_caller_that_comes_back_during_a_standstill_keeps_the_work() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(None, GRACE);
        rig.callers.clear();
        let (refusal, after) = cancelled(cancellation, async {
            monoio::time::sleep(GRACE / 2).await;
            {
                let served = rig.call();
                pin_mut!(served);
                assert!(served.as_mut().now_or_never().is_none());
                thread::sleep(GRACE);
                served.await;
            }
            monoio::time::sleep(2 * GRACE).await;
            rig.callers.clear();
        })
        .await;
        assert_eq!(refusal.kind, ErrorKind::Cancelled);
        assert!((GRACE..GRACE + AIM).contains(&after), "{after:?}");
    })
    .unwrap();
}

#[test]
fn work_ends_at_its_deadline() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(Some(GRACE), Duration::ZERO);
        let (refusal, after) = cancelled(cancellation, future::ready(())).await;
        assert_eq!(refusal.kind, ErrorKind::DeadlinePassed);
        assert!((GRACE..GRACE + AIM).contains(&after), "{after:?}");
    })
    .unwrap();
}

/// Guards against a daemon that ends and says that a request has not run which may have.
#[test]
fn work_ends_with_the_daemon() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(None, GRACE);
        let daemon = Rc::clone(&rig.daemon);
        let (refusal, after) = cancelled(cancellation, async {
            daemon.abort_signal.trigger();
        })
        .await;
        assert_eq!(refusal.kind, ErrorKind::Leaving);
        assert_eq!(refusal.ran, Executed::Maybe);
        assert!(after < AIM, "{after:?}");
    })
    .unwrap();
}

/// Guards against a send for a caller whose close has arrived, but has not yet ended its request.
#[test]
fn a_send_asks_the_connections() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        let connection = rig.call().await;
        // As long as this reader lives, the request isn't cancelled.
        let _reader = rig.buffer.reader(connection);
        let cancellation = rig.cancellation(None, Duration::ZERO);
        assert!(cancellation.check().is_ok());
        rig.callers.clear();
        monoio::time::sleep(AIM).await;
        let refusal = cancellation.check().unwrap_err();
        assert_eq!(
            (refusal.kind, refusal.ran),
            (ErrorKind::Cancelled, Executed::No)
        );
        let keyed = rig.cancellation(None, GRACE);
        assert!(keyed.check().is_ok());
    })
    .unwrap();
}

// Guards against a send after the deadline, of work that ran before the timer of the deadline did.
#[test]
fn a_send_asks_the_clock() {
    runtime::block_on(async {
        let mut rig = Rig::start();
        rig.call().await;
        let cancellation = rig.cancellation(Some(GRACE), Duration::ZERO);
        assert!(cancellation.check().is_ok());
        // No timer fires meanwhile.
        std::thread::sleep(GRACE);
        let refusal = cancellation.check().unwrap_err();
        assert_eq!(refusal.kind, ErrorKind::DeadlinePassed);
        assert_eq!(refusal.ran, Executed::No);
    })
    .unwrap();
}
