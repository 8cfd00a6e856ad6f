//! Requests for completions, in the shape that clients of model engines use.

use bytes::Bytes;
use hyper::StatusCode;
use lilaccrank::ids::ModelId;
use serde::Deserialize;

use crate::answer_text;
use crate::reply::{self, Result};

/// Path of chat completions.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of text completions.
pub(super) const TEXT_PATH: &str = "/v1/completions";
/// Tokens generated if the request gives no number.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Most tokens of one answer.
const MAX_TOKENS_LIMIT: u32 = 100_000;

/// Which of the two shapes a request and its answer have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Shape {
    Chat,
    Text,
}

#[derive(Deserialize)]
struct Wire {
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
    model: ModelId,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// A request as the engine works on it.
pub(super) struct Completion {
    pub(super) max_tokens: u32,
    pub(super) model: ModelId,
    pub(super) prompt: String,
    pub(super) shape: Shape,
    pub(super) stream: bool,
}

impl Shape {
    pub(super) fn of(path: &str) -> Self {
        if path == CHAT_PATH {
            Self::Chat
        } else {
            Self::Text
        }
    }
}

impl Completion {
    pub(super) fn parse(shape: Shape, buf: &Bytes) -> Result<Self> {
        let refuse = |message: &str| Box::new(reply::error(StatusCode::BAD_REQUEST, message));
        let wire: Wire = serde_json::from_slice(buf).map_err(|e| refuse(&e.to_string()))?;
        let max_tokens = wire.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
            return Err(refuse("max_tokens is out of range"));
        }
        let prompt = match shape {
            Shape::Chat => {
                answer_text::chat_prompt(wire.messages.iter().map(|m| m.content.as_str()))
            }
            Shape::Text => wire.prompt,
        };
        Ok(Self {
            max_tokens,
            model: wire.model,
            prompt,
            shape,
            stream: wire.stream,
        })
    }
}
