//! Operators' orders to targets.

use serde::{Deserialize, Serialize};

use crate::ids::TargetId;
use crate::orders::{self, Command, Role};

/// An operator's order, the body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorOrder {
    /// The model, or the role: `both`, `decode` or `prefill`.
    pub argument: String,
    /// Equal for each repetition of one order.
    pub id: String,
    /// What to do.
    pub kind: OperatorOrderKind,
    /// The target.
    pub target: TargetId,
}

/// What operators may order directly. A drain follows the target's state in the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorOrderKind {
    /// Serve in the role.
    ChangeRole,
    /// Have the model ready.
    LoadModel,
}

impl OperatorOrder {
    /// The command; `None` if the argument makes no sense.
    #[must_use]
    pub fn command(&self) -> Option<Command> {
        if self.argument.is_empty() {
            return None;
        }
        match self.kind {
            OperatorOrderKind::ChangeRole => {
                let roles = [Role::Both, Role::Decode, Role::Prefill];
                let role = roles.into_iter().find(|r| r.to_string() == self.argument)?;
                Some(Command::SetRole { role })
            }
            OperatorOrderKind::LoadModel => Some(Command::LoadModel {
                model: self.argument.clone(),
            }),
        }
    }
}

/// How an order ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OrderOutcome {
    /// The target has carried it out.
    Done,
    /// It was not carried out and will not be.
    Refused {
        /// Why.
        reason: String,
    },
    /// It may be carried out; the same order with the same id is safe to repeat.
    Unknown {
        /// What is missing.
        reason: String,
    },
}

impl From<orders::Result<orders::Effect>> for OrderOutcome {
    fn from(result: orders::Result<orders::Effect>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(e @ orders::Error::Unknown(_)) => Self::Unknown {
                reason: e.to_string(),
            },
            Err(e) => Self::Refused {
                reason: e.to_string(),
            },
        }
    }
}
