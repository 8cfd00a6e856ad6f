//! Converts the events of an engine into the answer for the caller.

use bytes::Bytes;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use lilaccrank::error_kind::ErrorKind;
use serde_json::{Value, json};

use crate::callers::caller_request::AnswerFormat;
use crate::callers::choices::Choices;
use crate::callers::refusal::{Refusal, Result};
use crate::request::answer_buffer::{AnswerBuffer, Head};

/// Data of the event that closes a stream.
pub const DONE: &str = "[DONE]";

/// Kind of an engine's event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// End of a complete answer.
    Done,
    /// Anything else, such as the token usage.
    Other,
    /// A generated token.
    Token,
}

/// Builds the caller's answer from an engine's events.
pub struct AnswerBuilder {
    choices: Choices,
    first_event: Option<Value>,
    max_event_bytes: usize,
    prefill_tokens: Option<u32>,
    answer_format: AnswerFormat,
    stream: bool,
    event_bytes: usize,
    usage: Option<Value>,
}

impl AnswerBuilder {
    /// Creates an empty answer. With `stream`, the caller gets events, else one JSON body;
    /// `max_event_bytes` bounds the size of all events together.
    #[must_use]
    pub fn new(answer_format: AnswerFormat, stream: bool, max_event_bytes: usize) -> Self {
        Self {
            choices: Choices::new(answer_format, !stream),
            first_event: None,
            max_event_bytes,
            prefill_tokens: None,
            answer_format,
            stream,
            event_bytes: 0,
            usage: None,
        }
    }

    /// Prompt tokens that the engine computed; `None` if it did not report them.
    #[must_use]
    pub fn prefill_tokens(&self) -> Option<u32> {
        self.prefill_tokens
    }

    /// Adds one event and writes to `buffer` what the caller gets for it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BrokenAnswer`] if the event is malformed or reports an error, if the answer
    /// exceeds its limit, or if the stream ends before the answer is finished.
    pub fn push_event(&mut self, data: &str, buffer: &AnswerBuffer) -> Result<EngineEvent> {
        if data == DONE {
            return self.finish(buffer);
        }
        // What is built into one answer stays in memory, and what a repeat may ask for. Without a limit, an
        // engine that never stops would use up the memory.
        self.event_bytes += data.len();
        if self.event_bytes > self.max_event_bytes {
            return Err(broken_answer("the answer is over the limit"));
        }
        let event: Value =
            serde_json::from_str(data).map_err(|_| broken_answer("an event is not JSON"))?;
        let kind = self.apply_event(&event)?;
        if self.stream {
            self.ensure_head(buffer, "text/event-stream");
            // The event's lines were joined by newlines. Without a `data:` prefix on each, the
            // client would drop all lines but the first.
            let data = data.replace('\n', "\ndata: ");
            buffer.push(Bytes::from(format!("data: {data}\n\n")));
        }
        Ok(kind)
    }

    fn apply_event(&mut self, event: &Value) -> Result<EngineEvent> {
        if event.get("error").is_some() {
            return Err(broken_answer("the target reports an error in its stream"));
        }
        if let Some(usage) = event.get("usage").filter(|usage| !usage.is_null()) {
            self.prefill_tokens = prefill_tokens(usage);
            self.usage = Some(usage.clone());
        }
        let choices = event.get("choices").and_then(Value::as_array);
        let choices = choices.ok_or_else(|| broken_answer("an event has no choices"))?;
        if self.first_event.is_none() && !choices.is_empty() {
            self.first_event = Some(event.clone());
        }
        let mut kind = EngineEvent::Other;
        for choice in choices {
            if self.choices.merge_part(choice) {
                kind = EngineEvent::Token;
            }
        }
        Ok(kind)
    }

    /// Finishes the answer. It is complete only if the engine gave a finish reason: without this
    /// check, a stream that merely stops would reach the caller as a shorter but complete answer.
    fn finish(&mut self, buffer: &AnswerBuffer) -> Result<EngineEvent> {
        if !self.choices.are_finished() {
            return Err(broken_answer("the stream ended without a finish reason"));
        }
        if self.stream {
            self.ensure_head(buffer, "text/event-stream");
            buffer.push(Bytes::from(format!("data: {DONE}\n\n")));
        } else {
            self.ensure_head(buffer, "application/json");
            buffer.push(Bytes::from(self.to_json().to_string()));
        }
        Ok(EngineEvent::Done)
    }

    fn ensure_head(&self, buffer: &AnswerBuffer, content_type: &'static str) {
        if buffer.has_head() {
            return;
        }
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        buffer.set_head(Head {
            headers,
            status: StatusCode::OK,
        });
    }

    fn to_json(&self) -> Value {
        let first_event = self.first_event.as_ref();
        let field = |name: &str| first_event.and_then(|event| event.get(name)).cloned();
        let object = match self.answer_format {
            AnswerFormat::Chat => "chat.completion",
            AnswerFormat::Completion => "text_completion",
        };
        json!({
            "choices": self.choices.to_json(),
            "created": field("created"),
            "id": field("id"),
            "model": field("model"),
            "object": object,
            "usage": self.usage,
        })
    }
}

fn prefill_tokens(usage: &Value) -> Option<u32> {
    let count = |name: &str| usage.get(name).and_then(Value::as_u64);
    let prompt = count("prompt_tokens")?;
    let cached = count("cached_tokens").unwrap_or(0);
    u32::try_from(prompt.saturating_sub(cached)).ok()
}

fn broken_answer(message: &str) -> Refusal {
    Refusal::new(ErrorKind::BrokenAnswer, message)
}
