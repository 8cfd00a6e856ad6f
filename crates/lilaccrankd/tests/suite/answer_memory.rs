//! What answers take together.

use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc;
use hyper::Response;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use lilaccrankd::request::answer_buffer::{AnswerBuffer, End};
use lilaccrankd::request::answer_memory::AnswerMemory;

const LIMIT: usize = 1_000;

fn buffer(memory: &Rc<AnswerMemory>, bytes: usize) -> AnswerBuffer {
    let buffer = AnswerBuffer::new(memory);
    buffer.push(Bytes::from(vec![b'x'; bytes]));
    buffer
}

/// The connection of a caller that waits for its answer, and the caller's end.
async fn connection() -> (ClientConnection, TcpStream) {
    let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut connections) = mpsc::unbounded();
    monoio::spawn(server::serve(
        listener,
        ShutdownHandle::default(),
        move |_, connection: ClientConnection| {
            tx.unbounded_send(connection).unwrap();
            async move {
                futures::future::pending::<()>().await;
                Response::<Body>::new(body::empty())
            }
        },
    ));
    let mut caller = TcpStream::connect(address).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    (connections.next().await.unwrap(), caller)
}

fn chunk(bytes: usize) -> Bytes {
    Bytes::from(vec![b'x'; bytes])
}

// Guards against parts of an answer that are kept to its end although nobody can ask for them again.
#[test]
fn what_all_have_read_is_freed() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(LIMIT));
        let buffer = Rc::new(AnswerBuffer::new(&memory));
        let (connection, _caller) = connection().await;
        let mut reader = buffer.reader(connection);
        for _ in 0..3 {
            buffer.push(chunk(10));
        }
        for left in [20, 10] {
            assert!(reader.next().await.unwrap().is_some());
            assert!(reader.next().await.unwrap().is_some());
            buffer.push(chunk(10));
            assert!(memory.bytes() <= left + 10, "{}", memory.bytes());
        }
        buffer.finish(End::Complete);
        while reader.next().await.unwrap().is_some() {}
        assert_eq!(memory.bytes(), 0);
    })
    .unwrap();
}

// Guards against a few large answers that fill the memory, and small ones that are given up for them.
#[test]
fn the_large_ones_go_first() {
    let memory = Rc::new(AnswerMemory::new(LIMIT));
    let small = buffer(&memory, 10);
    let large: Vec<_> = (0..2).map(|_| buffer(&memory, LIMIT / 2)).collect();
    assert_eq!(small.excess(LIMIT), None);
    assert!(large.iter().all(|answer| answer.excess(LIMIT).is_some()));
}

#[test]
fn one_alone_has_its_own_limit() {
    let memory = Rc::new(AnswerMemory::new(LIMIT));
    assert!(buffer(&memory, LIMIT / 2).excess(LIMIT / 4).is_some());
    assert_eq!(buffer(&memory, LIMIT / 2).excess(LIMIT), None);
}

// Guards against memory that is never given back.
#[test]
fn what_has_ended_takes_nothing() {
    let memory = Rc::new(AnswerMemory::new(LIMIT));
    let (dropped, complete) = (buffer(&memory, 10), buffer(&memory, 20));
    assert_eq!(memory.bytes(), 30);
    drop(dropped);
    complete.finish(End::Complete);
    assert_eq!(memory.bytes(), 0);
    drop(complete);
    assert_eq!(memory.bytes(), 0);
}
