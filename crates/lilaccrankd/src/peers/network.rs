//! Calls to other daemons over HTTP, with one task for each peer and channel.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use lilaccrank::configuration::exchange;
use lilaccrank::ids::VmId;
use lilaccrank::membership::{Member, Membership};
use lilaccrank::peers::{Error, Peers, Result};
use lilaccrank::request_key::{KeyReply, KeyRequest};
use lilaccrank::rollout::message::{Directives, Reports, Views, ViewsRequest};
use lilaccrank::timeline::Timeline;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::peer_link::PeerLink;
use lilaccrank_http::tally::Tally;

use crate::orders::message::{OrderReply, OrderRequest};
use crate::peers::message::{
    Announcement, Done, Feed, FeedRequest, HeldConfiguration, HeldConfigurationRequest, PathReply,
    PathRequest, PeerReply, PeerRequest, PoolReply, PoolRequest, SlotReply, SlotRequest, Stamped,
};
use crate::peers::stream_origins::{OriginReply, OriginRequest};
use crate::peers::traffic::Traffic;

type Link = PeerLink<Stamped<PeerRequest>, Stamped<PeerReply>>;

/// The connection that a call uses.
///
/// A batch is answered when its slowest call is. A claim waits for the backup at a third daemon; if
/// backups shared connections with claims, three owners could wait for each other in a cycle until
/// all three calls time out. Calls that wait for nobody have connections of their own, which breaks
/// the cycle.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Channel {
    /// News of configurations, and polls of the watchers.
    Configuration,
    /// Calls between holders of records, answered without calling another daemon.
    Copies,
    /// Calls to the owner of a key, which may call its backup.
    Keys,
    /// Calls about paths to targets, which may wait for a connection to one.
    Paths,
    /// Calls about pools, slots, roll-outs and orders, answered without calling another daemon.
    Pools,
    /// Contents of configurations. They may be large, and take seconds on a narrow link.
    Transfers,
}

fn key_channel(req: &KeyRequest) -> Channel {
    match req {
        KeyRequest::Copy { .. } | KeyRequest::Handover { .. } | KeyRequest::Push { .. } => {
            Channel::Copies
        }
        KeyRequest::Claim { .. }
        | KeyRequest::End { .. }
        | KeyRequest::Mark { .. }
        | KeyRequest::Release { .. } => Channel::Keys,
    }
}

/// Links to the members of the data centre. Clones share the links.
#[derive(Clone)]
pub struct PeerNetwork {
    links: Rc<RefCell<IndexMap<(SocketAddr, Channel), Link>>>,
    membership: Membership,
    /// Addresses of daemons in other data centres.
    remote_daemons: Rc<[SocketAddr]>,
    timeline: Timeline<MonoioClock>,
    traffic: Rc<Traffic>,
}

impl PeerNetwork {
    /// Creates links on demand to the members that `membership` knows and to daemons of other data
    /// centres.
    #[must_use]
    pub fn new(
        membership: Membership,
        remote_daemons: Rc<[SocketAddr]>,
        timeline: Timeline<MonoioClock>,
        traffic: Rc<Traffic>,
    ) -> Self {
        Self {
            links: Rc::default(),
            membership,
            remote_daemons,
            timeline,
            traffic,
        }
    }

    /// Drops links to addresses that no longer belong to a member.
    pub fn prune(&self) {
        let members = self.membership.all();
        let is_known = |address: SocketAddr| {
            members.iter().any(|m| m.peers == address) || self.remote_daemons.contains(&address)
        };
        self.links
            .borrow_mut()
            .retain(|(address, _), _| is_known(*address));
    }

    async fn send(&self, vm: &VmId, channel: Channel, req: PeerRequest) -> Result<PeerReply> {
        let link = self.link(vm, channel)?;
        let stamped = Stamped {
            message: req,
            stamp: self.timeline.stamp(),
        };
        match link.call(stamped).await {
            Ok(reply) => {
                self.timeline.observe(&reply.stamp);
                Ok(reply.message)
            }
            Err(e) => {
                // A failed call is the first sign of a dead daemon: a probe now detects it earlier
                // than the regular schedule would.
                self.membership.suspect(vm);
                Err(e)
            }
        }
    }

    fn link(&self, vm: &VmId, channel: Channel) -> Result<Link> {
        let address = self
            .address(vm)
            .ok_or_else(|| Error::Unreachable(vm.clone()))?;
        let mut links = self.links.borrow_mut();
        let link = links.entry((address, channel)).or_insert_with(|| {
            let tally = self.tally(channel).clone();
            Link::start(vm.clone(), address.to_string(), tally)
        });
        Ok(link.clone())
    }

    fn tally(&self, channel: Channel) -> &Tally {
        match channel {
            Channel::Configuration => &self.traffic.peer_configuration,
            Channel::Copies => &self.traffic.peer_copies,
            Channel::Keys => &self.traffic.peer_keys,
            Channel::Paths => &self.traffic.peer_paths,
            Channel::Pools => &self.traffic.peer_pools,
            Channel::Transfers => &self.traffic.peer_transfers,
        }
    }

    /// Returns the address of a VM. Daemons of other data centres are not members here; they are
    /// named by their addresses.
    fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let address = |member: &Member| (member.vm == *vm).then_some(member.peers);
        let live = self.membership.live();
        let found = live.members.iter().find_map(address);
        // A leaving member has no duties, but still receives its verdicts.
        found
            .or_else(|| self.membership.all().iter().find_map(address))
            .or_else(|| vm.parse().ok())
    }
}

impl Peers<Announcement, Done> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: Announcement) -> Result<Done> {
        let reply = self.send(vm, Channel::Configuration, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<exchange::Ask, exchange::Answer> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: exchange::Ask) -> Result<exchange::Answer> {
        let reply = self.send(vm, Channel::Transfers, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<HeldConfigurationRequest, HeldConfiguration> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: HeldConfigurationRequest) -> Result<HeldConfiguration> {
        let reply = self.send(vm, Channel::Configuration, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<FeedRequest, Feed> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: FeedRequest) -> Result<Feed> {
        let reply = self.send(vm, Channel::Configuration, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<KeyRequest, KeyReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: KeyRequest) -> Result<KeyReply> {
        let reply = self.send(vm, key_channel(&req), req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<OrderRequest, OrderReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: OrderRequest) -> Result<OrderReply> {
        let reply = self.send(vm, Channel::Pools, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<OriginRequest, OriginReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: OriginRequest) -> Result<OriginReply> {
        let reply = self.send(vm, Channel::Copies, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<PathRequest, PathReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: PathRequest) -> Result<PathReply> {
        let reply = self.send(vm, Channel::Paths, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<PoolRequest, PoolReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: PoolRequest) -> Result<PoolReply> {
        let reply = self.send(vm, Channel::Pools, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<Reports, Directives> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: Reports) -> Result<Directives> {
        let reply = self.send(vm, Channel::Pools, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<ViewsRequest, Views> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: ViewsRequest) -> Result<Views> {
        let reply = self.send(vm, Channel::Pools, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}

impl Peers<SlotRequest, SlotReply> for PeerNetwork {
    async fn call(&self, vm: &VmId, req: SlotRequest) -> Result<SlotReply> {
        let reply = self.send(vm, Channel::Pools, req.into()).await?;
        reply.try_into().map_err(|_| Error::NoAnswer(vm.clone()))
    }
}
