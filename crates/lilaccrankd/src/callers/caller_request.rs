//! A caller's HTTP request, parsed into the facts that rules match on and the operation for a
//! target.

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

use crate::callers::answer_cache::ScopedKey;
use crate::callers::protocol::ReadContext;
use crate::callers::refusal::{Refusal, Result};
use crate::targets::proxied_request::ProxiedRequest;

/// Header with the caller's time limit for the complete answer, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("lilaccrank-deadline-ms");
/// Header that is `no` if the request must not run more than once.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("lilaccrank-idempotent");
/// Header with the caller's key for the request, by which a repeat is recognized.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the data centre that a request was spilled from. Such a request is not spilled
/// again.
pub const SPILLED_FROM: HeaderName = HeaderName::from_static("lilaccrank-spilled-from");
/// Header with the last event that the caller has of a stream.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Header with the requested tier.
pub const TIER: HeaderName = HeaderName::from_static("lilaccrank-tier");

/// Token limit for a request that sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Longest request key, in bytes.
const MAX_KEY_LEN: usize = 256;
/// Longest deadline.
///
/// The runtime's timers panic on an instant outside their range. A request with such a deadline
/// would stop the daemon and break all other requests. A day is well within the range, and no
/// answer takes longer.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
/// Most shared parts of a prompt that are digested.
pub const MAX_SHARED_PARTS: usize = 16;
/// Most headers that rules can match on. Callers choose their names, so their number must be
/// bounded.
const MAX_HEADER_FACTS: usize = 64;

/// Format of the answer to a model request, given by the path of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a target has to do for a request.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Generate tokens with a model.
    Generate {
        /// Request body for the engine, always with `stream` set.
        body: Bytes,
        /// Prefix digests of the prompt.
        prefix: Vec<u64>,
        /// Format of the answer.
        answer_format: AnswerFormat,
        /// Whether the caller gets the answer as a stream of events.
        stream: bool,
    },
    /// Forward the request to a plain service.
    Proxy(ProxiedRequest),
}

/// Whether a request takes up a stream that an earlier one began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Continuation {
    /// It begins anew.
    #[default]
    New,
    /// It resumes the stream that the caller's request with this id began.
    Resumes(String),
    /// It resumes a stream without naming the request that began it.
    Unnamed,
}

impl Continuation {
    /// Returns what the headers of a request that names no earlier one tell.
    #[must_use]
    pub fn without_id(headers: &HeaderMap) -> Self {
        match headers.contains_key(LAST_EVENT_ID) {
            true => Self::Unnamed,
            false => Self::New,
        }
    }

    /// Id of the caller's request that began the stream, for logs; empty without one.
    #[must_use]
    pub fn log_id(&self) -> &str {
        match self {
            Self::Resumes(id) => id,
            Self::New | Self::Unnamed => "",
        }
    }
}

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Original body, which is spilled and identifies a repeat.
    pub body: Bytes,
    /// Id that the caller gave the request. Targets receive it.
    pub caller_request_id: Option<String>,
    /// Whether it resumes a stream.
    pub continuation: Continuation,
    /// Facts that rules match on.
    pub facts: Facts,
    /// Original head, which is spilled.
    pub head: Parts,
    /// Digests of the parts of the prompt that requests of the customer may share, see
    /// [`part_digest`].
    pub shared_parts: Vec<ContentDigest>,
    /// Rank of the customer.
    pub rank: Rank,
    /// Events of the stream that the caller has, if it resumes one.
    pub received_events: u32,
    /// Data centre that the request was spilled from.
    pub spilled_from: Option<DataCentre>,
    /// Weight of the customer.
    pub weight: u32,
    /// What a target has to do.
    pub operation: Operation,
}

impl CallerRequest {
    /// Parses a request in the native protocol.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] or [`ErrorKind::Forbidden`], with a message that says what to
    /// change.
    pub fn read(head: Parts, body: Bytes, cx: ReadContext<'_>) -> Result<Self> {
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
        let operation = match answer_format(&head) {
            Some(answer_format) => generate(&body, answer_format, &mut facts)?,
            None => Operation::Proxy(ProxiedRequest::new(&head, &body)),
        };
        let customer = facts.customer.clone();
        Ok(Self {
            body,
            caller_request_id: None,
            continuation: Continuation::without_id(&head.headers),
            facts,
            shared_parts: shared_blocks(&customer, &operation),
            rank: cx.customer.map_or(0, |customer| customer.rank),
            received_events: received_events(&head.headers),
            spilled_from: header_text(&head.headers, &SPILLED_FROM)?.map(str::to_owned),
            weight: cx.customer.map_or(1, |customer| customer.weight),
            head,
            operation,
        })
    }
}

impl CallerRequest {
    /// Returns the id of the request in logs: the caller's own one if there is one, else `id`.
    #[must_use]
    pub fn log_id<'a>(&'a self, id: &'a RequestId) -> &'a str {
        self.caller_request_id.as_deref().unwrap_or(id)
    }

    /// Returns a digest of the customer and the content of the request. Repeats under other ids
    /// have the same digest.
    #[must_use]
    pub fn content_digest(&self) -> ContentDigest {
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

    /// Returns the request key together with its customer.
    #[must_use]
    pub fn scoped_key(&self) -> Option<ScopedKey> {
        let key = self.facts.key.clone()?;
        Some((self.facts.customer.clone(), key))
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, message)
}

/// Returns the digest of a part of a customer's prompts. A customer can name any part, so what is known
/// of it must not hold for the requests of others.
#[must_use]
pub fn part_digest(customer: &str, part: &[u8]) -> ContentDigest {
    let mut hash = Xxh3::new();
    hash.update(&customer.len().to_le_bytes());
    hash.update(customer.as_bytes());
    hash.update(part);
    hash.digest()
}

/// Digests of the blocks of a prompt, all but the last.
fn shared_blocks(customer: &str, operation: &Operation) -> Vec<ContentDigest> {
    let Operation::Generate { prefix, .. } = operation else {
        return Vec::new();
    };
    let shared = prefix.split_last().map_or(&[][..], |(_, shared)| shared);
    let digests = shared.iter().take(MAX_SHARED_PARTS);
    let digests = digests.map(|block| part_digest(customer, &block.to_le_bytes()));
    digests.collect()
}

/// Returns the number of the last event that the caller has; 0 if it has none or numbers don't tell.
#[must_use]
pub fn received_events(headers: &HeaderMap) -> u32 {
    let last = headers.get(LAST_EVENT_ID);
    let last = last.and_then(|last| last.to_str().ok()?.trim().parse().ok());
    last.unwrap_or_default()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_| bad_request(format!("the header {name} must be plain text")))?;
    Ok(Some(value))
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    let Some(value) = header_text(headers, name)? else {
        return Ok(None);
    };
    let parsed = value.trim().parse();
    let parsed =
        parsed.map_err(|_| bad_request(format!("the header {name} can't be `{value}`")))?;
    Ok(Some(parsed))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let deadline = parse_header::<u64>(headers, &DEADLINE)?.map(Duration::from_millis);
    match deadline {
        Some(deadline) if deadline > MAX_DEADLINE => {
            let most = MAX_DEADLINE.as_millis();
            Err(bad_request(format!(
                "the header {DEADLINE} may be {most} at most"
            )))
        }
        _ => Ok(deadline),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool> {
    match header_text(headers, &IDEMPOTENT)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad_request(format!(
            "the header {IDEMPOTENT} must be `yes` or `no`"
        ))),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<String>> {
    let key = header_text(headers, &IDEMPOTENCY_KEY)?;
    match key {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_LEN => Err(bad_request(format!(
            "the header {IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_LEN} bytes"
        ))),
        _ => Ok(key.map(str::to_owned)),
    }
}

fn tier_wish(headers: &HeaderMap, cx: ReadContext<'_>) -> Result<Option<Tier>> {
    let (Some(name), Some(customer)) = (header_text(headers, &TIER)?, cx.customer) else {
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

/// Converts headers to facts. The bearer key is left out, so that it can't appear in rules or logs.
fn header_facts(headers: &HeaderMap) -> IndexMap<String, String> {
    headers
        .iter()
        .filter(|(name, _)| *name != hyper::header::AUTHORIZATION)
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .take(MAX_HEADER_FACTS)
        .collect()
}

fn answer_format(head: &Parts) -> Option<AnswerFormat> {
    match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => Some(AnswerFormat::Chat),
        (&Method::POST, "/v1/completions") => Some(AnswerFormat::Completion),
        _ => None,
    }
}

fn generate(body: &Bytes, answer_format: AnswerFormat, facts: &mut Facts) -> Result<Operation> {
    let mut json: Value = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("the body is not JSON: {e}")))?;
    let object = json
        .as_object_mut()
        .ok_or_else(|| bad_request("the body must be a JSON object"))?;
    let model = object
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| bad_request("give `model`, a string"))?;
    facts.model = Some(model.to_owned());
    let prompt = match answer_format {
        AnswerFormat::Chat => chat_prompt(object.get("messages"))?,
        AnswerFormat::Completion => object
            .get("prompt")
            .and_then(Value::as_str)
            .ok_or_else(|| bad_request("give `prompt`, a string"))?
            .to_owned(),
    };
    facts.prompt_tokens = prompt::estimate_tokens(&prompt);
    facts.max_tokens = match object.get("max_tokens") {
        None => DEFAULT_MAX_TOKENS,
        Some(value) => value
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .filter(|n| *n > 0)
            .ok_or_else(|| bad_request("`max_tokens` must be a whole number above 0"))?,
    };
    let stream = match object.get("stream") {
        None => false,
        Some(value) => value
            .as_bool()
            .ok_or_else(|| bad_request("`stream` must be true or false"))?,
    };
    // The engine always streams to the daemon: only its events show that it is still running, and
    // only a stream can be resumed after its connection broke.
    object.insert("stream".to_owned(), Value::Bool(true));
    object.insert("max_tokens".to_owned(), facts.max_tokens.into());
    Ok(Operation::Generate {
        body: json.to_string().into(),
        prefix: prompt::prefix_digests(&prompt),
        answer_format,
        stream,
    })
}

/// Concatenates the contents of all messages, one per line. Engines cache prefixes of this text.
fn chat_prompt(messages: Option<&Value>) -> Result<String> {
    let list = messages
        .and_then(Value::as_array)
        .filter(|list| !list.is_empty())
        .ok_or_else(|| bad_request("give `messages`, a list that is not empty"))?;
    let mut prompt = String::new();
    for message in list {
        let content = message
            .get("content")
            .and_then(Value::as_str)
            .ok_or_else(|| bad_request("each message needs `content`, a string"))?;
        if !prompt.is_empty() {
            prompt.push('\n');
        }
        prompt.push_str(content);
    }
    Ok(prompt)
}
