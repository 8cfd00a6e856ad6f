//! What answers take together.

use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{FutureExt, StreamExt, future};
use hyper::Response;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use lilaccrank_http::runtime;
use lilaccrank_http::server::{self, ShutdownHandle};
use lilaccrankd::request::answer_buffer::{AnswerBuffer, End, READ_AHEAD, Reader};
use lilaccrankd::request::answer_memory::AnswerMemory;

use super::fixtures;

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
                future::pending::<()>().await;
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

/// Reads all that there is of a complete answer.
async fn rest(reader: &mut Reader) -> usize {
    let mut bytes = 0;
    while let Some(chunk) = reader.next().await.unwrap() {
        bytes += chunk.len();
    }
    bytes
}

// Guards against answers that end for others, and small ones that wait for large ones.
#[test]
fn large_ones_wait_and_small_ones_do_not() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(LIMIT));
        let (connection, _caller) = connection().await;
        let answers: Vec<_> = [10, LIMIT / 2, LIMIT / 2]
            .map(|bytes| {
                let answer = Rc::new(AnswerBuffer::new(&memory));
                let reader = answer.reader(connection.clone());
                answer.push(chunk(bytes));
                (answer, reader)
            })
            .into();
        assert!(memory.is_short());
        for (answer, mut reader) in answers {
            assert!(answer.end().is_none());
            let is_short = memory.is_short();
            assert_eq!(answer.is_wanted(), !is_short);
            let waiting = answer.wait_until_wanted();
            let reading = async {
                assert!(reader.next().await.unwrap().is_some());
                answer.push(chunk(1));
                assert!(reader.next().await.unwrap().is_some());
                assert!(reader.next().now_or_never().is_none());
            };
            future::join(waiting, reading).await;
            assert!(answer.is_wanted());
        }
        assert_eq!(memory.bytes(), 0);
    })
    .unwrap();
}

// Guards against a target that is read further ahead of the slowest reader than the window.
#[test]
fn the_slowest_reader_slows_the_target() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(usize::MAX));
        let answer = Rc::new(AnswerBuffer::new(&memory));
        let (connection, _caller) = connection().await;
        let mut readers = [(), ()].map(|()| answer.reader(connection.clone()));
        assert!(answer.is_wanted());
        answer.push(chunk(READ_AHEAD));
        assert!(!answer.is_wanted());
        for reader in &mut readers {
            assert!(!answer.is_wanted());
            assert!(reader.next().await.unwrap().is_some());
            assert!(reader.next().now_or_never().is_none());
        }
        assert!(answer.is_wanted());
        assert_eq!(memory.bytes(), 0);
        answer.push(chunk(READ_AHEAD));
        assert!(!answer.is_wanted());
    })
    .unwrap();
}

// Guards against a repeat that gets a part of an answer for the whole, and against an answer that is
// given up because it is too large for repeats.
#[test]
fn a_kept_answer_over_its_limit_costs_the_repeat() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(LIMIT));
        let answer = Rc::new(AnswerBuffer::new(&memory));
        answer.keep_for_repeats(LIMIT / 4);
        let (connection, _caller) = connection().await;
        let mut reader = answer.reader(connection.clone());
        answer.push(chunk(LIMIT / 4));
        assert!(reader.next().await.unwrap().is_some());
        assert!(reader.next().now_or_never().is_none());
        let mut repeat = answer.repeat_reader(connection.clone()).unwrap();
        answer.push(chunk(1));
        assert!(answer.end().is_none());
        answer.finish(End::Complete);
        assert_eq!(rest(&mut repeat).await, LIMIT / 4 + 1);
        assert_eq!(rest(&mut reader).await, 1);
        assert!(answer.repeat_reader(connection).is_none());
        assert_eq!(memory.bytes(), 0);
    })
    .unwrap();
}

// The same for what all answers take together.
#[test]
fn a_kept_answer_costs_the_repeat_when_memory_is_short() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(LIMIT));
        let answer = Rc::new(AnswerBuffer::new(&memory));
        answer.keep_for_repeats(LIMIT);
        let (connection, _caller) = connection().await;
        let mut reader = answer.reader(connection.clone());
        answer.push(chunk(LIMIT / 2));
        assert!(reader.next().await.unwrap().is_some());
        let other = buffer(&memory, LIMIT);
        answer.push(chunk(1));
        answer.finish(End::Complete);
        assert_eq!(rest(&mut reader).await, 1);
        assert!(answer.repeat_reader(connection).is_none());
        assert_eq!(memory.bytes(), LIMIT);
        drop(other);
        assert_eq!(memory.bytes(), 0);
    })
    .unwrap();
}

// Guards against answers that are kept for repeats without a limit while nobody reads them, and against
// the loss of what a repeat may still ask for.
#[test]
fn a_kept_answer_without_readers_waits_for_a_repeat() {
    runtime::block_on(async {
        let memory = Rc::new(AnswerMemory::new(LIMIT));
        let answer = Rc::new(AnswerBuffer::new(&memory));
        answer.keep_for_repeats(LIMIT / 4);
        let (connection, _caller) = connection().await;
        drop(answer.reader(connection.clone()));
        answer.push(chunk(LIMIT / 4));
        assert!(answer.is_wanted());
        answer.push(chunk(1));
        assert!(!answer.is_wanted());
        let mut repeat = answer.repeat_reader(connection).unwrap();
        assert!(answer.is_wanted());
        answer.finish(End::Complete);
        assert_eq!(rest(&mut repeat).await, LIMIT / 4 + 1);
    })
    .unwrap();
}

// Guards against memory of an answer that is held back and given up for another target's.
#[test]
fn what_is_held_back_counts() {
    let memory = Rc::new(AnswerMemory::new(LIMIT));
    let buffer = AnswerBuffer::new(&memory);
    let held_back = buffer.hold_back();
    held_back.add(LIMIT + 1);
    assert!(memory.is_short());
    drop(held_back);
    assert_eq!(memory.bytes(), 0);
}

// Guards against requests that are taken while the memory for answers is used up, and against a refusal
// that outlasts that.
#[test]
fn nothing_is_admitted_while_memory_is_short() {
    runtime::block_on(async {
        let daemon = fixtures::daemon();
        let answer = Rc::new(AnswerBuffer::new(&daemon.answer_memory));
        let (connection, _caller) = connection().await;
        let mut reader = answer.reader(connection);
        assert!(daemon.admit().is_ok());
        answer.push(Bytes::from(vec![0; daemon.cfg.answers_total_limit + 1]));
        let refusal = daemon.admit().err().unwrap();
        assert_eq!(refusal.kind, ErrorKind::Overloaded);
        assert_eq!(refusal.ran, Executed::No);
        assert!(refusal.retry_after.is_some());
        assert_eq!(daemon.in_progress(), 0);
        assert!(reader.next().await.unwrap().is_some());
        assert!(reader.next().now_or_never().is_none());
        assert!(daemon.admit().is_ok());
    })
    .unwrap();
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
