//! Writes the state of roll-outs to the platform's store.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use lilaccrank::backoff::Backoff;
use lilaccrank::rollout::order::{OrderId, State};
use lilaccrank::store::Result;
use lilaccrank_http::runtime;

use crate::daemon::Daemon;

/// Upper bound of the first wait and of any wait after a failed call.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Records of roll-outs in the platform's store.
pub trait RolloutStore {
    /// Writes the state of a roll-out unless the store has a final one, and returns the state that
    /// the store has then; `None` if the order is gone.
    fn record(
        &self,
        daemon: &Rc<Daemon>,
        order: OrderId,
        state: State,
    ) -> LocalBoxFuture<'static, Result<Option<State>>>;
}

/// A platform without roll-outs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRollouts;

impl RolloutStore for NoRollouts {
    fn record(
        &self,
        _: &Rc<Daemon>,
        _: OrderId,
        _: State,
    ) -> LocalBoxFuture<'static, Result<Option<State>>> {
        async { Ok(None) }.boxed_local()
    }
}

/// Begins to write a state, unless this is under way. Any judge may record that a version is bad.
pub fn record(daemon: &Rc<Daemon>, order: OrderId, state: State, is_first_judge: bool) {
    if !is_first_judge && state != State::RolledBack {
        return;
    }
    let mut recording = daemon.rollouts.recording.borrow_mut();
    if recording.insert((order.clone(), state)) {
        runtime::spawn(write(Rc::clone(daemon), order, state));
    }
}

async fn write(daemon: Rc<Daemon>, order: OrderId, state: State) {
    let mut backoff = Backoff::new(BASE_BACKOFF, MAX_BACKOFF);
    while is_wanted(&daemon, &order, state) {
        let recording = daemon.ports.rollouts.record(&daemon, order.clone(), state);
        match recording.await {
            Ok(recorded) => {
                log::info!(
                    order:% = order,
                    recorded = recorded.map(|state| state.to_string()).unwrap_or_default(),
                    state:% = state;
                    "recorded the state of a roll-out"
                );
                let mut controllers = daemon.rollouts.controllers.borrow_mut();
                if let Some(controller) = controllers.get_mut(&order) {
                    controller.note_recorded(recorded.or(Some(state)));
                }
                break;
            }
            Err(e) => {
                log::warn!(order:% = order, state:% = state, why:% = e; "failed to record the state of a roll-out");
                monoio::time::sleep(backoff.next_wait()).await;
            }
        }
    }
    let mut recording = daemon.rollouts.recording.borrow_mut();
    recording.swap_remove(&(order, state));
}

/// Returns `false` once the roll-out has gone on or its order is gone.
fn is_wanted(daemon: &Daemon, order: &OrderId, state: State) -> bool {
    let controllers = daemon.rollouts.controllers.borrow();
    let controller = controllers.get(order);
    controller.is_some_and(|controller| controller.unrecorded() == Some(state))
}
