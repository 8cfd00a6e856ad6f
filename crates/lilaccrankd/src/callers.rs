//! HTTP interface for callers.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client_connection::ClientConnection;
use serde_json::json;

use crate::callers::refusal::Result;
use crate::daemon::Daemon;

pub mod answer_builder;
pub mod answer_cache;
pub mod attach;
pub mod auth;
pub mod caller_request;
pub mod choices;
pub mod end_to_end;
pub mod entry;
pub mod native_protocol;
pub mod protocol;
pub mod refusal;
pub mod whole_answer;

/// Answers one HTTP request of a caller.
pub async fn handle(
    daemon: Rc<Daemon>,
    req: Request<Incoming>,
    client: ClientConnection,
) -> Response<Body> {
    if daemon.ports.callers.asks_for_models(&req) {
        let listed = models(&daemon, &req);
        return listed.unwrap_or_else(|refusal| refusal.response());
    }
    entry::answer(daemon, req, client).await
}

fn models(daemon: &Daemon, req: &Request<Incoming>) -> Result<Response<Body>> {
    let in_force = daemon.in_force()?;
    in_force.keys.customer(req.headers())?;
    let pools = &in_force.document.pools;
    let list: Vec<_> = pools
        .iter()
        .flat_map(|pool| &pool.models)
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    Ok(json_response(&json!({"data": list, "object": "list"})))
}

/// Builds a response with a JSON body.
pub fn json_response(value: &serde_json::Value) -> Response<Body> {
    let mut res = Response::new(body::full(value.to_string()));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}
