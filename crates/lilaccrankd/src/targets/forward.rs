//! Forwards a request to a target, and the answer to the caller, unmodified.
//!
//! Nothing is sent to the caller before the first part of the answer that is valid by itself: a
//! short answer as a whole, or the first event of a stream. Until then, another target can still
//! answer instead.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use lilaccrank::attempts::Failure;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::body;
use lilaccrank_http::client::{Client, Connection, Limits};
use lilaccrank_http::timeout;
use lilaccrank_http::unproductive::{self, Meter};

use crate::callers::end_to_end;
use crate::callers::refusal::{REFUSAL, Refusal};
use crate::request::answer_buffer::{AnswerBuffer, Head};
use crate::targets::protocol::{self, AnswerKind, OutgoingRequest, RateLimit, TargetProtocol};
use crate::targets::transport::Transport;

mod delivered;
mod event_reader;
mod failure;
mod held_back;

pub use delivered::Delivered;
pub use failure::SendFailure;

use event_reader::EventReader;
use failure::{broken, failed, lost, overtaken};
use held_back::HeldBack;

/// Result of one send.
pub type Result<T, E = SendFailure> = std::result::Result<T, E>;

/// Time from the first event of an answer in which a target may crash under its prompt.
pub const BEGINNING: Duration = Duration::from_secs(1);
/// Timeout of an event that another target could bring. Targets write an event as a whole, and callers leave a
/// stream after a gap of two seconds: half of that is left to the other target.
pub const REPEATABLE_EVENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the body of a failure or refusal. The head has told it, and the request may have to go on at
/// another target before its caller leaves, after a gap of two seconds.
const REST_TIMEOUT: Duration = Duration::from_secs(1);
/// Size limit of the answer of a target that did not run the request. The answer is read so that
/// the connection can be used again.
const NOT_RUN_BODY_LIMIT: usize = 64 << 10;

/// Interval of reports that a target is not read. It counts as silent without.
pub const PAUSE_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of one send.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Timeout of connecting.
    pub connect: Duration,
    /// Timeout of an event, from its first bytes to its last.
    pub event: Duration,
    /// Timeout of the first part of the answer.
    pub first: Duration,
    /// Timeout between two parts.
    pub next: Duration,
}

/// Observes an answer while it arrives.
pub trait Observer {
    /// Called before a part of the answer is forwarded. Returns `false` if another run delivers the
    /// answer by now.
    fn claim(&self) -> bool;

    /// Called when the target is no longer read, since its caller has fallen behind, and at intervals while
    /// that lasts.
    fn paused(&self);

    /// Called when the target is read again after such a pause.
    fn resumed(&self);

    /// Called for each event; `first` for the first one.
    fn event(&self, first: bool, since_sent: Duration);

    /// Called with what an answer says of the requests in a second that the target can turn away.
    fn brittleness(&self, limit: Option<u32>);

    /// Called when the head of a stream has arrived.
    fn head(&self);

    /// Called if the head of an answer says that the target leaves.
    fn leaving(&self);

    /// Called if the target asks for a pause.
    fn pause(&self, pause: Duration);

    /// Called with the rate limit that the head of an answer advertises.
    fn rate_limit(&self, limit: RateLimit);
}

/// Sends requests to targets and forwards the answers.
pub struct Forwarder<'a, O> {
    /// Limits of the send.
    pub bounds: Bounds,
    /// Client that keeps the connections.
    pub client: &'a Client,
    /// Observer of the answer.
    pub observer: &'a O,
    /// Protocol of the targets.
    pub protocol: &'a dyn TargetProtocol,
    /// Longest idle time of a connection that is used again.
    pub rest: Duration,
    /// Transport to the target.
    pub transport: &'a Transport,
    /// Buffer that the answer is written to.
    pub buffer: &'a AnswerBuffer,
    /// Set if the answer is a stream of events.
    pub stream: bool,
}

impl<O: Observer> Forwarder<'_, O> {
    /// Sends a request once and forwards its answer.
    ///
    /// # Errors
    ///
    /// If there is no complete answer. `delivered` and the error hold what arrived of it.
    pub async fn send(
        &self,
        outgoing: &OutgoingRequest<'_>,
        delivered: &mut Delivered,
    ) -> Result<()> {
        let sent_at = Instant::now();
        let (head, body, connection) = self.exchange(outgoing).await?;
        let exchange = connection.last_exchange();
        let answer = (head, body, connection);
        let forwarded = self.forward(outgoing, answer, delivered, sent_at).await;
        forwarded.map_err(|mut failed| {
            failed.exchange = Some(exchange);
            failed
        })
    }

    /// Forwards an answer whose head has arrived.
    async fn forward(
        &self,
        outgoing: &OutgoingRequest<'_>,
        (head, body, connection): (Parts, Incoming, Connection),
        delivered: &mut Delivered,
        sent_at: Instant,
    ) -> Result<()> {
        if !protocol::is_final(head.status) {
            let message = format!("the target answered with status {}", head.status.as_u16());
            return Err(failed(ErrorKind::BrokenAnswer, message));
        }
        if !self.is_own_answer(&head, outgoing, &connection) {
            let message = "the target sent the answer to another request";
            return Err(failed(ErrorKind::BrokenAnswer, message));
        }
        if self.protocol.says_leaving(&head, outgoing) {
            self.observer.leaving();
        }
        if let Some(pause) = self.protocol.pause(&head, outgoing) {
            self.observer.pause(pause);
        }
        if head.headers.contains_key(CONTENT_ENCODING) {
            // Callers ask for unencoded bodies, so an encoded one comes from an intermediary.
            return Err(failed(ErrorKind::BrokenAnswer, "the answer is coded"));
        }
        if !is_delimited_as_sent(&head) {
            // Its end can't be told from a break, or its body is coded.
            return Err(failed(
                ErrorKind::BrokenAnswer,
                "the answer has a coding of its transfer",
            ));
        }
        delivered.ended_with_connection = ends_with_connection(&head);
        let kind = self.protocol.classify(&head, outgoing);
        if kind != AnswerKind::Mismatched {
            self.observer.rate_limit(self.protocol.rate_limit(&head));
            self.observer.brittleness(self.protocol.brittleness(&head));
        }
        match kind {
            AnswerKind::Mismatched => {
                let message = "the target sent no valid answer to the request";
                Err(failed(ErrorKind::BrokenAnswer, message))
            }
            AnswerKind::Misdirected => {
                let mut failed = self.not_run(&head, body, connection).await;
                failed.is_misdirected = true;
                Err(failed)
            }
            AnswerKind::NotRun => Err(self.not_run(&head, body, connection).await),
            AnswerKind::Failed => Err(self.target_failed(head, body, connection).await),
            AnswerKind::Answer if self.stream && head.status.is_success() => {
                self.observer.head();
                let meter = connection.meter();
                self.forward_events(head, body, delivered, sent_at, meter)
                    .await?;
                self.client.release(connection);
                Ok(())
            }
            // The caller would take its body for a part of the stream.
            AnswerKind::Answer if delivered.events() > 0 => {
                let message = format!(
                    "the target answered the rest of a stream with {}",
                    head.status
                );
                Err(delivered.broken(&message))
            }
            AnswerKind::Answer => self.forward_whole(head, body, connection).await,
        }
    }

    /// Of an answer without an id, a relay knows whether its connection to the target has carried anything else.
    fn is_own_answer(
        &self,
        head: &Parts,
        outgoing: &OutgoingRequest<'_>,
        connection: &Connection,
    ) -> bool {
        let sent = &outgoing.proxied.headers;
        let attribution = self.protocol.attribution(sent, &head.headers);
        let is_first =
            connection.last_exchange().earlier_requests == 0 && !self.transport.lacks_attribution();
        attribution.is_own(is_first)
    }

    async fn exchange(
        &self,
        outgoing: &OutgoingRequest<'_>,
    ) -> Result<(Parts, Incoming, Connection)> {
        let limits = Limits {
            connect: self.bounds.connect,
            head: self.bounds.first,
            max_idle: self.rest,
        };
        let started_at = Instant::now();
        let build = || {
            let elapsed = started_at.elapsed();
            let remaining = outgoing.remaining;
            self.protocol.request(&OutgoingRequest {
                remaining: remaining.map(|remaining| remaining.saturating_sub(elapsed)),
                ..*outgoing
            })
        };
        let sent = self.transport.send(build, limits).await;
        let (res, connection) = sent.map_err(|e| SendFailure::new(e.refusal()))?;
        let (mut head, body) = res.into_parts();
        head.headers.remove(REFUSAL);
        Ok((head, body, connection))
    }

    async fn not_run(&self, head: &Parts, body: Incoming, connection: Connection) -> SendFailure {
        self.read_rest(body, connection, NOT_RUN_BODY_LIMIT).await;
        let message = format!("the target did not run it, status {}", head.status);
        let refusal = Refusal::new(ErrorKind::TargetRefused, message).ran(Executed::No);
        let mut not_run = SendFailure::new(refusal);
        not_run.failure = Failure::NotRun;
        not_run
    }

    async fn target_failed(
        &self,
        head: Parts,
        body: Incoming,
        connection: Connection,
    ) -> SendFailure {
        let message = format!("the target failed with status {}", head.status);
        let mut failed = failed(ErrorKind::TargetFailed, message);
        let body = self.read_rest(body, connection, held_back::LIMIT).await;
        failed.answer = body.map(|body| (forwarded_head(&head), body));
        failed
    }

    /// Reads the body of an answer whose head has told the outcome, so that the connection can be used again.
    /// Returns `None` if it is too long or takes too long.
    async fn read_rest(
        &self,
        body: Incoming,
        connection: Connection,
        limit: usize,
    ) -> Option<Bytes> {
        let meter = connection.meter();
        meter.start();
        match timeout::timeout(REST_TIMEOUT, body::read(body, limit)).await {
            Ok(Ok(body)) => {
                meter.stop();
                self.client.release(connection);
                return Some(body);
            }
            Ok(Err(e)) => log::debug!("the rest of an answer could not be read: {e}"),
            Err(_) => log::debug!("the rest of an answer was not whole after {REST_TIMEOUT:?}"),
        }
        None
    }

    /// Waits until the caller needs more of the answer. Returns the time that took.
    async fn wait_until_wanted(&self) -> Duration {
        let began_at = Instant::now();
        if !self.buffer.is_wanted() {
            self.observer.paused();
            while !self.buffer.is_wanted_within(PAUSE_REPORT_INTERVAL).await {
                self.observer.paused();
            }
            self.observer.resumed();
        }
        began_at.elapsed()
    }

    /// Forwards an answer that is not a stream of events.
    async fn forward_whole(
        &self,
        head: Parts,
        body: Incoming,
        connection: Connection,
    ) -> Result<()> {
        let mut body = body;
        let mut held_back = Some(HeldBack::new(self.buffer));
        let meter = connection.meter();
        meter.start();
        loop {
            self.wait_until_wanted().await;
            let has_begun = held_back.is_none();
            let frame = timeout::timeout(self.bounds.next, body.frame()).await;
            let frame = frame.map_err(|_| broken("the target stopped in its answer", has_begun))?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|e| match unproductive::is_malformed(&e) {
                true => broken("the target sent what is no part of its answer", has_begun),
                false => lost("the target broke off its answer", has_begun),
            })?;
            meter.record_progress();
            self.transport.record_heard();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match &mut held_back {
                Some(held_back) => held_back.extend(&data),
                None => self.buffer.push(data),
            }
            if let Some(full) = held_back.take_if(|held_back| held_back.is_full()) {
                if !self.observer.claim() {
                    return Err(overtaken());
                }
                self.buffer.set_head(forwarded_head(&head));
                full.release(self.buffer);
            }
        }
        meter.stop();
        if let Some(whole) = held_back {
            if !self.observer.claim() {
                return Err(overtaken());
            }
            self.buffer.set_head(forwarded_head(&head));
            whole.release(self.buffer);
        }
        self.client.release(connection);
        Ok(())
    }

    /// Forwards complete events only. A caller that continues at another target could not tell the
    /// rest of a truncated event from its beginning.
    async fn forward_events(
        &self,
        head: Parts,
        body: Incoming,
        delivered: &mut Delivered,
        sent_at: Instant,
        meter: Meter,
    ) -> Result<()> {
        let mut events = EventReader::new(body, meter, self.bounds.event, self.transport);
        let mut event_count = 0;
        let mut paused = Duration::ZERO;
        loop {
            paused += self.wait_until_wanted().await;
            let limit = if event_count == 0 {
                let awaited = sent_at.elapsed().saturating_sub(paused);
                self.bounds.first.saturating_sub(awaited)
            } else {
                self.bounds.next
            };
            let event = events.next(limit).await;
            let Some(event) = event.map_err(|e| delivered.failed(&e))? else {
                break;
            };
            if !self.observer.claim() {
                return Err(overtaken());
            }
            if !delivered.is_next(event.id.as_deref()) {
                continue;
            }
            self.buffer.set_head(forwarded_head(&head));
            self.observer.event(event_count == 0, sent_at.elapsed());
            event_count += 1;
            delivered.record(event.id);
            self.buffer.push(event.bytes);
        }
        events.finish();
        if events.is_in_event() {
            let mut truncated = delivered.broken("the stream ended inside an event");
            truncated.refusal.connection_lost = ends_with_connection(&head);
            return Err(truncated);
        }
        if event_count == 0 && ends_with_connection(&head) {
            return Err(delivered.lost("the stream ended before its first event"));
        }
        if !self.observer.claim() {
            return Err(overtaken());
        }
        self.buffer.set_head(forwarded_head(&head));
        Ok(())
    }
}

fn forwarded_head(head: &Parts) -> Head {
    Head {
        headers: end_to_end::headers(&head.headers),
        status: head.status,
    }
}

/// Returns `true` if an answer has no length and is delimited by the end of its connection.
fn ends_with_connection(head: &Parts) -> bool {
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING];
    !framed.iter().any(|name| head.headers.contains_key(name))
}

/// Returns `true` unless an answer has another transfer coding than that of chunks.
fn is_delimited_as_sent(head: &Parts) -> bool {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}
