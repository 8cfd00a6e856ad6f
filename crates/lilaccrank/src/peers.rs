//! The port to the other daemons: one typed request, one typed reply.

use std::future::Future;

use thiserror::Error;

use crate::ids::VmId;

/// Result of a call to a peer.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to a peer gave no reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The call may have been carried out.
    #[error("peer {0} did not answer")]
    NoAnswer(VmId),
    /// The call was not carried out.
    #[error("peer {0} can't be reached")]
    Unreachable(VmId),
}

/// Calls to other daemons. `Req` and `Rep` are the messages of one part, so that each part can
/// be embedded without the others.
pub trait Peers<Req, Rep>: Clone + 'static {
    /// Sends `req` to the daemon on `vm` and waits for its reply, for a bounded time.
    fn call(&self, vm: &VmId, req: Req) -> impl Future<Output = Result<Rep>>;
}
