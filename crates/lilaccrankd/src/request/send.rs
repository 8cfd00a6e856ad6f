//! Sends a granted request to its target, once, and tells the dispatcher what is seen of it.

use std::time::Duration;

use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use lilaccrank::dispatch::message::{Outcome, ReportKind};
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::timeline::EventKind;
use lilaccrank_http::body;

use crate::callers::caller_request::Work;
use crate::callers::refusal::{Refusal, Result};
use crate::daemon::Daemon;
use crate::pools::client::Held;
use crate::request::life::Routed;
use crate::request::run::Run;
use crate::targets::engine_run::{self, Ended, EngineRequest, Observer};
use crate::targets::engine_stream::{EngineStream, REQUEST_ID, REQUEST_KEY};
use crate::targets::proxied::Proxied;
use crate::targets::proxy_run;

impl Routed {
    /// Sends the request to the target that `held` grants.
    ///
    /// # Errors
    ///
    /// What the caller is told; [`Ran::No`](lilaccrank::error_kind::Ran::No) only if the target
    /// got nothing.
    pub async fn send(&self, daemon: &Daemon, run: &Run, held: Held) -> Result<()> {
        daemon.record(
            EventKind::Dispatched,
            self.subject(String::new(), Some(&held.target)),
        );
        let sent = match &self.caller.work {
            Work::Generate {
                body,
                shape,
                stream,
                ..
            } => {
                let req = EngineRequest {
                    answer_limit: daemon.cfg.answer_limit,
                    body: body.clone(),
                    key: self.caller.facts.key.as_deref(),
                    shape: *shape,
                    stream: *stream,
                };
                self.generate(daemon, run, &held, req).await
            }
            Work::Proxy(proxied) => Ended::new(self.proxy(daemon, run, &held, proxied).await),
        };
        let outcome = match &sent.result {
            Ok(()) => Outcome::Complete,
            Err(refusal) if from_outside(refusal.kind) => Outcome::Cancelled,
            Err(_) => Outcome::Failed,
        };
        held.ended(outcome, sent.decoded, sent.prefill);
        sent.result
    }

    async fn generate(
        &self,
        daemon: &Daemon,
        run: &Run,
        held: &Held,
        req: EngineRequest<'_>,
    ) -> Ended {
        let address = match self.address(daemon, held) {
            Ok(address) => address,
            Err(refusal) => return Ended::new(Err(refusal)),
        };
        let client = daemon.client.clone();
        let engine = EngineStream::new(client, address, self.id.clone(), daemon.patience());
        let seen = Seen {
            daemon,
            held,
            waited: self.arrived.elapsed(),
        };
        let interrupted = self.interrupted(daemon, run);
        engine_run::run(engine, req, run, &seen, interrupted).await
    }

    async fn proxy(
        &self,
        daemon: &Daemon,
        run: &Run,
        held: &Held,
        proxied: &Proxied,
    ) -> Result<()> {
        let address = self.address(daemon, held)?;
        let req = self.request(proxied);
        let bounds = daemon.bounds();
        let interrupted = self.interrupted(daemon, run);
        proxy_run::run(&daemon.client, &address, req, bounds, run, interrupted).await
    }

    fn address(&self, daemon: &Daemon, held: &Held) -> Result<String> {
        let in_force = daemon.in_force()?;
        let found = in_force.target(&self.route.pool, &held.target);
        let (_, target) =
            found.ok_or_else(|| Refusal::new(ErrorKind::NoTarget, "the target was removed"))?;
        Ok(target.address.clone())
    }

    /// The request as a plain service gets it: body untouched, named by its id and key.
    fn request(&self, proxied: &Proxied) -> Request<body::Body> {
        let mut req = Request::new(body::full(proxied.body.clone()));
        *req.method_mut() = proxied.method.clone();
        *req.uri_mut() = proxied.path.parse().unwrap_or_default();
        *req.headers_mut() = proxied.headers.clone();
        let headers = req.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("target"));
        let named = [
            (REQUEST_ID, Some(&self.id)),
            (REQUEST_KEY, self.caller.facts.key.as_ref()),
        ];
        for (name, value) in named {
            if let Some(value) = value.and_then(|value| HeaderValue::from_str(value).ok()) {
                headers.insert(name, value);
            }
        }
        req
    }
}

/// Passes what the engine does on to the dispatcher and the metrics.
struct Seen<'a> {
    daemon: &'a Daemon,
    held: &'a Held,
    waited: Duration,
}

impl Observer for Seen<'_> {
    fn first_token(&self, after: Duration) {
        let total = self.waited + after;
        self.daemon.metrics.first_token.observe(total.as_secs_f64());
        self.held.report(ReportKind::FirstToken { after });
    }

    fn progress(&self, tokens: u32, step: Duration) {
        self.held.report(ReportKind::Progress { step, tokens });
    }
}

/// Whether a request ended for a reason that says nothing about its target.
fn from_outside(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Cancelled | ErrorKind::DeadlinePassed | ErrorKind::Leaving
    )
}
