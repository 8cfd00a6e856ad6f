//! Passes a request on to a target, and its answer back, untouched.
//!
//! Nothing reaches the caller before the first piece of the answer that can stand by itself: the
//! whole answer if it is short, the first event of a stream. Up to then another target can still
//! answer instead.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use lilaccrank::attempts::Failure;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::client::{self, Client, Connection, Limits};
use lilaccrank_http::events::Cutter;

use crate::callers::end_to_end;
use crate::callers::refusal::{REFUSAL, Refusal};
use crate::request::answer_buffer::{AnswerBuffer, Head};
use crate::targets::protocol::{AnswerKind, OutgoingRequest, RateLimit, TargetProtocol};

/// Result of one send.
pub type Result<T, E = SendFailure> = std::result::Result<T, E>;

/// Largest answer that is held until it is whole. Answers of plain services have a few kilobytes;
/// what is longer passes on piece by piece.
const HOLD_BACK_LIMIT: usize = 256 << 10;
/// Largest answer of a target that did not run the request, which is read so that its connection
/// can serve another one.
const NOT_RUN_BODY_LIMIT: usize = 64 << 10;

/// Bounds of one send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest answer in bytes.
    pub answer_limit: usize,
    /// Time for a connection.
    pub connect: Duration,
    /// Time to the first piece of the answer.
    pub first: Duration,
    /// Time between two pieces.
    pub next: Duration,
}

/// What is seen of an answer while it comes.
pub trait Observer {
    /// An event came; `first` if it is the first one.
    fn event(&self, first: bool, since_sent: Duration);

    /// The answer's head advertised this rate limit.
    fn rate_limit(&self, limit: RateLimit);
}

/// One send that gave no whole answer.
#[derive(Debug)]
pub struct SendFailure {
    /// The target's own answer, for the caller if no other target gives a better one.
    pub answer: Option<(Head, Bytes)>,
    /// What it says of the request.
    pub failure: Failure,
    /// What the caller is told.
    pub refusal: Refusal,
}

/// The answer as far as it has reached the caller.
#[derive(Debug, Default)]
pub struct Delivered {
    /// Whether the last answer was delimited by its connection, which a crash ends as well.
    pub ended_with_connection: bool,
    /// Events passed on.
    pub events: u32,
    /// Id of the last event that was passed on.
    pub last_event: Option<String>,
}

/// Sends requests to targets.
pub struct Forwarder<'a, O> {
    /// Bounds of the send.
    pub bounds: Bounds,
    /// Connections.
    pub client: &'a Client,
    /// Who is told.
    pub observer: &'a O,
    /// What targets speak.
    pub protocol: &'a dyn TargetProtocol,
    /// Longest rest of an idle connection that is used again.
    pub rest: Duration,
    /// Where the answer goes.
    pub buffer: &'a AnswerBuffer,
    /// Whether the answer is a stream of events.
    pub stream: bool,
}

impl<O: Observer> Forwarder<'_, O> {
    /// Sends a request once and passes its answer on.
    ///
    /// # Errors
    ///
    /// There is no whole answer; what came of it stands in `delivered` and in the error.
    pub async fn send(
        &self,
        outgoing: &OutgoingRequest<'_>,
        delivered: &mut Delivered,
    ) -> Result<()> {
        let req = self.protocol.request(outgoing);
        let sent_at = Instant::now();
        let (head, body, connection) = self.exchange(&outgoing.target.address, req).await?;
        if head.headers.contains_key(CONTENT_ENCODING) {
            // Callers ask for plain bodies; what is coded was made by something in between.
            return Err(failed(ErrorKind::BrokenAnswer, "the answer is coded"));
        }
        delivered.ended_with_connection = ends_with_connection(&head);
        let kind = self.protocol.classify(&head, outgoing);
        if kind != AnswerKind::Mismatched {
            self.observer.rate_limit(self.protocol.rate_limit(&head));
        }
        match kind {
            AnswerKind::Mismatched => {
                let message = "the target sent the answer to another request";
                Err(failed(ErrorKind::BrokenAnswer, message))
            }
            AnswerKind::NotRun => Err(self.not_run(&head, body, connection).await),
            AnswerKind::Failed => Err(self.target_failed(head, body, connection).await),
            AnswerKind::Answer if self.stream && head.status.is_success() => {
                self.forward_events(head, body, delivered, sent_at).await?;
                self.client.release(connection);
                Ok(())
            }
            AnswerKind::Answer => self.forward_whole(head, body, connection).await,
        }
    }

    async fn exchange(
        &self,
        address: &str,
        req: Request<Body>,
    ) -> Result<(Parts, Incoming, Connection)> {
        let limits = Limits {
            connect: self.bounds.connect,
            head: self.bounds.first,
            rest: self.rest,
        };
        let sent = self.client.send(address, req, limits).await;
        let (res, connection) = sent.map_err(|e| unanswered(&e))?;
        let (mut head, body) = res.into_parts();
        head.headers.remove(REFUSAL);
        Ok((head, body, connection))
    }

    async fn not_run(&self, head: &Parts, body: Incoming, connection: Connection) -> SendFailure {
        let reading = body::read(body, NOT_RUN_BODY_LIMIT);
        if let Ok(Ok(_)) = monoio::time::timeout(self.bounds.next, reading).await {
            self.client.release(connection);
        }
        let message = format!("the target did not run it, status {}", head.status);
        SendFailure {
            answer: None,
            failure: Failure::NotRun,
            refusal: Refusal::new(ErrorKind::TargetRefused, message).ran(Executed::No),
        }
    }

    async fn target_failed(
        &self,
        head: Parts,
        body: Incoming,
        connection: Connection,
    ) -> SendFailure {
        let message = format!("the target failed with status {}", head.status);
        let mut failed = failed(ErrorKind::TargetFailed, message);
        let reading = body::read(body, HOLD_BACK_LIMIT);
        if let Ok(Ok(bytes)) = monoio::time::timeout(self.bounds.next, reading).await {
            self.client.release(connection);
            failed.answer = Some((forwarded_head(&head), bytes));
        }
        failed
    }

    /// Passes on an answer that is no stream of events.
    async fn forward_whole(
        &self,
        head: Parts,
        body: Incoming,
        connection: Connection,
    ) -> Result<()> {
        let mut body = body;
        let mut held_back = BytesMut::new();
        let mut has_begun = false;
        loop {
            let frame = monoio::time::timeout(self.bounds.next, body.frame()).await;
            let frame = frame.map_err(|_| broken("the target stopped in its answer", has_begun))?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| lost("the target broke off its answer", has_begun))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if has_begun {
                self.buffer.push(data);
            } else {
                held_back.extend_from_slice(&data);
            }
            if !has_begun && held_back.len() > HOLD_BACK_LIMIT {
                has_begun = true;
                self.buffer.set_head(forwarded_head(&head));
                self.buffer.push(held_back.split().freeze());
            }
            if self.buffer.size() > self.bounds.answer_limit {
                return Err(broken("the answer is over the limit", has_begun));
            }
        }
        if !has_begun {
            self.buffer.set_head(forwarded_head(&head));
            self.buffer.push(held_back.freeze());
        }
        self.client.release(connection);
        Ok(())
    }

    /// Passes on whole events only: what is left of one that broke off could not be told from
    /// its beginning by a caller that reads on at another target.
    async fn forward_events(
        &self,
        head: Parts,
        mut body: Incoming,
        delivered: &mut Delivered,
        sent_at: Instant,
    ) -> Result<()> {
        let mut cutter = Cutter::default();
        let mut event_count = 0;
        loop {
            let timeout = if event_count == 0 {
                self.bounds.first.saturating_sub(sent_at.elapsed())
            } else {
                self.bounds.next
            };
            let frame = monoio::time::timeout(timeout, body.frame()).await;
            let frame = frame.map_err(|_| delivered.silent())?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| delivered.lost("the target broke off its stream"))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            cutter.push(&data);
            while let Some(event) = cutter
                .next_event()
                .map_err(|e| delivered.broken(&e.to_string()))?
            {
                if !delivered.is_next(event.id.as_deref()) {
                    continue;
                }
                self.buffer.set_head(forwarded_head(&head));
                self.observer.event(event_count == 0, sent_at.elapsed());
                event_count += 1;
                delivered.record(event.id);
                self.buffer.push(event.bytes);
            }
            if self.buffer.size() > self.bounds.answer_limit {
                return Err(delivered.broken("the answer is over the limit"));
            }
        }
        if cutter.is_in_event() {
            let mut truncated = delivered.broken("the stream ended inside an event");
            truncated.refusal.connection_lost = ends_with_connection(&head);
            return Err(truncated);
        }
        self.buffer.set_head(forwarded_head(&head));
        Ok(())
    }
}

impl Delivered {
    /// Whether an event comes after all that were passed on. A target that goes on after an event
    /// may repeat it.
    fn is_next(&self, id: Option<&str>) -> bool {
        let (Some(last), Some(id)) = (self.last_event.as_deref(), id) else {
            return true;
        };
        match (last.parse::<u64>(), id.parse::<u64>()) {
            (Ok(last), Ok(id)) => last < id,
            _ => last != id,
        }
    }

    fn record(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
        }
    }

    fn broken(&self, message: &str) -> SendFailure {
        broken(message, self.events > 0)
    }

    fn lost(&self, message: &str) -> SendFailure {
        lost(message, self.events > 0)
    }

    fn silent(&self) -> SendFailure {
        let mut silent = self.broken("the target went silent in its stream");
        if self.events == 0 {
            silent.refusal.kind = ErrorKind::TargetSilent;
        }
        silent
    }
}

fn forwarded_head(head: &Parts) -> Head {
    Head {
        headers: end_to_end::headers(&head.headers),
        status: head.status,
    }
}

/// Whether an answer has no length and is delimited by its connection.
fn ends_with_connection(head: &Parts) -> bool {
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING];
    !framed.iter().any(|name| head.headers.contains_key(name))
}

fn failed(kind: ErrorKind, message: impl Into<String>) -> SendFailure {
    SendFailure {
        answer: None,
        failure: Failure::Failed,
        refusal: Refusal::new(kind, message).ran(Executed::Maybe),
    }
}

fn broken(message: &str, has_begun: bool) -> SendFailure {
    let mut broken = failed(ErrorKind::BrokenAnswer, message);
    if has_begun {
        broken.failure = Failure::BrokenOff;
    }
    broken
}

fn lost(message: &str, has_begun: bool) -> SendFailure {
    let mut lost = broken(message, has_begun);
    lost.refusal.connection_lost = true;
    lost
}

fn unanswered(e: &client::Error) -> SendFailure {
    let kind = match e {
        client::Error::Silent { .. } => ErrorKind::TargetSilent,
        client::Error::Connect { .. } | client::Error::Exchange { .. } => ErrorKind::TargetFailed,
    };
    let mut unanswered = failed(kind, e.to_string());
    unanswered.refusal.connection_lost = e.is_connection_lost();
    if e.sent_nothing() {
        unanswered.failure = Failure::Unsent;
        unanswered.refusal.ran = Executed::No;
    }
    unanswered
}
