//! The interface for calls to other daemons: one typed request, one typed reply.

use std::future::Future;

use thiserror::Error;

use crate::ids::VmId;

/// Result of a call to a peer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason for which a call to a peer got no reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// No reply arrived; the call may have taken effect.
    #[error("peer {0} did not answer")]
    NoAnswer(VmId),
    /// The peer could not be reached; the call had no effect.
    #[error("peer {0} can't be reached")]
    Unreachable(VmId),
}

/// Calls to other daemons. `Req` and `Rep` are the messages of one component, so that each
/// component can be embedded without the others.
pub trait Peers<Req, Rep>: Clone + 'static {
    /// Sends `req` to the daemon on `vm` and waits for its reply. Implementations limit the wait.
    fn call(&self, vm: &VmId, req: Req) -> impl Future<Output = Result<Rep>>;
}
