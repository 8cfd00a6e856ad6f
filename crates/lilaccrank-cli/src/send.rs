//! `send`: one request as a caller, its tokens on standard output as they come.

use std::io::{self, Read, Write};
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use hyper::header::{HeaderName, RETRY_AFTER};
use hyper::{Method, Request, Response};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{Client, Limits};
use serde::Serialize;
use serde_json::Value;

use crate::address::Address;
use crate::api;
use crate::context::Context;
use crate::error::Result;

/// Data of the event that closes a stream.
const DONE: &str = "[DONE]";
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Time until the first token and between two, as the daemon has limits of its own.
const SILENCE_LIMIT: Duration = Duration::from_secs(600);
/// Largest refusal read.
const REFUSAL_LIMIT: usize = 1 << 20;

/// Sends one request as a caller and prints the answer as it comes; --key is a customer's key.
#[derive(clap::Args)]
pub struct Args {
    /// Callers' URL of a daemon.
    #[arg(
        default_value = "http://127.0.0.1:7400",
        env = "LILACCRANK_CALLER",
        long
    )]
    caller: Address,
    /// Milliseconds for the whole answer.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Key of the request: a repeat with the same key runs nothing again.
    #[arg(long)]
    idempotency_key: Option<String>,
    /// Most tokens to generate.
    #[arg(default_value_t = 256, long)]
    max_tokens: u32,
    /// The model.
    #[arg(long)]
    model: String,
    /// The request must not run more than once.
    #[arg(long)]
    not_idempotent: bool,
    /// The prompt; standard input if not given.
    prompt: Option<String>,
    /// The tier wished for.
    #[arg(long)]
    tier: Option<String>,
}

#[derive(Serialize)]
struct Completion {
    max_tokens: u32,
    model: String,
    prompt: String,
    stream: bool,
}

impl Args {
    /// Sends the request and prints the answer.
    ///
    /// # Errors
    ///
    /// If it is refused or the answer is not whole.
    pub async fn run(self, cx: &Context) -> Result<()> {
        let req = self.request(cx.key()?)?;
        let limits = Limits {
            connect: CONNECT_LIMIT,
            max_idle: Duration::ZERO,
            head: SILENCE_LIMIT,
        };
        let client = Client::default();
        let sent = client.send(self.caller.as_str(), req, limits).await;
        let (res, _connection) = sent.map_err(|e| api::failed(&self.caller, &e))?;
        if res.status().is_success() {
            return self.print(cx, res).await;
        }
        if let Some(after) = res.headers().get(RETRY_AFTER)
            && let Ok(seconds) = after.to_str()
        {
            cx.output.remark(&format!("come back in {seconds} s"));
        }
        let status = res.status();
        let bytes = body::read(res.into_body(), REFUSAL_LIMIT).await;
        let bytes = bytes.map_err(|e| api::broken(&self.caller, &e))?;
        Err(api::refused(&self.caller, status, &bytes))
    }

    fn request(&self, key: &str) -> Result<Request<Body>> {
        let prompt = match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => {
                let mut prompt = String::new();
                io::stdin().read_to_string(&mut prompt)?;
                prompt
            }
        };
        let completion = Completion {
            max_tokens: self.max_tokens,
            model: self.model.clone(),
            prompt,
            stream: true,
        };
        let json = serde_json::to_vec(&completion).map_err(io::Error::from)?;
        let path = "/v1/completions";
        let mut req = api::request(&self.caller, Method::POST, path, key, json)?;
        let deadline = self.deadline_ms.map(|ms| ms.to_string());
        let idempotent = self.not_idempotent.then(|| "no".to_owned());
        for (name, value) in [
            ("idempotency-key", &self.idempotency_key),
            ("lilaccrank-deadline-ms", &deadline),
            ("lilaccrank-idempotent", &idempotent),
            ("lilaccrank-tier", &self.tier),
        ] {
            if let Some(value) = value {
                api::set(&mut req, HeaderName::from_static(name), value)?;
            }
        }
        Ok(req)
    }

    /// Prints tokens as they come; with --json, each event as one line.
    async fn print(&self, cx: &Context, res: Response<Incoming>) -> Result<()> {
        let broken = |why: &dyn std::fmt::Display| api::broken(&self.caller, why);
        let mut events = BodyDataStream::new(res.into_body()).eventsource();
        let mut out = io::stdout().lock();
        loop {
            let next = monoio::time::timeout(SILENCE_LIMIT, events.next()).await;
            let event = next
                .map_err(|_| broken(&"nothing came any more"))?
                .ok_or_else(|| broken(&"the stream ended before its last event"))?
                .map_err(|e| broken(&e))?;
            if event.data == DONE {
                if !cx.output.is_json() {
                    writeln!(out)?;
                }
                return Ok(());
            }
            let json: Value = serde_json::from_str(&event.data).map_err(|e| broken(&e))?;
            if let Some(error) = json.get("error") {
                return Err(broken(error));
            }
            if cx.output.is_json() {
                writeln!(out, "{json}")?;
            } else if let Some(text) = json.pointer("/choices/0/text").and_then(Value::as_str) {
                out.write_all(text.as_bytes())?;
            }
            out.flush()?;
        }
    }
}
