//! A caller: sends one request and judges the answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Client, Limits};
use serde_json::{Value, json};

use crate::answer_text;
use crate::reply;

/// Data of the event that closes a stream.
pub(crate) const DONE: &str = "[DONE]";
/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One request as a caller means it.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Bearer key.
    pub bearer: String,
    /// Milliseconds for the whole answer.
    pub deadline_ms: Option<u64>,
    /// Request id, for calls straight to an engine.
    pub id: Option<String>,
    /// Goes out on a connection that has just been used, if there is one, and leaves its own.
    pub keep: bool,
    /// Request key.
    pub key: Option<String>,
    /// Tokens to generate.
    pub max_tokens: usize,
    /// Model.
    pub model: String,
    /// `Lilaccrank-Idempotent: no`.
    pub once: bool,
    /// Prompt.
    pub prompt: String,
    /// Read events.
    pub stream: bool,
    /// Tier wished for.
    pub tier: Option<String>,
}

/// What came of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer broke off, or is no answer in the protocol.
    Broken(String),
    /// The answer looked whole and is not the whole answer to this prompt.
    Foreign(String),
    /// The daemon could not be reached or gave no answer.
    Lost(String),
    /// A refusal.
    Refused {
        /// Kind of error.
        kind: String,
        /// `no` or `maybe`.
        ran: String,
        /// Seconds until the caller should come back.
        retry_after: Option<u64>,
        /// HTTP status.
        status: u16,
    },
    /// The whole answer to this very prompt.
    Whole {
        /// Time to the first token.
        first_token: Duration,
        /// Time to the end.
        total: Duration,
    },
}

/// Sends `call` to the daemon at `address`.
pub async fn call(client: &Client, address: &str, call: &Call) -> Outcome {
    let begun = Instant::now();
    let limits = Limits {
        connect: CONNECT_TIMEOUT,
        max_idle: match call.keep {
            true => client::MAX_IDLE,
            false => Duration::ZERO,
        },
        head: Duration::from_secs(120),
    };
    let (res, connection) = match client.send(address, request(call), limits).await {
        Ok(sent) => sent,
        Err(e) => return Outcome::Lost(format!("after {:?}: {e:?}", begun.elapsed())),
    };
    let outcome = if res.status().is_success() {
        judge(res, call, begun).await
    } else {
        refused(res).await
    };
    if call.keep && matches!(outcome, Outcome::Whole { .. } | Outcome::Refused { .. }) {
        client.release(connection);
    }
    outcome
}

/// The body of the request.
pub(crate) fn json(call: &Call) -> String {
    let json = json!({
        "max_tokens": call.max_tokens,
        "model": call.model,
        "prompt": call.prompt,
        "stream": call.stream,
    });
    json.to_string()
}

/// The request as it goes out.
pub(crate) fn request(call: &Call) -> Request<Body> {
    let mut req = Request::new(body::full(Bytes::from(json(call))));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = "/v1/completions".parse().unwrap_or_default();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            req.headers_mut().insert(name, value);
        }
    };
    set(HOST, "lilaccrank");
    set(AUTHORIZATION, &format!("Bearer {}", call.bearer));
    set(CONTENT_TYPE, "application/json");
    if let Some(deadline) = call.deadline_ms {
        let name = HeaderName::from_static("lilaccrank-deadline-ms");
        set(name, &deadline.to_string());
    }
    if let Some(key) = &call.key {
        set(HeaderName::from_static("idempotency-key"), key);
    }
    if let Some(id) = &call.id {
        set(HeaderName::from_static(reply::REQUEST_ID), id);
        let key = call.key.as_deref().unwrap_or(id);
        set(HeaderName::from_static(reply::REQUEST_KEY), key);
    }
    if let Some(tier) = &call.tier {
        set(HeaderName::from_static("lilaccrank-tier"), tier);
    }
    if call.once {
        set(HeaderName::from_static("lilaccrank-idempotent"), "no");
    }
    req
}

async fn judge(res: Response<Incoming>, call: &Call, begun: Instant) -> Outcome {
    let read = if call.stream {
        read_events(res.into_body()).await
    } else {
        read_whole(res.into_body()).await
    };
    let (text, first_token_at) = match read {
        Ok(read) => read,
        Err(why) => return Outcome::Broken(why),
    };
    match answer_text::check(&call.prompt, call.max_tokens, &text) {
        Ok(()) => Outcome::Whole {
            first_token: first_token_at - begun,
            total: begun.elapsed(),
        },
        Err(e) => Outcome::Foreign(e.to_string()),
    }
}

async fn read_events(body: Incoming) -> Result<(String, Instant), String> {
    let mut events = BodyDataStream::new(body).eventsource();
    let mut first = None;
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|e| e.to_string())?;
        if event.data == DONE {
            return Ok((text, first.unwrap_or_else(Instant::now)));
        }
        let json: Value = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
        if let Some(error) = json.get("error") {
            return Err(error.to_string());
        }
        if let Some(part) = json.pointer("/choices/0/text").and_then(Value::as_str) {
            first.get_or_insert_with(Instant::now);
            text.push_str(part);
        }
    }
    Err("the stream ended without its last event".to_owned())
}

async fn read_whole(body: Incoming) -> Result<(String, Instant), String> {
    let bytes = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    let json: Value = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    let text = json.pointer("/choices/0/text").and_then(Value::as_str);
    let text = text.ok_or("the answer has no text")?.to_owned();
    Ok((text, Instant::now()))
}

async fn refused(res: Response<Incoming>) -> Outcome {
    let status = res.status().as_u16();
    let header = res.headers().get(RETRY_AFTER);
    let retry_after = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(body) = res.into_body().collect().await else {
        return Outcome::Lost("the refusal broke off".to_owned());
    };
    let json: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let field = |name: &str| {
        let value = json.pointer(&format!("/error/{name}"));
        value.and_then(Value::as_str).unwrap_or("?").to_owned()
    };
    Outcome::Refused {
        kind: field("kind"),
        ran: field("ran"),
        retry_after,
        status,
    }
}
