//! What was seen of a target, in few bytes.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::target_instance::InstanceDigest;

/// One thing that was seen of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub struct Sample {
    /// What was seen.
    pub seen: Seen,
    /// The target.
    pub target: InstanceDigest,
}

/// What was seen of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A whole answer.
    Answered,
    /// An answer that it failed, or would not run the request.
    Erred,
    /// No whole answer.
    Failed,
    /// A first token.
    FirstToken {
        /// Time since the request was sent.
        after: Duration,
        /// Prompt tokens before it when it was sent, its own included.
        before: u64,
    },
    /// Tokens that followed each other.
    Step {
        /// Requests in the batch.
        batch: u32,
        /// Time between two tokens.
        step: Duration,
    },
}

/// A sample as it travels: the target, which kind it is, a time in microseconds and a number. With the
/// names of kinds and fields it would take three times the bytes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Packed(InstanceDigest, u8, u32, u64);

/// A kind of sample that this version does not know.
#[derive(Debug, Display)]
#[display("samples have no kind {_0}")]
struct UnknownKind(u8);

impl From<Sample> for Packed {
    fn from(sample: Sample) -> Self {
        let micros = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        let (kind, time, number) = match sample.seen {
            Seen::Answered => (0, 0, 0),
            Seen::Erred => (1, 0, 0),
            Seen::Failed => (2, 0, 0),
            Seen::FirstToken { after, before } => (3, micros(after), before),
            Seen::Step { batch, step } => (4, micros(step), batch.into()),
        };
        Self(sample.target, kind, time, number)
    }
}

impl TryFrom<Packed> for Sample {
    type Error = UnknownKind;

    fn try_from(packed: Packed) -> Result<Self, UnknownKind> {
        let Packed(target, kind, time, number) = packed;
        let time = Duration::from_micros(time.into());
        let seen = match kind {
            0 => Seen::Answered,
            1 => Seen::Erred,
            2 => Seen::Failed,
            3 => Seen::FirstToken {
                after: time,
                before: number,
            },
            4 => Seen::Step {
                batch: u32::try_from(number).unwrap_or(u32::MAX),
                step: time,
            },
            kind => return Err(UnknownKind(kind)),
        };
        Ok(Self { seen, target })
    }
}
