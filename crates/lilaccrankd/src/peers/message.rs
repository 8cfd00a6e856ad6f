//! What daemons say to each other.

use std::time::Duration;

use derive_more::{From, TryInto};
use lilaccrank::advisories::sync;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::dispatch::message::{Cancel, Report, Resync, Submission, Verdict};
use lilaccrank::ids::{PoolId, VmId};
use lilaccrank::request_key::{KeyReply, KeyRequest, MemberRef};
use lilaccrank::timeline::Stamp;
use serde::{Deserialize, Serialize};

use crate::orders::message::{OrderReply, OrderRequest};
use crate::targets::live_list::Listing;

/// A message with the time at its sender, by which time lines are put in causal order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stamped<T> {
    /// The message.
    pub message: T,
    /// Sender's time.
    pub stamp: Stamp,
}

/// A message of an entry to the dispatcher of a pool, or back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PoolMessage {
    /// Entry to dispatcher.
    Ask(Submission),
    /// Entry to dispatcher.
    Cancel(Cancel),
    /// Entry to dispatcher.
    Report(Report),
    /// Entry to dispatcher.
    Resync(Resync),
    /// Dispatcher to entry.
    Verdict {
        /// The dispatcher.
        from: MemberRef,
        /// What it decided.
        verdict: Verdict,
    },
}

/// A message about one pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolRequest {
    /// What is said.
    pub message: PoolMessage,
    /// The pool.
    pub pool: PoolId,
}

/// Reply to a [`PoolRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PoolReply {
    /// Taken in; a verdict follows an ask, a grant is used.
    Accepted {
        /// Asks waiting in the pool.
        waiting: usize,
    },
    /// Not the dispatcher of this pool, or not the entry's last ask.
    Declined,
}

/// Tells that a configuration is in force at its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Announcement {
    /// The configuration.
    pub identity: Identity,
    /// The sender.
    pub vm: VmId,
}

/// Asks a watcher what it knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedRequest {
    /// Sync of advisories.
    pub advisories: sync::Pull,
    /// Revision of the list of targets that the asker has.
    pub revision: u64,
}

/// Tells what a daemon knows of the platform, and how old that is.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Feed {
    /// Reply to the sync of advisories.
    pub advisories: sync::Page,
    /// How long ago its configuration was known to be the newest.
    pub age: Option<Duration>,
    /// How long ago the platform itself answered it.
    pub direct_age: Option<Duration>,
    /// How long ago it heard of the platform, by whichever way.
    pub heard_age: Option<Duration>,
    /// Its configuration.
    pub identity: Option<Identity>,
    /// Its list of targets, if that is newer than the asker's.
    pub listing: Option<Listing>,
    /// How long ago its list was known to be the newest.
    pub listing_age: Option<Duration>,
}

/// Asks which configuration a daemon holds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct HeldConfigurationRequest;

/// Tells which configuration a daemon holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeldConfiguration {
    /// Its name, `None` before the first one.
    pub identity: Option<Identity>,
}

/// Reply to a message that asks for nothing.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Done;

/// All that a daemon asks another.
#[derive(Clone, Debug, Deserialize, From, Serialize, TryInto)]
pub enum PeerRequest {
    /// A new configuration.
    Announcement(Announcement),
    /// About a configuration.
    Configuration(exchange::Ask),
    /// Which configuration is held.
    Held(HeldConfigurationRequest),
    /// About a request key.
    Key(KeyRequest),
    /// What a watcher knows.
    Feed(FeedRequest),
    /// About an order to a target.
    Order(OrderRequest),
    /// About a pool.
    Pool(PoolRequest),
}

/// All that a daemon replies.
#[derive(Clone, Debug, Deserialize, From, Serialize, TryInto)]
pub enum PeerReply {
    /// About a configuration.
    Configuration(exchange::Answer),
    /// Nothing to tell.
    Done(Done),
    /// Which configuration is held.
    Held(HeldConfiguration),
    /// About a request key.
    Key(KeyReply),
    /// What a watcher knows.
    Feed(Feed),
    /// About an order to a target.
    Order(OrderReply),
    /// About a pool.
    Pool(PoolReply),
}
