//! Stand-in for a plain service: takes any call, and keeps a log of those begun.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use lilaccrank::ids::{RequestId, RequestKey};
use lilaccrank_http::body::Body;
use lilaccrank_http::runtime;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::notify::Notify;
use crate::reply;
use crate::stand_in::{self, Listen};

/// Largest body of a call.
const BODY_LIMIT: usize = 64 << 20;

/// Settings of a service stand-in.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    #[command(flatten)]
    listen: Listen,
    /// Entries kept in the log; past it the oldest go.
    #[arg(long, default_value_t = stand_in::LOG_LIMIT)]
    log_limit: usize,
    /// Time that each call takes.
    #[arg(long, default_value_t = 10)]
    work_ms: u64,
}

/// Body of `POST /control`.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    fail_next: Option<u32>,
    hang: Option<bool>,
    leaving: Option<bool>,
}

/// Answer to a call.
#[derive(Clone, Serialize)]
struct Receipt {
    bytes: usize,
    path: String,
    sha256: String,
}

/// A call begun.
#[derive(Clone, Serialize)]
struct Entry {
    at_ms: u64,
    method: String,
    #[serde(flatten)]
    receipt: Receipt,
    request_id: Option<RequestId>,
    request_key: Option<RequestKey>,
}

struct Service {
    changed: Notify,
    fail_next: Cell<u32>,
    hang: Cell<bool>,
    leaving: Cell<bool>,
    log: RefCell<VecDeque<Entry>>,
    log_limit: usize,
    work: Duration,
}

/// Runs a service stand-in.
///
/// # Errors
///
/// If its address can't be bound.
pub fn run(args: Args) -> stand_in::Result<()> {
    let service = Rc::new(Service {
        changed: Notify::default(),
        fail_next: Cell::default(),
        hang: Cell::default(),
        leaving: Cell::default(),
        log: RefCell::default(),
        log_limit: args.log_limit,
        work: Duration::from_millis(args.work_ms),
    });
    runtime::block_on(args.listen.serve(move |req| {
        let service = Rc::clone(&service);
        async move { service.handle(req).await }
    }))?
}

impl Service {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/log") => reply::ok(&*self.log.borrow()),
            (&Method::POST, "/control") => self.control(req).await,
            _ => {
                let mut res = self.work(req).await;
                if self.leaving.get() {
                    reply::say_leaving(&mut res);
                }
                res
            }
        }
    }

    async fn work(&self, req: Request<Incoming>) -> Response<Body> {
        let (path, headers) = (req.uri().path().to_owned(), req.headers().clone());
        let method = req.method().to_string();
        let buf = match reply::read(req, BODY_LIMIT).await {
            Ok(buf) => buf,
            Err(refusal) => return *refusal,
        };
        let receipt = Receipt {
            bytes: buf.len(),
            path,
            sha256: hex::encode(Sha256::digest(&buf)),
        };
        self.begin(method, &headers, receipt.clone());
        monoio::time::sleep(self.work).await;
        while self.hang.get() {
            self.changed.changed().await;
        }
        let failures = self.fail_next.get();
        if failures > 0 {
            self.fail_next.set(failures - 1);
            return reply::error(StatusCode::INTERNAL_SERVER_ERROR, "failed on request");
        }
        reply::ok(&receipt)
    }

    fn begin(&self, method: String, headers: &HeaderMap, receipt: Receipt) {
        let mut log = self.log.borrow_mut();
        if log.len() >= self.log_limit {
            log.pop_front();
        }
        log.push_back(Entry {
            at_ms: reply::wall_ms(),
            method,
            receipt,
            request_id: reply::header(headers, reply::REQUEST_ID).map(str::to_owned),
            request_key: reply::header(headers, reply::REQUEST_KEY).map(str::to_owned),
        });
    }

    async fn control(&self, req: Request<Incoming>) -> Response<Body> {
        let control = match reply::read_json::<Control>(req, BODY_LIMIT).await {
            Ok(control) => control,
            Err(refusal) => return *refusal,
        };
        if let Some(n) = control.fail_next {
            self.fail_next.set(n);
        }
        if let Some(hang) = control.hang {
            self.hang.set(hang);
        }
        if let Some(leaving) = control.leaving {
            self.leaving.set(leaving);
        }
        self.changed.notify();
        reply::empty(StatusCode::OK)
    }
}
