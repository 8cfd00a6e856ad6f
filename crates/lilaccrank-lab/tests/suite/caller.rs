//! A caller of the stand-ins.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lilaccrank_http::body;
use lilaccrank_http::client::{self, Client, Connection, Limits};
use lilaccrank_http::runtime;
use serde_json::{Value, json};

const LIMITS: Limits = Limits {
    connect: Duration::from_secs(2),
    max_idle: Duration::ZERO,
    head: Duration::from_secs(20),
};
const BODY_LIMIT: usize = 1 << 20;

/// Runs a test to its end.
pub fn run<F: Future>(test: F) -> F::Output {
    runtime::block_on(test).unwrap()
}

/// A whole answer.
pub struct Answer {
    pub body: Bytes,
    pub status: StatusCode,
}

impl Answer {
    /// The body of a success; null if it is empty.
    pub fn ok(&self) -> Value {
        assert!(self.status.is_success(), "{} {:?}", self.status, self.body);
        if self.body.is_empty() {
            return Value::Null;
        }
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// An answer that is being read.
pub struct Stream {
    body: Incoming,
    _connection: Connection,
}

impl Stream {
    /// Reads until `count` events more have come, or to the end.
    pub async fn events(&mut self, count: usize) -> Result<String, hyper::Error> {
        let mut text = String::new();
        while text.matches("\n\n").count() < count {
            let Some(frame) = self.body.frame().await else {
                break;
            };
            let data = frame?.into_data().unwrap();
            text.push_str(std::str::from_utf8(&data).unwrap());
        }
        Ok(text)
    }
}

/// Opens an exchange up to the response head.
pub async fn open(
    address: &str,
    method: Method,
    path: &str,
    id: &str,
    body: &Value,
) -> client::Result<(StatusCode, Stream)> {
    let bytes = match body {
        Value::Null => String::new(),
        body => body.to_string(),
    };
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "lab")
        .header("request-id", id)
        .header("request-key", format!("key of {id}"))
        .body(body::full(bytes))
        .unwrap();
    let (res, connection) = Client::default().send(address, req, LIMITS).await?;
    let status = res.status();
    let stream = Stream {
        body: res.into_body(),
        _connection: connection,
    };
    Ok((status, stream))
}

/// Sends a request and reads its whole answer.
pub async fn call(address: &str, method: Method, path: &str, id: &str, body: &Value) -> Answer {
    let (status, stream) = open(address, method, path, id, body).await.unwrap();
    let body = body::read(stream.body, BODY_LIMIT).await.unwrap();
    Answer { body, status }
}

/// Reads a resource.
pub async fn get(address: &str, path: &str) -> Answer {
    call(address, Method::GET, path, "get", &Value::Null).await
}

/// Posts a document.
pub async fn post(address: &str, path: &str, body: &Value) -> Answer {
    call(address, Method::POST, path, "post", body).await
}

/// Posts a prompt under a request id and reads the whole answer.
pub async fn complete(address: &str, id: &str, prompt: &str, max_tokens: u32) -> Answer {
    let body = completion(prompt, max_tokens, false);
    call(address, Method::POST, "/v1/completions", id, &body).await
}

/// Posts a prompt under a request id and opens the stream of its answer.
pub async fn stream(address: &str, id: &str, prompt: &str, max_tokens: u32) -> Stream {
    let body = completion(prompt, max_tokens, true);
    let opened = open(address, Method::POST, "/v1/completions", id, &body).await;
    opened.unwrap().1
}

fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({"max_tokens": max_tokens, "model": "lab", "prompt": prompt, "stream": stream})
}

/// The text of streamed events.
pub fn text(events: &str) -> String {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let texts = chunks.map(|c| c["choices"][0]["text"].as_str().unwrap_or("").to_owned());
    texts.collect()
}

/// One field of each entry of a list.
pub fn column(list: &Value, field: &str) -> Vec<Value> {
    let entries = list.as_array().unwrap().iter();
    entries.map(|entry| entry[field].clone()).collect()
}
