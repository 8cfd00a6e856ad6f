//! Request keys: whatever is repeated under one key is dispatched at most once.
//!
//! The keeper of a key is the live member that ranks first for it; the second one holds a copy.
//! An entry daemon claims the key, marks the claim just before it sends anything to a target,
//! and ends it with the outcome. The mark is the serialization point: keeper and copy both
//! compare the claim before either accepts it.

pub mod budget;
pub mod claim;
pub mod claims;
mod grant;
mod handover;
mod held;
pub mod keeper;
pub mod key_id;
pub mod message;
mod owners;
pub mod ranking;
pub mod record;
mod replication;
mod store_claim;
mod table;

pub use budget::Budget;
pub use claim::{Claim, Claimed, Marked};
pub use claims::{Access, Claims, Error, Result, Wanted};
pub use keeper::{Keeper, Limits};
pub use key_id::{BodyDigest, KeyId};
pub use message::{KeyReply, KeyRequest, Moved};
pub use ranking::{MemberRef, Ranking};
pub use record::{ClaimNumber, Holder, Outcome, Record, Stage};
