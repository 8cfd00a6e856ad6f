//! A caller's HTTP request, read into the facts that rules match on and the body for a target.

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use indexmap::IndexMap;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::{ContentDigest, DataCentre, Rank, RequestId, Tier};
use lilaccrank::prompt;
use lilaccrank::request::Facts;
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

use crate::callers::answers::ScopedKey;
use crate::callers::protocol::Reading;
use crate::callers::refusal::{Refusal, Result};
use crate::targets::proxied::Proxied;

/// Caller's time limit for the whole answer, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("lilaccrank-deadline-ms");
/// `no` if the request must not run more than once.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("lilaccrank-idempotent");
/// The caller's own name for the request.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Data centre that a request was spilled from; it is not spilled again.
pub const SPILLED: HeaderName = HeaderName::from_static("lilaccrank-spilled-from");
/// The tier wished for.
pub const TIER: HeaderName = HeaderName::from_static("lilaccrank-tier");

/// Tokens generated if the caller names no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Longest request key in bytes.
const KEY_LIMIT: usize = 256;
/// Longest deadline.
///
/// The runtime's timers panic at an instant that they can't count to, and one request would end
/// the daemon and cut all others. A day is far within their range, and no answer takes longer.
const DEADLINE_LIMIT: Duration = Duration::from_secs(24 * 60 * 60);
/// Headers that rules may match on are bounded in number, as their names come from callers.
const HEADER_LIMIT: usize = 64;

/// In which form an engine's answer goes to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a target is asked to do.
#[derive(Clone, Debug)]
pub enum Work {
    /// Generate tokens.
    Generate {
        /// Body for the engine, always streamed.
        body: Bytes,
        /// Prefix digests of the prompt.
        prefix: Vec<u64>,
        /// Form of the answer.
        shape: Shape,
        /// Whether the caller reads events.
        stream: bool,
    },
    /// Pass on untouched.
    Proxy(Proxied),
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Body as it came, for spilling and for recognizing a repeat.
    pub body: Bytes,
    /// The caller's own name for this request, which targets are told.
    pub caller_id: Option<String>,
    /// What rules match on.
    pub facts: Facts,
    /// Head as it came, for spilling.
    pub head: Parts,
    /// Rank of its customer.
    pub rank: Rank,
    /// Where it was spilled from.
    pub spilled_from: Option<DataCentre>,
    /// Weight of its customer.
    pub weight: u32,
    /// What a target is to do.
    pub work: Work,
}

impl CallerRequest {
    /// Reads a request in the product's own protocol.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] or [`ErrorKind::Forbidden`], with what to change.
    pub fn read(head: Parts, body: Bytes, cx: Reading<'_>) -> Result<Self> {
        let mut facts = Facts {
            customer: cx.customer.map(|c| c.id.clone()).unwrap_or_default(),
            data_centre: cx.data_centre.clone(),
            deadline: deadline(&head.headers)?,
            headers: header_facts(&head.headers),
            idempotent: idempotent(&head.headers)?,
            key: key(&head.headers)?,
            path: head.uri.path().to_owned(),
            requested_tier: tier_wish(&head.headers, cx)?,
            ..Facts::default()
        };
        let work = match shape(&head) {
            Some(shape) => generate(&body, shape, &mut facts)?,
            None => Work::Proxy(Proxied::new(&head, &body)),
        };
        Ok(Self {
            body,
            caller_id: None,
            facts,
            rank: cx.customer.map_or(0, |customer| customer.rank),
            spilled_from: text(&head.headers, &SPILLED)?.map(str::to_owned),
            weight: cx.customer.map_or(1, |customer| customer.weight),
            head,
            work,
        })
    }
}

impl CallerRequest {
    /// What the request is called in logs: the caller's own name for it, if it gave one.
    #[must_use]
    pub fn name<'a>(&'a self, id: &'a RequestId) -> &'a str {
        self.caller_id.as_deref().unwrap_or(id)
    }

    /// Digest of what the request asks for and who asks: attempts with other ids have the same one.
    #[must_use]
    pub fn content(&self) -> ContentDigest {
        let mut hash = Xxh3::new();
        let uri = self.head.uri.path_and_query();
        let uri = uri.map_or("/", |uri| uri.as_str());
        let parts = [
            self.facts.customer.as_bytes(),
            self.head.method.as_str().as_bytes(),
            uri.as_bytes(),
            &self.body,
        ];
        for part in parts {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }

    /// The request key in its customer's scope.
    #[must_use]
    pub fn scoped_key(&self) -> Option<ScopedKey> {
        let key = self.facts.key.clone()?;
        Some((self.facts.customer.clone(), key))
    }
}

fn bad(message: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, message)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_| bad(format!("the header {name} must be plain text")))?;
    Ok(Some(value))
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let parsed = value.trim().parse();
    let parsed = parsed.map_err(|_| bad(format!("the header {name} can't be `{value}`")))?;
    Ok(Some(parsed))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let deadline = parse::<u64>(headers, &DEADLINE)?.map(Duration::from_millis);
    match deadline {
        Some(deadline) if deadline > DEADLINE_LIMIT => {
            let most = DEADLINE_LIMIT.as_millis();
            Err(bad(format!("the header {DEADLINE} may be {most} at most")))
        }
        _ => Ok(deadline),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool> {
    match text(headers, &IDEMPOTENT)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad(format!(
            "the header {IDEMPOTENT} must be `yes` or `no`"
        ))),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<String>> {
    let key = text(headers, &KEY)?;
    match key {
        Some(key) if key.is_empty() || key.len() > KEY_LIMIT => Err(bad(format!(
            "the header {KEY} must have 1 to {KEY_LIMIT} bytes"
        ))),
        _ => Ok(key.map(str::to_owned)),
    }
}

fn tier_wish(headers: &HeaderMap, cx: Reading<'_>) -> Result<Option<Tier>> {
    let (Some(name), Some(customer)) = (text(headers, &TIER)?, cx.customer) else {
        return Ok(None);
    };
    if !customer.tiers.iter().any(|tier| tier == name) {
        return Err(Refusal::new(
            ErrorKind::Forbidden,
            format!("you may use the tiers {}", customer.tiers.join(", ")),
        ));
    }
    Ok(cx.document.tier(name))
}

/// Headers as facts; the bearer key is left out, so that no rule and no log can show it.
fn header_facts(headers: &HeaderMap) -> IndexMap<String, String> {
    headers
        .iter()
        .filter(|(name, _)| *name != hyper::header::AUTHORIZATION)
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .take(HEADER_LIMIT)
        .collect()
}

fn shape(head: &Parts) -> Option<Shape> {
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => Some(Shape::Chat),
        (&Method::POST, "/v1/completions") => Some(Shape::Completion),
        _ => None,
    }
}

fn generate(body: &Bytes, shape: Shape, facts: &mut Facts) -> Result<Work> {
    let mut json: Value =
        serde_json::from_slice(body).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    let object = json
        .as_object_mut()
        .ok_or_else(|| bad("the body must be a JSON object"))?;
    let model = object
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| bad("give `model`, a string"))?;
    facts.model = Some(model.to_owned());
    let prompt = match shape {
        Shape::Chat => chat_prompt(object.get("messages"))?,
        Shape::Completion => object
            .get("prompt")
            .and_then(Value::as_str)
            .ok_or_else(|| bad("give `prompt`, a string"))?
            .to_owned(),
    };
    facts.prompt_tokens = prompt::estimate_tokens(&prompt);
    facts.max_tokens = match object.get("max_tokens") {
        None => DEFAULT_MAX_TOKENS,
        Some(value) => value
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .filter(|n| *n > 0)
            .ok_or_else(|| bad("`max_tokens` must be a whole number above 0"))?,
    };
    let stream = match object.get("stream") {
        None => false,
        Some(value) => value
            .as_bool()
            .ok_or_else(|| bad("`stream` must be true or false"))?,
    };
    // The engine always streams to us: only its events show whether it still works, and only a
    // stream can be taken up again after a broken connection.
    object.insert("stream".to_owned(), Value::Bool(true));
    object.insert("max_tokens".to_owned(), facts.max_tokens.into());
    Ok(Work::Generate {
        body: json.to_string().into(),
        prefix: prompt::prefix_digests(&prompt),
        shape,
        stream,
    })
}

/// The text whose prefix engines cache: the contents of all messages, a line each.
fn chat_prompt(messages: Option<&Value>) -> Result<String> {
    let list = messages
        .and_then(Value::as_array)
        .filter(|list| !list.is_empty())
        .ok_or_else(|| bad("give `messages`, a list that is not empty"))?;
    let mut prompt = String::new();
    for message in list {
        let content = message
            .get("content")
            .and_then(Value::as_str)
            .ok_or_else(|| bad("each message needs `content`, a string"))?;
        if !prompt.is_empty() {
            prompt.push('\n');
        }
        prompt.push_str(content);
    }
    Ok(prompt)
}
