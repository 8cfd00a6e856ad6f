//! Loads configurations from other daemons, one at a time unless it takes long.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::configuration::exchange;
use lilaccrank::configuration::manifest::{Identity, Standing};
use lilaccrank::ids::VmId;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::runtime;

use crate::daemon::Daemon;

/// Most daemons that are remembered to hold a newer configuration.
const HOLDERS_LIMIT: usize = 8;
/// Time after which a second daemon may be asked beside one that still sends: its link may be far slower
/// than others, and a change has to be in force after two seconds.
const SECOND_AFTER: Duration = Duration::from_secs(1);

/// What is being loaded, and who else holds a newer configuration.
#[derive(Debug, Default)]
pub struct Pulls {
    /// Daemons that said that they hold a newer configuration, in the order in which they did.
    holders: RefCell<IndexMap<VmId, Identity>>,
    /// When the last load began.
    began: Cell<Option<Instant>>,
    /// Loads under way, two at most.
    running: Cell<usize>,
}

impl Pulls {
    /// Returns `None` if a load is under way already.
    fn begin(&self) -> Option<Running<'_>> {
        let has_taken_long = |began: Instant| began.elapsed() >= SECOND_AFTER;
        let can_begin = match self.running.get() {
            0 => true,
            1 => self.began.get().is_none_or(has_taken_long),
            _ => false,
        };
        can_begin.then(|| Running::new(self))
    }

    fn add(&self, vm: &VmId, identity: &Identity) {
        let mut holders = self.holders.borrow_mut();
        if holders.len() < HOLDERS_LIMIT || holders.contains_key(vm) {
            holders.insert(vm.clone(), identity.clone());
        }
    }

    /// Takes the first holder of the newest of the configurations that are wanted.
    fn next(&self, daemon: &Daemon) -> Option<VmId> {
        let mut holders = self.holders.borrow_mut();
        holders.retain(|_, identity| daemon.adoption.wants(identity));
        let newest = holders.values().map(|held| held.generation).max()?;
        let mut found = holders.iter();
        let (vm, _) = found.find(|(_, held)| held.generation == newest)?;
        let vm = vm.clone();
        holders.shift_remove(&vm);
        Some(vm)
    }
}

/// A load that is under way.
struct Running<'a>(&'a Pulls);

impl<'a> Running<'a> {
    fn new(pulls: &'a Pulls) -> Self {
        pulls.running.set(pulls.running.get() + 1);
        Self(pulls)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Loads the configuration `identity` from the daemon on `vm`, which holds it, if it is newer. While another
/// one is being loaded, the daemon is asked after that, if its configuration is still wanted then.
pub fn pull_newer(daemon: &Rc<Daemon>, vm: &VmId, identity: &Identity) {
    if !daemon.adoption.wants(identity) {
        return;
    }
    daemon.pulls.add(vm, identity);
    let daemon = Rc::clone(daemon);
    runtime::spawn(async move {
        if let Some(_running) = daemon.pulls.begin() {
            pull_from_holders(&daemon).await;
        }
    });
}

/// Loads the configuration of the daemon on `vm` if it is newer, unless one is being loaded already.
pub async fn compare_with(daemon: &Daemon, vm: &VmId) {
    if let Some(_running) = daemon.pulls.begin() {
        pull(daemon, vm).await;
        pull_from_holders(daemon).await;
    }
}

async fn pull_from_holders(daemon: &Daemon) {
    while let Some(vm) = daemon.pulls.next(daemon) {
        pull(daemon, &vm).await;
    }
}

async fn pull(daemon: &Daemon, vm: &VmId) {
    daemon.pulls.began.set(Some(Instant::now()));
    let before = daemon.adoption.identity();
    match exchange::take_from(&daemon.peers, vm, &daemon.adoption, &MonoioClock).await {
        Ok(now) if standing(before.as_ref(), now.as_ref()) == Some(Standing::Newer) => {
            log::info!("adopted a newer configuration from {vm}");
        }
        Ok(_) => {}
        Err(e) => log::debug!("failed to get the configuration of {vm}: {e}"),
    }
}

fn standing(before: Option<&Identity>, now: Option<&Identity>) -> Option<Standing> {
    Some(now?.standing(before?))
}
