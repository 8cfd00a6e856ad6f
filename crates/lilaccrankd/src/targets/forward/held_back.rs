//! The beginning of an answer, which is held back from its caller.

use bytes::{Bytes, BytesMut};

use crate::request::answer_buffer::AnswerBuffer;
use crate::request::answer_memory::Held;

/// Size up to which an answer is held back until it is complete. Answers of plain services have a
/// few kilobytes; longer ones are forwarded piece by piece.
pub(super) const LIMIT: usize = 256 << 10;
/// Size of a piece. A single buffer would take up to twice the size of what it holds as it grows.
const PIECE: usize = 16 << 10;

/// What is held back of one answer.
pub(super) struct HeldBack {
    memory: Held,
    pieces: Vec<BytesMut>,
    size: usize,
}

impl HeldBack {
    pub(super) fn new(buffer: &AnswerBuffer) -> Self {
        Self {
            memory: buffer.hold_back(),
            pieces: Vec::new(),
            size: 0,
        }
    }

    pub(super) fn extend(&mut self, mut data: &[u8]) {
        self.memory.add(data.len());
        self.size += data.len();
        while !data.is_empty() {
            if self.pieces.last().is_none_or(|piece| piece.len() == PIECE) {
                self.pieces.push(BytesMut::new());
            }
            if let Some(piece) = self.pieces.last_mut() {
                let (now, later) = data.split_at(data.len().min(PIECE - piece.len()));
                piece.extend_from_slice(now);
                data = later;
            }
        }
    }

    /// Returns `true` if no more may be held back of this answer, or of all together.
    pub(super) fn is_full(&self) -> bool {
        self.size > LIMIT || self.memory.memory().is_short()
    }

    /// Writes it to `buffer` as one part.
    pub(super) fn release(self, buffer: &AnswerBuffer) {
        self.memory.release();
        let pieces = self.pieces.into_iter().map(BytesMut::freeze);
        buffer.push_pieces(pieces.collect::<Vec<Bytes>>());
    }
}
