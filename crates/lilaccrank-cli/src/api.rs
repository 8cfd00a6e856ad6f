//! Typed calls to one daemon's operators' surface.

use std::time::Duration;

use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use lilaccrank::error_kind::Executed;
use lilaccrank::operators::Failure;
use lilaccrank::operators::failure::Envelope;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Client, Limits};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::address::Address;
use crate::error::{Error, Result};

/// A daemon that can be reached connects in milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// A look costs a daemon milliseconds, or some seconds while the store is slow.
const LOOK_LIMIT: Duration = Duration::from_secs(8);
/// A frozen daemon still takes connections, by its kernel, and then says nothing: whoever asks
/// it would wait for long. One that runs tells what it holds within milliseconds.
const MEMORY_LIMIT: Duration = Duration::from_secs(2);
/// A publication takes a daemon at most some fifteen seconds.
const POST_LIMIT: Duration = Duration::from_secs(30);
/// Largest answer read.
const BODY_LIMIT: usize = 64 << 20;

/// Calls with one operator's key.
pub struct Api {
    client: Client,
    key: String,
}

/// A refusal as callers get it too.
#[derive(Deserialize)]
struct Refusal {
    kind: String,
    message: String,
    ran: Executed,
}

impl Api {
    /// Calls with this key.
    pub fn new(key: String) -> Self {
        Self {
            client: Client::default(),
            key,
        }
    }

    /// Reads what a daemon holds in memory.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached, breaks off, or refuses.
    pub async fn get<T: DeserializeOwned>(&self, address: &Address, path: &str) -> Result<T> {
        let req = request(address, Method::GET, path, &self.key, Vec::new())?;
        let call = self.call(address, req, MEMORY_LIMIT);
        call.await.map_err(harmless)
    }

    /// Reads what a daemon has to ask the store for.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached, breaks off, or refuses.
    pub async fn get_stored<T: DeserializeOwned>(
        &self,
        address: &Address,
        path: &str,
    ) -> Result<T> {
        let req = request(address, Method::GET, path, &self.key, Vec::new())?;
        self.call(address, req, LOOK_LIMIT).await.map_err(harmless)
    }

    /// Posts a question, which changes nothing.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached, breaks off, or refuses.
    pub async fn ask<B: Serialize, T: DeserializeOwned>(
        &self,
        address: &Address,
        path: &str,
        question: &B,
    ) -> Result<T> {
        let json = serde_json::to_vec(question).map_err(std::io::Error::from)?;
        let req = request(address, Method::POST, path, &self.key, json)?;
        self.call(address, req, LOOK_LIMIT).await.map_err(harmless)
    }

    /// Posts an order.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached, breaks off, or refuses.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        address: &Address,
        path: &str,
        value: &B,
    ) -> Result<T> {
        let json = serde_json::to_vec(value).map_err(std::io::Error::from)?;
        let req = request(address, Method::POST, path, &self.key, json)?;
        self.call(address, req, POST_LIMIT).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        address: &Address,
        req: Request<Body>,
        limit: Duration,
    ) -> Result<T> {
        let limits = Limits {
            connect: CONNECT_LIMIT,
            max_idle: Duration::ZERO,
            head: limit,
        };
        let sent = self.client.send(address.as_str(), req, limits).await;
        let (res, _connection) = sent.map_err(|e| failed(address, &e))?;
        let status = res.status();
        let reading = body::read(res.into_body(), BODY_LIMIT);
        let bytes = monoio::time::timeout(limit, reading)
            .await
            .map_err(|_| broken(address, &"the answer did not end"))?
            .map_err(|e| broken(address, &e))?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|e| broken(address, &e));
        }
        Err(refused(address, status, &bytes))
    }
}

/// A request with its bearer key.
///
/// # Errors
///
/// If the path or the key can't be sent.
pub fn request(
    address: &Address,
    method: Method,
    path: &str,
    key: &str,
    json: Vec<u8>,
) -> Result<Request<Body>> {
    let mut req = Request::new(body::full(json));
    *req.method_mut() = method;
    *req.uri_mut() = path
        .parse()
        .map_err(|_| Error::Usage(format!("`{path}` is no path")))?;
    set(&mut req, HOST, address.as_str())?;
    set(&mut req, AUTHORIZATION, &format!("Bearer {key}"))?;
    set(&mut req, CONTENT_TYPE, "application/json")?;
    Ok(req)
}

/// Sets a header.
///
/// # Errors
///
/// If the value can't be sent in a header.
pub fn set(req: &mut Request<Body>, name: HeaderName, value: &str) -> Result<()> {
    let usage = |_| Error::Usage(format!("the value for the header {name} can't be sent"));
    let value = HeaderValue::from_str(value).map_err(usage)?;
    req.headers_mut().insert(name, value);
    Ok(())
}

/// Why there is no answer.
pub fn failed(address: &Address, e: &client::Error) -> Error {
    if e.is_unsent() {
        return Error::Unreachable {
            address: address.to_string(),
            why: e.to_string(),
        };
    }
    broken(address, e)
}

/// A question that broke off has done nothing.
fn harmless(e: Error) -> Error {
    match e {
        Error::Broken { address, why } => Error::Unreachable { address, why },
        e => e,
    }
}

/// The answer broke off.
pub fn broken(address: &Address, why: &dyn std::fmt::Display) -> Error {
    Error::Broken {
        address: address.to_string(),
        why: why.to_string(),
    }
}

/// Reads why a daemon refused.
pub fn refused(address: &Address, status: StatusCode, bytes: &[u8]) -> Error {
    if let Ok(envelope) = serde_json::from_slice::<Envelope<Failure>>(bytes) {
        return envelope.error.into();
    }
    if let Ok(Envelope { error }) = serde_json::from_slice::<Envelope<Refusal>>(bytes) {
        return Error::Refused {
            address: address.to_string(),
            kind: error.kind,
            message: error.message,
            ran: error.ran,
        };
    }
    let text = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    broken(address, &format!("status {status}, {text}"))
}
