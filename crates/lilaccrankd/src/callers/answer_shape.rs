//! An engine's events turned into what the caller asked for.

use bytes::Bytes;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use serde_json::{Value, json};

use crate::callers::caller_request::Shape;
use crate::callers::choices::Choices;
use crate::callers::refusal::{Refusal, Result};
use crate::request::run::{Head, Run};

/// Data of the event that closes a stream.
pub const DONE: &str = "[DONE]";

/// What one event of the engine meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The answer is whole.
    Done,
    /// Something else, such as the usage.
    Other,
    /// A token.
    Token,
}

/// Builds the caller's answer from events.
pub struct AnswerShape {
    choices: Choices,
    first: Option<Value>,
    limit: usize,
    prefill: Option<u32>,
    shape: Shape,
    stream: bool,
    taken: usize,
    usage: Option<Value>,
}

impl AnswerShape {
    /// An empty answer; `stream` if the caller reads events, `limit` for the bytes of all events.
    #[must_use]
    pub fn new(shape: Shape, stream: bool, limit: usize) -> Self {
        Self {
            choices: Choices::new(shape, !stream),
            first: None,
            limit,
            prefill: None,
            shape,
            stream,
            taken: 0,
            usage: None,
        }
    }

    /// Tokens of prefill that the engine says it computed.
    #[must_use]
    pub fn prefill(&self) -> Option<u32> {
        self.prefill
    }

    /// Takes one event and writes what the caller is to see to `run`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BrokenAnswer`] if the event is not what engines send, the answer is over its
    /// limit, or the end comes before it is finished.
    pub fn take(&mut self, data: &str, run: &Run) -> Result<Step> {
        if data == DONE {
            return self.finish(run);
        }
        // The answer is kept for repeats while it runs: an engine that never ends would take all
        // memory, and with it the requests of all other callers.
        self.taken += data.len();
        if self.taken > self.limit {
            return Err(broken("the answer is over the limit"));
        }
        let event: Value =
            serde_json::from_str(data).map_err(|_| broken("an event is not JSON"))?;
        let step = self.read(&event)?;
        if self.stream {
            self.begin(run, "text/event-stream");
            // The lines of one event were joined; sent as they are, a reader would drop all but
            // the first and see a broken event.
            let data = data.replace('\n', "\ndata: ");
            run.push(Bytes::from(format!("data: {data}\n\n")));
        }
        Ok(step)
    }

    fn read(&mut self, event: &Value) -> Result<Step> {
        if event.get("error").is_some() {
            return Err(broken("the target reports an error in its stream"));
        }
        if let Some(usage) = event.get("usage").filter(|usage| !usage.is_null()) {
            self.prefill = prefill(usage);
            self.usage = Some(usage.clone());
        }
        let choices = event.get("choices").and_then(Value::as_array);
        let choices = choices.ok_or_else(|| broken("an event has no choices"))?;
        if self.first.is_none() && !choices.is_empty() {
            self.first = Some(event.clone());
        }
        let mut step = Step::Other;
        for choice in choices {
            if self.choices.take(choice) {
                step = Step::Token;
            }
        }
        Ok(step)
    }

    /// An answer counts as whole only if the engine said why it finished: a stream that merely
    /// stops would otherwise reach the caller as a shorter but whole answer.
    fn finish(&mut self, run: &Run) -> Result<Step> {
        if !self.choices.are_finished() {
            return Err(broken("the stream ended without a finish reason"));
        }
        if self.stream {
            self.begin(run, "text/event-stream");
            run.push(Bytes::from(format!("data: {DONE}\n\n")));
        } else {
            self.begin(run, "application/json");
            run.push(Bytes::from(self.whole().to_string()));
        }
        Ok(Step::Done)
    }

    fn begin(&self, run: &Run, content_type: &'static str) {
        if run.has_head() {
            return;
        }
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        run.set_head(Head {
            headers,
            status: StatusCode::OK,
        });
    }

    fn whole(&self) -> Value {
        let first = self.first.as_ref();
        let field = |name: &str| first.and_then(|event| event.get(name)).cloned();
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Completion => "text_completion",
        };
        json!({
            "choices": self.choices.whole(),
            "created": field("created"),
            "id": field("id"),
            "model": field("model"),
            "object": object,
            "usage": self.usage,
        })
    }
}

fn prefill(usage: &Value) -> Option<u32> {
    let count = |name: &str| usage.get(name).and_then(Value::as_u64);
    let prompt = count("prompt_tokens")?;
    let cached = count("cached_tokens").unwrap_or(0);
    u32::try_from(prompt.saturating_sub(cached)).ok()
}

fn broken(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BrokenAnswer, message)
}
