//! The life of one request from its route to its end: waiting, granted, ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::pin_mut;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use lilaccrank::error_kind::{ErrorKind, Ran};
use lilaccrank::ids::{RequestId, TargetId};
use lilaccrank::rules::matching::Route;
use lilaccrank_http::body;

use crate::caller_request::{CallerRequest, Work};
use crate::daemon::Daemon;
use crate::engine_run::{self, EngineRequest, Observer};
use crate::engine_stream::{EngineStream, Patience, REQUEST_ID, REQUEST_KEY};
use crate::interruption;
use crate::proxy_run::{self, Bounds};
use crate::refusal::{Refusal, Result};
use crate::run::{End, Run};

/// A routed request.
pub struct Routed {
    /// When it arrived.
    pub arrived: Instant,
    /// What the caller sent.
    pub caller: CallerRequest,
    /// Its id.
    pub id: RequestId,
    /// What the rules decided.
    pub route: Route,
}

/// A request that a target has been granted for, and that was not sent yet.
struct Granted {
    routed: Routed,
    target: TargetId,
}

/// Takes a request to its end and writes that to `run`.
pub async fn drive(daemon: Rc<Daemon>, routed: Routed, run: Rc<Run>) {
    let result = match routed.wait(&daemon, &run).await {
        Ok(granted) => granted.send(&daemon, &run).await,
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok(()) => run.finish(End::Whole),
        Err(refusal) => {
            daemon.metrics.refuse(refusal.kind);
            run.finish(End::Failed(refusal));
        }
    }
}

impl Routed {
    fn deadline(&self) -> Option<Instant> {
        self.caller.facts.deadline.map(|left| self.arrived + left)
    }

    async fn wait(self, daemon: &Daemon, run: &Run) -> Result<Granted> {
        let in_force = daemon.in_force()?;
        let pool = in_force
            .document
            .pool(&self.route.pool)
            .ok_or_else(|| Refusal::new(ErrorKind::NoTarget, "the pool is no longer configured"))?;
        let interrupted = interruption::interrupted(run, self.deadline(), Duration::ZERO);
        let taking = daemon.pools.take(pool, &daemon.cfg.data_centre);
        pin_mut!(taking, interrupted);
        match future::select(taking, interrupted).await {
            Either::Left((target, _)) => Ok(Granted {
                target: target?,
                routed: self,
            }),
            Either::Right((refusal, _)) => Err(refusal.ran(Ran::No)),
        }
    }
}

struct FirstToken<'a> {
    daemon: &'a Daemon,
    waited: Duration,
}

impl Observer for FirstToken<'_> {
    fn first_token(&self, after: Duration) {
        let total = self.waited + after;
        self.daemon.metrics.first_token.observe(total.as_secs_f64());
    }

    fn progress(&self, _tokens: u32, _step: Duration) {}
}

impl Granted {
    async fn send(self, daemon: &Daemon, run: &Run) -> Result<()> {
        let result = self.send_once(daemon, run).await;
        daemon.pools.release(&self.target);
        result
    }

    async fn send_once(&self, daemon: &Daemon, run: &Run) -> Result<()> {
        let in_force = daemon.in_force()?;
        let (_, target) = in_force
            .target(&self.routed.route.pool, &self.target)
            .ok_or_else(|| Refusal::new(ErrorKind::NoTarget, "the target was removed"))?;
        let caller = &self.routed.caller;
        let interrupted =
            interruption::interrupted(run, self.routed.deadline(), self.grace(daemon));
        match &caller.work {
            Work::Generate {
                body,
                shape,
                stream,
                ..
            } => {
                let engine = EngineStream::new(
                    daemon.client.clone(),
                    target.address.clone(),
                    self.routed.id.clone(),
                    patience(daemon),
                );
                let req = EngineRequest {
                    body: body.clone(),
                    key: caller.facts.key.as_deref(),
                    shape: *shape,
                    stream: *stream,
                };
                let observer = FirstToken {
                    daemon,
                    waited: self.routed.arrived.elapsed(),
                };
                let ended = engine_run::run(engine, req, run, &observer, interrupted).await;
                ended.result
            }
            Work::Proxy { .. } => {
                let req = self.proxied();
                let bounds = bounds(daemon);
                let client = &daemon.client;
                proxy_run::run(client, &target.address, req, bounds, run, interrupted).await
            }
        }
    }

    fn grace(&self, daemon: &Daemon) -> Duration {
        match self.routed.caller.facts.key {
            Some(_) => Duration::from_millis(daemon.cfg.grace_ms),
            None => Duration::ZERO,
        }
    }

    fn proxied(&self) -> Request<body::Body> {
        let mut req = Request::new(body::empty());
        let Work::Proxy {
            body,
            headers,
            method,
            path,
        } = &self.routed.caller.work
        else {
            return req;
        };
        *req.body_mut() = body::full(body.clone());
        *req.method_mut() = method.clone();
        *req.uri_mut() = path.parse().unwrap_or_default();
        *req.headers_mut() = headers.clone();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        let named = [
            (REQUEST_ID, Some(&self.routed.id)),
            (REQUEST_KEY, self.routed.caller.facts.key.as_ref()),
        ];
        for (name, value) in named {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        req
    }
}

fn patience(daemon: &Daemon) -> Patience {
    Patience {
        first: Duration::from_millis(daemon.cfg.first_token_ms),
        next: Duration::from_millis(daemon.cfg.between_tokens_ms),
    }
}

fn bounds(daemon: &Daemon) -> Bounds {
    Bounds {
        answer_limit: daemon.cfg.body_limit,
        head: Duration::from_millis(daemon.cfg.first_token_ms),
        next: Duration::from_millis(daemon.cfg.first_token_ms),
    }
}
