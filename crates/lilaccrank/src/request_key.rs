//! Request keys: whatever is repeated under one key is dispatched at most once.
//!
//! The keeper of a key is the live member that ranks first for it; the second one holds a copy.
//! An entry daemon claims the key, marks the claim just before it sends anything to a target,
//! and ends it with the outcome. The mark is the serialization point: keeper and copy both
//! compare the claim before either accepts it.
//!
//! What holds, and up to where:
//!
//! - A record has three holders: keeper, copy and the entry itself. A marked key is known as
//!   long as one of them lives until the members have settled again. If all are lost at once,
//!   an idempotent request that is repeated runs again.
//! - A non-idempotent request is claimed in the store besides, at its mark. That holds when all
//!   holders are lost, and across data centres, for [`Limits::retention`].
//! - Two groups of daemons of one data centre that call each other dead while both run would
//!   each keep the key. Only the claim in the store holds across such a split.
//! - An error of [`Claims`] with [`Ran::No`] speaks of the refused attempt. Repeating it under
//!   the same key is always safe.
//!
//! To embed it: serve [`KeyOwner::handle`] to the other daemons, run [`KeyOwner::run`] and
//! [`Claims::sweep_every`] as tasks, and take each request through [`Claims::claim`].
//!
//! [`Ran::No`]: crate::error_kind::Ran::No

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
