//! All that an engine knows, shared by its tasks.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use lilaccrank::ids::{ModelId, RequestId};
use lilaccrank_http::body::Body;
use serde::Serialize;
use serde_json::json;

use crate::notify::Notify;
use crate::reply;

use super::Args;
use super::batch::Job;
use super::cache::PrefixCache;
use super::cache_events::CacheEvents;
use super::load::{Load, LoadHistory};
use super::log::{End, Log};
use super::orders::{Order, OrderKind, Orders};
use super::stream::Stream;

/// Argument of a drain order that takes the drain back.
const DRAIN_OFF: &str = "off";

/// An engine, shared by its connections and its batch.
pub(super) struct Engine {
    /// Something changed that the batch or a waiting call may care for.
    pub(super) changed: Notify,
    pub(super) cfg: Args,
    pub(super) faults: Faults,
    state: RefCell<State>,
}

/// Faults in force.
pub(super) struct Faults {
    pub(super) break_after: Cell<Option<usize>>,
    pub(super) hang: Cell<bool>,
    pub(super) leaving: Cell<bool>,
    pub(super) nonsense: Cell<bool>,
    /// Seconds of a pause that it asks for instead of running requests; 0 for none.
    pub(super) pause_s: Cell<f64>,
    pub(super) speed: Cell<f64>,
}

/// What changes with each request and each step.
pub(super) struct State {
    pub(super) cache: PrefixCache,
    pub(super) cache_events: CacheEvents,
    draining: bool,
    pub(super) load: LoadHistory,
    pub(super) log: Log,
    models: Vec<ModelId>,
    pub(super) orders: Orders,
    own_ids: u64,
    role: Option<String>,
    pub(super) running: Vec<Job>,
    pub(super) streams: IndexMap<RequestId, Rc<Stream>>,
    /// Wall times at which it turned requests away and asked for a pause.
    pub(super) turned_away_at_ms: Vec<u64>,
    pub(super) waiting: VecDeque<Job>,
}

/// Body of `GET /v1/models`.
#[derive(Serialize)]
pub(super) struct Models {
    data: Vec<Model>,
    object: &'static str,
    role: Option<String>,
}

#[derive(Serialize)]
struct Model {
    id: ModelId,
    object: &'static str,
}

impl Engine {
    pub(super) fn new(cfg: Args) -> Self {
        let delay = Duration::from_millis(cfg.event_delay_ms);
        let state = State {
            cache: PrefixCache::new(cfg.cache_blocks),
            cache_events: CacheEvents::new(delay, cfg.event_loss, cfg.seed),
            draining: false,
            load: LoadHistory::new(Duration::from_millis(cfg.report_lag_ms)),
            log: Log::new(cfg.log_limit),
            models: cfg.model.clone(),
            orders: Orders::new(cfg.fencing),
            own_ids: 0,
            role: None,
            running: Vec::new(),
            streams: IndexMap::new(),
            turned_away_at_ms: Vec::new(),
            waiting: VecDeque::new(),
        };
        let faults = Faults {
            break_after: Cell::new(None),
            hang: Cell::new(false),
            leaving: Cell::new(false),
            nonsense: Cell::new(false),
            pause_s: Cell::new(0.0),
            speed: Cell::new(cfg.speed),
        };
        Self {
            changed: Notify::default(),
            cfg,
            faults,
            state: RefCell::new(state),
        }
    }

    /// The state, to be let go before the next wait.
    pub(super) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Waits for as long as the engine is told to hang.
    pub(super) async fn unhung(&self) {
        while self.faults.hang.get() {
            self.changed.changed().await;
        }
    }

    /// Ends a request wherever it is; false if it is not known or has ended.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(stream) = state.streams.swap_remove(id) else {
            return false;
        };
        state.waiting.retain(|job| job.id != id);
        state.running.retain(|job| job.id != id);
        let cancelled = stream.end().is_none();
        if cancelled {
            state.log.end(id, End::Cancelled);
            stream.finish(End::Cancelled);
        }
        state.record_load();
        cancelled
    }
}

impl State {
    pub(super) fn models(&self) -> Models {
        let models = self.models.iter().map(|id| Model {
            id: id.clone(),
            object: "model",
        });
        Models {
            data: models.collect(),
            object: "list",
            role: self.role.clone(),
        }
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.models.iter().any(|id| id == model)
    }

    /// A name for a request that came without one.
    pub(super) fn next_own_id(&mut self) -> RequestId {
        self.own_ids += 1;
        format!("unnamed-{}", self.own_ids)
    }

    pub(super) fn draining(&self) -> bool {
        self.draining
    }

    /// Carries out an order, unless its fencing number is checked and old.
    pub(super) fn obey(&mut self, order: Order) -> Response<Body> {
        if let Err(refused) = self.orders.take(&order) {
            let message = refused.to_string();
            let body = json!({"accepted": false, "error": {"message": message}});
            return reply::json(StatusCode::CONFLICT, &body);
        }
        let changed = match order.kind {
            OrderKind::ChangeRole => {
                let role = Some(order.argument);
                std::mem::replace(&mut self.role, role.clone()) != role
            }
            OrderKind::Drain => {
                let draining = order.argument != DRAIN_OFF;
                std::mem::replace(&mut self.draining, draining) != draining
            }
            OrderKind::LoadModel if self.serves(&order.argument) => false,
            OrderKind::LoadModel => {
                self.models.push(order.argument);
                true
            }
        };
        reply::ok(&json!({"accepted": true, "changed": changed}))
    }

    pub(super) fn record_load(&mut self) {
        let jobs = self.waiting.iter().chain(&self.running);
        let load = Load {
            at_ms: reply::wall_ms(),
            prefill_tokens_waiting: jobs.map(|job| u64::from(job.prefill_left)).sum(),
            running: self.running.len(),
            waiting: self.waiting.len(),
        };
        self.load.record(load);
    }
}
