//! What was seen of a target, in few bytes.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::target_life::LifeDigest;

/// One thing that was seen of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub struct Sample {
    /// What was seen.
    pub observation: Observation,
    /// The target.
    pub target: LifeDigest,
}

/// What was seen of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
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
        prefill_ahead: u64,
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
struct Packed(LifeDigest, u8, u32, u64);

/// A kind of sample that this version does not know.
#[derive(Debug, Display)]
#[display("samples have no kind {_0}")]
struct UnknownKind(u8);

impl From<Sample> for Packed {
    fn from(sample: Sample) -> Self {
        let micros = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        let (kind, time, number) = match sample.observation {
            Observation::Answered => (0, 0, 0),
            Observation::Erred => (1, 0, 0),
            Observation::Failed => (2, 0, 0),
            Observation::FirstToken {
                after,
                prefill_ahead,
            } => (3, micros(after), prefill_ahead),
            Observation::Step { batch, step } => (4, micros(step), batch.into()),
        };
        Self(sample.target, kind, time, number)
    }
}

impl TryFrom<Packed> for Sample {
    type Error = UnknownKind;

    fn try_from(packed: Packed) -> Result<Self, UnknownKind> {
        let Packed(target, kind, time, number) = packed;
        let time = Duration::from_micros(time.into());
        let observation = match kind {
            0 => Observation::Answered,
            1 => Observation::Erred,
            2 => Observation::Failed,
            3 => Observation::FirstToken {
                after: time,
                prefill_ahead: number,
            },
            4 => Observation::Step {
                batch: u32::try_from(number).unwrap_or(u32::MAX),
                step: time,
            },
            kind => return Err(UnknownKind(kind)),
        };
        Ok(Self {
            observation,
            target,
        })
    }
}
