//! Answers on the wire: server-sent events in the usual shape, or one JSON document.

use bytes::Bytes;
use lilaccrank::ids::{ModelId, RequestId};
use serde::Serialize;

use super::completion::Shape;

/// Ends every whole stream.
pub(super) const DONE: &[u8] = b"data: [DONE]\n\n";
/// What an engine sends that has lost its mind.
pub(super) const NONSENSE: &[u8] = b"\x00\xff{]}<nonsense>\n\n";

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Usage {
    pub(super) cached_tokens: u32,
    pub(super) completion_tokens: u32,
    pub(super) prompt_tokens: u32,
}

#[derive(Serialize)]
struct Document<'a> {
    choices: Vec<Choice<'a>>,
    id: &'a str,
    model: &'a str,
    object: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    finish_reason: Option<&'static str>,
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    content: &'a str,
    role: &'static str,
}

/// Writes the events of one answer.
pub(super) struct Writer {
    id: RequestId,
    model: ModelId,
    shape: Shape,
}

impl Writer {
    pub(super) fn new(id: RequestId, model: ModelId, shape: Shape) -> Self {
        Self { id, model, shape }
    }

    /// The event of one token.
    pub(super) fn token(&self, event: usize, text: &str, last: bool) -> Bytes {
        let (delta, text) = match self.shape {
            Shape::Chat => (Some(assistant(text)), None),
            Shape::Text => (None, Some(text)),
        };
        let choice = Choice {
            delta,
            finish_reason: last.then_some("length"),
            index: 0,
            message: None,
            text,
        };
        self.event(event, vec![choice], None)
    }

    /// The event that follows the last token.
    pub(super) fn usage(&self, event: usize, usage: Usage) -> Bytes {
        self.event(event, Vec::new(), Some(usage))
    }

    /// The whole answer as one document.
    pub(super) fn whole(&self, text: &str, usage: Usage) -> Bytes {
        let (message, text) = match self.shape {
            Shape::Chat => (Some(assistant(text)), None),
            Shape::Text => (None, Some(text)),
        };
        let choice = Choice {
            delta: None,
            finish_reason: Some("length"),
            index: 0,
            message,
            text,
        };
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Text => "text_completion",
        };
        self.document(object, vec![choice], Some(usage)).into()
    }

    fn event(&self, event: usize, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> Bytes {
        let object = match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        };
        let data = self.document(object, choices, usage);
        format!("id: {event}\ndata: {data}\n\n").into()
    }

    fn document(&self, object: &str, choices: Vec<Choice<'_>>, usage: Option<Usage>) -> String {
        let document = Document {
            choices,
            id: &self.id,
            model: &self.model,
            object,
            usage,
        };
        serde_json::to_string(&document).expect("text and numbers can be written as JSON")
    }
}

fn assistant(content: &str) -> Message<'_> {
    Message {
        content,
        role: "assistant",
    }
}
