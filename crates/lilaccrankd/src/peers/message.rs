//! Messages between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{From, TryInto};
use lilaccrank::advisories::sync;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::dispatch::message::{Cancel, Report, Resync, Submission, Verdict};
use lilaccrank::ids::{DataCentre, PoolId, VmId};
use lilaccrank::request_key::{KeyReply, KeyRequest, MemberRef};
use lilaccrank::rollout::message::{Directives, Reports, Views, ViewsRequest};
use lilaccrank::slot_leases::{Decision, LeaseId, LeaseRequest, Release};
use lilaccrank::store_revision::{Era, StoreRevision};
use lilaccrank::target_instance::TargetInstance;
use lilaccrank::timeline::Stamp;
use lilaccrank::versions_in_use::VersionsInUse;
use serde::{Deserialize, Serialize};

use crate::orders::message::{OrderReply, OrderRequest};
use crate::peers::stream_origins::{OriginReply, OriginRequest};
use crate::rollouts::orders::KnownOrders;
use crate::targets::listing_changes::Changes;
use crate::targets::live_list::Listing;

/// A message with its sender's time, which puts timelines into causal order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stamped<T> {
    /// The message.
    pub message: T,
    /// Time at the sender.
    pub stamp: Stamp,
}

/// A message between an entry and the dispatcher of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PoolMessage {
    /// From an entry to the dispatcher.
    Ask(Submission),
    /// From an entry to the dispatcher.
    Cancel(Cancel),
    /// From an entry to the dispatcher.
    Report(Report),
    /// From an entry to the dispatcher.
    Resync(Resync),
    /// From the dispatcher to an entry.
    Verdict {
        /// The dispatcher.
        from: MemberRef,
        /// Its decision.
        verdict: Verdict,
    },
}

/// A message about one pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolRequest {
    /// The message.
    pub message: PoolMessage,
    /// The pool.
    pub pool: PoolId,
}

/// Reply to a [`PoolRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PoolReply {
    /// Accepted: a verdict will follow an ask, or a grant is used.
    Accepted {
        /// Number of asks that wait in the pool.
        waiting: usize,
    },
    /// The receiver is not the dispatcher of this pool, or the verdict is not for the entry's last
    /// ask.
    Declined,
}

/// A message about leases on the slots of brittle targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum SlotRequest {
    /// From a holder to the arbiter.
    Acquire(LeaseRequest),
    /// From the arbiter to a holder whose request has waited.
    Granted {
        /// The lease.
        id: LeaseId,
    },
    /// From a holder to the arbiter.
    Release(Release),
}

/// Reply to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub enum SlotReply {
    /// Decision on a request for a lease.
    Decided(Decision),
    /// Acknowledgement without content.
    Done,
}

/// Announces that a configuration is in force at its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Announcement {
    /// The configuration.
    pub identity: Identity,
    /// The sender.
    pub vm: VmId,
}

/// Asks a watcher for its configuration and its list of targets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FeedRequest {
    /// Sync request for advisories.
    pub advisories: sync::Pull,
    /// Revision of the requester's list of targets.
    pub revision: StoreRevision,
    /// Revision up to which the requester knows the orders of roll-outs.
    #[serde(default)]
    pub orders_revision: StoreRevision,
    /// Set if the requester reads [`Feed::changes`].
    #[serde(default)]
    pub takes_changes: bool,
    /// Set if the requester does not know the software versions of its list to be recorded.
    #[serde(default)]
    pub lacks_versions: bool,
}

/// Reply to a [`FeedRequest`]: what a daemon knows of the platform, and how old that is.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Feed {
    /// Reply to the sync request for advisories.
    pub advisories: sync::Page,
    /// Time since its configuration was known to be the newest.
    pub age: Option<Duration>,
    /// Latest era of the platform's store that it has heard of.
    #[serde(default)]
    pub era: Era,
    /// Time since the platform itself last answered it.
    pub direct_age: Option<Duration>,
    /// Another member that reaches the platform, and the age of its last known contact.
    #[serde(default)]
    pub direct_member: Option<(VmId, Duration)>,
    /// Time since it last had news of the platform, directly or through other daemons.
    pub heard_age: Option<Duration>,
    /// Its configuration.
    pub identity: Option<Identity>,
    /// What its list of targets has that the requester's lacks, instead of the whole list.
    #[serde(default)]
    pub changes: Option<Box<Changes>>,
    /// Its list of targets, if newer than the requester's.
    pub listing: Option<Box<Listing>>,
    /// Time since a call about the list failed, as far as it knows.
    #[serde(default)]
    pub list_failure_age: Option<Duration>,
    /// Time since its list was known to be the newest.
    pub listing_age: Option<Duration>,
    /// Targets that were removed since a recent restore of the platform's store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<TargetInstance>,
    /// Time for which it has had contact about the list without an outage of the platform.
    #[serde(default)]
    pub steady_for: Option<Duration>,
    /// Orders of roll-outs, if newer than the requester's.
    #[serde(default)]
    pub orders: Option<Box<KnownOrders>>,
    /// Software versions that it knows to be recorded, if the requester lacks some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Box<VersionsInUse>>,
}

/// Asks for the configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct HeldConfigurationRequest;

/// The configuration that a daemon holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HeldConfiguration {
    /// Identity of the configuration; `None` before the first one.
    pub identity: Option<Identity>,
}

/// Asks whether a daemon reaches a target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PathRequest {
    /// Time since the target's last output in which no connection has to show that it is reached.
    pub heard_within: Duration,
    /// Pool of the target.
    pub pool: PoolId,
    /// The target.
    pub target: TargetInstance,
}

/// Reply to a [`PathRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PathReply {
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address at which the daemon relays requests; `None` if it does not reach the target or relays
    /// nothing.
    pub relay: Option<SocketAddr>,
}

/// Reply to a message that needs no answer.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Done;

/// Any request from one daemon to another.
#[derive(Clone, Debug, Deserialize, From, Serialize, TryInto)]
pub enum PeerRequest {
    /// A configuration came into force.
    Announcement(Announcement),
    /// About a configuration.
    Configuration(exchange::Ask),
    /// The configuration that a daemon holds.
    Held(HeldConfigurationRequest),
    /// About a request key.
    Key(KeyRequest),
    /// Configuration, advisories and targets known to a watcher.
    Feed(FeedRequest),
    /// About the origin of a stream.
    Origin(OriginRequest),
    /// About an order to a target.
    Order(OrderRequest),
    /// About the path to a target.
    Path(PathRequest),
    /// About a pool.
    Pool(PoolRequest),
    /// What a daemon has seen of roll-outs.
    Rollout(Reports),
    /// Roll-outs as operators see them.
    RolloutViews(ViewsRequest),
    /// About slots of a brittle target.
    Slot(SlotRequest),
}

/// Any reply from one daemon to another.
#[derive(Clone, Debug, Deserialize, From, Serialize, TryInto)]
pub enum PeerReply {
    /// About a configuration.
    Configuration(exchange::Answer),
    /// Acknowledgement without content.
    Done(Done),
    /// The configuration that a daemon holds.
    Held(HeldConfiguration),
    /// About a request key.
    Key(KeyReply),
    /// Configuration, advisories and targets known to a watcher.
    Feed(Feed),
    /// About the origin of a stream.
    Origin(OriginReply),
    /// About an order to a target.
    Order(OrderReply),
    /// About the path to a target.
    Path(PathReply),
    /// About a pool.
    Pool(PoolReply),
    /// How roll-outs go on.
    Rollout(Directives),
    /// Roll-outs as operators see them.
    RolloutViews(Views),
    /// About slots of a brittle target.
    Slot(SlotReply),
}
