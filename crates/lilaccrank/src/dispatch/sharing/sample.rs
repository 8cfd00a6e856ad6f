//! Samples of target behaviour in a compact encoding.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::target_instance::InstanceDigest;

/// One observation of a target.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(into = "Packed", try_from = "Packed")]
pub struct Sample {
    /// The observation.
    pub observation: Observation,
    /// Digest of the target.
    pub target: InstanceDigest,
}

/// Observed behaviour of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A complete answer.
    Answered,
    /// An error response or a rejection.
    Erred,
    /// No complete answer.
    Failed,
    /// The head of an answer in pieces.
    Head,
    /// An answer of another target at its address.
    Misdirected,
    /// No sign of life.
    Silent,
    /// A first token.
    FirstToken {
        /// Time since the request was sent.
        after: Duration,
        /// Prefill tokens outstanding when the request was granted, including its own.
        prefill_ahead: u64,
    },
    /// Consecutive tokens.
    Step {
        /// Number of requests in the batch.
        batch: u32,
        /// Time between two tokens.
        step: Duration,
    },
}

impl Observation {
    /// Returns `true` if the target answered.
    #[must_use]
    pub fn is_sign_of_life(self) -> bool {
        match self {
            Self::Answered
            | Self::Erred
            | Self::FirstToken { .. }
            | Self::Head
            | Self::Step { .. } => true,
            Self::Failed | Self::Misdirected | Self::Silent => false,
        }
    }
}

/// Wire format of a sample: target, kind, time in microseconds and a number. Names of kinds and
/// fields would triple its size.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Packed(InstanceDigest, u8, u32, u64);

/// Unknown kind of sample, from a newer version.
#[derive(Debug, Display)]
#[display("unknown sample kind {_0}")]
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
            Observation::Misdirected => (6, 0, 0),
            Observation::Silent => (7, 0, 0),
            Observation::Head => (8, 0, 0),
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
            // Earlier versions send 5 for a rejection by a brittle target.
            1 | 5 => Observation::Erred,
            2 => Observation::Failed,
            3 => Observation::FirstToken {
                after: time,
                prefill_ahead: number,
            },
            4 => Observation::Step {
                batch: u32::try_from(number).unwrap_or(u32::MAX),
                step: time,
            },
            6 => Observation::Misdirected,
            7 => Observation::Silent,
            8 => Observation::Head,
            kind => return Err(UnknownKind(kind)),
        };
        Ok(Self {
            observation,
            target,
        })
    }
}
