//! Tells the engines of a pool which of them are to drain, as the configuration and the list of
//! vms say.
//!
//! What an engine was last told is known to nobody for sure: the daemon that told it may be gone,
//! and so may what made it do so. So each new holder of the duty tells every engine its state
//! once, "live" included; an engine left draining by a forgotten order would serve nobody.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future;
use futures::pin_mut;
use indexmap::{IndexMap, IndexSet};
use lilaccrank::backoff::Backoff;
use lilaccrank::document::{Target, TargetState};
use lilaccrank::ids::TargetId;
use lilaccrank::orders::Command;
use lilaccrank::timeline::{EventKind, Subject};

use crate::daemon::Daemon;
use crate::orders::pool_orders::{PoolOrders, Term};

/// A duty that moves on within this time is a sign of members still being found; what would be
/// told then costs the store a lease each time.
const SETTLE: Duration = Duration::from_secs(1);
/// Ceiling of the first wait before an order is given again.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Highest ceiling of the wait; longer than the lease lingers, so that a dead engine does not
/// keep it held for ever.
const LONGEST_WAIT: Duration = Duration::from_secs(120);

/// What an engine was told, and in which term.
#[derive(Clone, Eq, PartialEq)]
struct Told {
    address: String,
    state: TargetState,
    term: Term,
}

struct Teller {
    busy: RefCell<IndexSet<TargetId>>,
    daemon: Rc<Daemon>,
    pool_orders: Rc<PoolOrders>,
    told: RefCell<IndexMap<TargetId, Told>>,
}

/// Runs for as long as the daemon does.
pub async fn run(daemon: Rc<Daemon>, pool_orders: Rc<PoolOrders>) {
    let teller = Rc::new(Teller {
        busy: RefCell::default(),
        daemon,
        pool_orders: Rc::clone(&pool_orders),
        told: RefCell::default(),
    });
    let mut settled = None;
    loop {
        let changed = pool_orders.listen();
        let term = pool_orders.term();
        if term != settled {
            monoio::time::sleep(SETTLE).await;
            settled = term;
            continue;
        }
        if term.is_some() {
            teller.start();
        }
        changed.await;
    }
}

impl Teller {
    /// One task for each engine, so that one that does not answer holds up no other.
    fn start(self: &Rc<Self>) {
        let ids = self.pool_orders.target_ids();
        self.told.borrow_mut().retain(|id, _| ids.contains(id));
        for id in ids {
            if self.untold(&id).is_some() && self.busy.borrow_mut().insert(id.clone()) {
                monoio::spawn(Rc::clone(self).tell(id));
            }
        }
    }

    async fn tell(self: Rc<Self>, id: TargetId) {
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        while let Some((target, wanted)) = self.untold(&id) {
            if self.tell_once(&target).await {
                self.told.borrow_mut().insert(id.clone(), wanted);
                backoff.reset();
            } else {
                self.wait(&id, &wanted, backoff.next_wait()).await;
            }
        }
        self.busy.borrow_mut().swap_remove(&id);
    }

    /// The state that an engine has not been told yet.
    fn untold(&self, id: &TargetId) -> Option<(Target, Told)> {
        let term = self.pool_orders.term()?;
        let target = self.pool_orders.target(id)?;
        let wanted = Told {
            address: target.address.clone(),
            state: target.state,
            term,
        };
        let told = self.told.borrow().get(id).cloned();
        (told.as_ref() != Some(&wanted)).then_some((target, wanted))
    }

    async fn tell_once(&self, target: &Target) -> bool {
        let command = match target.state {
            TargetState::Draining => Command::Drain,
            TargetState::Live => Command::Resume,
        };
        let id = self.daemon.next_request_id();
        let given = self.pool_orders.give(target, &id, command.clone()).await;
        let detail = match &given {
            Ok(()) => command.to_string(),
            Err(e) => format!("{command}: {e}"),
        };
        log::info!("order to {}: {detail}", target.id);
        let subject = Subject {
            detail,
            target: Some(target.id.clone()),
            ..Subject::default()
        };
        self.daemon.record(EventKind::Ordered, subject);
        given.is_ok()
    }

    /// Waits, but not longer than until another state is wanted.
    async fn wait(&self, id: &TargetId, wanted: &Told, wait: Duration) {
        let changed = async {
            loop {
                let changed = self.pool_orders.listen();
                let now = self.untold(id).map(|(_, now)| now);
                if now.as_ref() != Some(wanted) {
                    return;
                }
                changed.await;
            }
        };
        let over = monoio::time::sleep(wait);
        pin_mut!(changed, over);
        future::select(changed, over).await;
    }
}
