//! What answers take together.

use std::rc::Rc;

use bytes::Bytes;
use lilaccrankd::request::answer_buffer::{AnswerBuffer, End};
use lilaccrankd::request::answer_memory::AnswerMemory;

const LIMIT: usize = 1_000;

fn buffer(memory: &Rc<AnswerMemory>, bytes: usize) -> AnswerBuffer {
    let buffer = AnswerBuffer::new(memory);
    buffer.push(Bytes::from(vec![b'x'; bytes]));
    buffer
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
