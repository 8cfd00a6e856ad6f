//! What daemons say to each other about orders to targets.

use lilaccrank::ids::{PoolId, TargetId};
use lilaccrank::operators::OrderOutcome;
use lilaccrank::orders::Command;
use serde::{Deserialize, Serialize};

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
