//! Messages between daemons about orders to targets.

use lilaccrank::ids::{PoolId, TargetId};
use lilaccrank::operators::OrderOutcome;
use lilaccrank::orders::Command;
use serde::{Deserialize, Serialize};

/// Passes an operator's order on to the daemon that issues orders to the pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRequest {
    /// Number of the operator's attempt. A new attempt tries again what failed; a repeated request
    /// with the same number only asks for the outcome.
    pub attempt: u64,
    /// The order itself.
    pub command: Command,
    /// Id of the order, the same in each repetition.
    pub id: String,
    /// Pool of the target.
    pub pool: PoolId,
    /// Target of the order.
    pub target: TargetId,
    /// Token from [`OrderReply::Confirm`].
    pub token: Option<u64>,
}

/// Immediate reply to an [`OrderRequest`]. An order may take longer than a call between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderReply {
    /// The order starts once it is requested again with this token.
    ///
    /// A request may stay unread while its receiver is paused. By the time it is read, another
    /// daemon may have run this order and a later one, which this order would undo. Nobody waits
    /// for the reply to such an old request, so nobody sends the token.
    Confirm {
        /// Random number, drawn for each order.
        token: u64,
    },
    /// This daemon does not issue orders to the pool.
    Declined,
    /// Outcome of the order.
    Ended(OrderOutcome),
    /// The order is running; ask again.
    UnderWay,
}
