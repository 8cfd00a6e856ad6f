//! Request keys: requests that are repeated with the same key are dispatched at most once.
//!
//! The owner of a key is the live member that ranks first for it; the member that ranks second
//! is its backup. The entry daemon of a request claims the key, marks the claim right before it
//! sends the request to a target, and ends the claim with the outcome. The mark is the
//! serialization point: owner and backup both check the claim before the mark is acknowledged.
//!
//! Guarantees and their limits:
//!
//! - Three daemons hold a record: the owner, the backup and the entry. A marked key stays known
//!   if one of them survives until the members have transferred their records after a membership
//!   change. If all are lost at once, a repeat of an idempotent request runs again.
//! - A non-idempotent request is also claimed in the store when it is marked. That claim survives
//!   the loss of all three, and holds across data centres, for [`Limits::retention`].
//! - In a network partition, two groups of daemons in one data centre may each consider the other
//!   dead and own the key independently. Only the claim in the store holds across such a
//!   partition.
//! - An error of [`Claims`] with [`Executed::No`] refers to the refused attempt. Repeating the
//!   request with the same key is always safe.
//!
//! To embed request keys, serve [`KeyOwner::handle`] to the other daemons, run [`KeyOwner::run`]
//! and [`Claims::sweep_every`] as tasks, and claim the key of each request by [`Claims::claim`].
//!
//! [`Executed::No`]: crate::error_kind::Executed::No

pub mod budget;
pub mod claim;
pub mod claims;
mod grant;
mod guard;
mod handover;
pub mod key_id;
pub mod message;
pub mod owner;
pub mod ranking;
pub mod record;
mod replicas;
mod replication;
mod store_claim;
mod table;

pub use budget::Budget;
pub use claim::{Claim, Claimed, Marked};
pub use claims::{Access, ClaimRequest, Claims, Error, Result};
pub use key_id::{BodyDigest, KeyId};
pub use message::{KeyReply, KeyRequest, MovedRecord};
pub use owner::{KeyOwner, Limits};
pub use ranking::{MemberRef, Ranking};
pub use record::{ClaimNumber, Holder, Outcome, Record, Stage};
