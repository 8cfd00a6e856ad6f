//! What is said about orders to targets: by operators to a daemon, and between daemons.

use lilaccrank::ids::{PoolId, TargetId};
use lilaccrank::orders::{self, Command, Role};
use serde::{Deserialize, Serialize};

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

impl From<orders::Result<()>> for OrderOutcome {
    fn from(result: orders::Result<()>) -> Self {
        match result {
            Ok(()) => Self::Done,
            Err(e @ orders::Error::Unknown(_)) => Self::Unknown {
                reason: e.to_string(),
            },
            Err(e) => Self::Refused {
                reason: e.to_string(),
            },
        }
    }
}

/// Passes an operator's order on to the daemon that gives orders to the pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRequest {
    /// Tells an operator's repetition, which tries again what failed, from the same call asked
    /// again.
    pub attempt: u64,
    /// State to reach.
    pub command: Command,
    /// Equal for each repetition of one order.
    pub id: String,
    /// Pool of the target.
    pub pool: PoolId,
    /// The target.
    pub target: TargetId,
    /// As the daemon asked for in [`OrderReply::Confirm`].
    pub token: Option<u64>,
}

/// Reply to an [`OrderRequest`], at once: an order may take longer than a call between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderReply {
    /// It begins once it is asked for again with this token.
    ///
    /// A request may lie unread while its receiver is paused. By the time it is read, another
    /// daemon has carried it out and a later order too, which it would undo. Nobody waits for
    /// the reply to such a request, so nobody sends the token.
    Confirm {
        /// Drawn anew for each order.
        token: u64,
    },
    /// This daemon does not give orders to the pool.
    Declined,
    /// How it ended.
    Ended(OrderOutcome),
    /// It is under way; ask again.
    UnderWay,
}
