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
use crate::targets::protocol::{RateLimit, Said, Sending, TargetProtocol};

/// Result of one send.
pub type Result<T, E = Failed> = std::result::Result<T, E>;

/// Largest answer that is held until it is whole. Answers of plain services have a few kilobytes;
/// what is longer passes on piece by piece.
const HELD_LIMIT: usize = 256 << 10;
/// Largest answer of a target that did not run the request, which is read so that its connection
/// can serve another one.
const NOT_RUN_LIMIT: usize = 64 << 10;

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
pub struct Failed {
    /// The target's own answer, for the caller if no other target gives a better one.
    pub answer: Option<(Head, Bytes)>,
    /// What it says of the request.
    pub how: Failure,
    /// What the caller is told.
    pub refusal: Refusal,
}

/// The answer as far as it has reached the caller.
#[derive(Debug, Default)]
pub struct Passed {
    /// Whether the last answer was delimited by its connection, which a crash ends as well.
    pub ended_with_connection: bool,
    /// Events passed on.
    pub events: u32,
    /// Id of the last event that was passed on.
    pub last_event: Option<String>,
}

/// Sends requests to targets.
pub struct Forwarding<'a, O> {
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
    pub run: &'a AnswerBuffer,
    /// Whether the answer is a stream of events.
    pub stream: bool,
}

impl<O: Observer> Forwarding<'_, O> {
    /// Sends a request once and passes its answer on.
    ///
    /// # Errors
    ///
    /// There is no whole answer; what came of it stands in `passed` and in the error.
    pub async fn send(&self, sending: &Sending<'_>, passed: &mut Passed) -> Result<()> {
        let req = self.protocol.request(sending);
        let sent_at = Instant::now();
        let (head, body, connection) = self.exchange(&sending.target.address, req).await?;
        if head.headers.contains_key(CONTENT_ENCODING) {
            // Callers ask for plain bodies; what is coded was made by something in between.
            return Err(failed(ErrorKind::BrokenAnswer, "the answer is coded"));
        }
        passed.ended_with_connection = ends_with_connection(&head);
        let said = self.protocol.read(&head, sending);
        if said != Said::Stray {
            self.observer.rate_limit(self.protocol.rate_limit(&head));
        }
        match said {
            Said::Stray => {
                let message = "the target sent the answer to another request";
                Err(failed(ErrorKind::BrokenAnswer, message))
            }
            Said::NotRun => Err(self.not_run(&head, body, connection).await),
            Said::Failed => Err(self.target_failed(head, body, connection).await),
            Said::Answer if self.stream && head.status.is_success() => {
                self.pass_events(head, body, passed, sent_at).await?;
                self.client.release(connection);
                Ok(())
            }
            Said::Answer => self.pass_whole(head, body, connection).await,
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

    async fn not_run(&self, head: &Parts, body: Incoming, connection: Connection) -> Failed {
        let reading = body::read(body, NOT_RUN_LIMIT);
        if let Ok(Ok(_)) = monoio::time::timeout(self.bounds.next, reading).await {
            self.client.release(connection);
        }
        let message = format!("the target did not run it, status {}", head.status);
        Failed {
            answer: None,
            how: Failure::NotRun,
            refusal: Refusal::new(ErrorKind::TargetRefused, message).ran(Executed::No),
        }
    }

    async fn target_failed(&self, head: Parts, body: Incoming, connection: Connection) -> Failed {
        let message = format!("the target failed with status {}", head.status);
        let mut failed = failed(ErrorKind::TargetFailed, message);
        let reading = body::read(body, HELD_LIMIT);
        if let Ok(Ok(bytes)) = monoio::time::timeout(self.bounds.next, reading).await {
            self.client.release(connection);
            failed.answer = Some((passed_on(&head), bytes));
        }
        failed
    }

    /// Passes on an answer that is no stream of events.
    async fn pass_whole(&self, head: Parts, body: Incoming, connection: Connection) -> Result<()> {
        let mut body = body;
        let mut held = BytesMut::new();
        let mut begun = false;
        loop {
            let frame = monoio::time::timeout(self.bounds.next, body.frame()).await;
            let frame = frame.map_err(|_| broken("the target stopped in its answer", begun))?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| lost("the target broke off its answer", begun))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if begun {
                self.run.push(data);
            } else {
                held.extend_from_slice(&data);
            }
            if !begun && held.len() > HELD_LIMIT {
                begun = true;
                self.run.set_head(passed_on(&head));
                self.run.push(held.split().freeze());
            }
            if self.run.size() > self.bounds.answer_limit {
                return Err(broken("the answer is over the limit", begun));
            }
        }
        if !begun {
            self.run.set_head(passed_on(&head));
            self.run.push(held.freeze());
        }
        self.client.release(connection);
        Ok(())
    }

    /// Passes on whole events only: what is left of one that broke off could not be told from
    /// its beginning by a caller that reads on at another target.
    async fn pass_events(
        &self,
        head: Parts,
        mut body: Incoming,
        passed: &mut Passed,
        sent_at: Instant,
    ) -> Result<()> {
        let mut cutter = Cutter::default();
        let mut came = 0;
        loop {
            let patience = if came == 0 {
                self.bounds.first.saturating_sub(sent_at.elapsed())
            } else {
                self.bounds.next
            };
            let frame = monoio::time::timeout(patience, body.frame()).await;
            let frame = frame.map_err(|_| passed.silent())?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| passed.lost("the target broke off its stream"))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            cutter.push(&data);
            while let Some(event) = cutter
                .next_event()
                .map_err(|e| passed.broken(&e.to_string()))?
            {
                if !passed.is_next(event.id.as_deref()) {
                    continue;
                }
                self.run.set_head(passed_on(&head));
                self.observer.event(came == 0, sent_at.elapsed());
                came += 1;
                passed.note(event.id);
                self.run.push(event.bytes);
            }
            if self.run.size() > self.bounds.answer_limit {
                return Err(passed.broken("the answer is over the limit"));
            }
        }
        if cutter.is_in_event() {
            let mut torn = passed.broken("the stream ended inside an event");
            torn.refusal.connection_lost = ends_with_connection(&head);
            return Err(torn);
        }
        self.run.set_head(passed_on(&head));
        Ok(())
    }
}

impl Passed {
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

    fn note(&mut self, id: Option<String>) {
        self.events += 1;
        if id.is_some() {
            self.last_event = id;
        }
    }

    fn broken(&self, message: &str) -> Failed {
        broken(message, self.events > 0)
    }

    fn lost(&self, message: &str) -> Failed {
        lost(message, self.events > 0)
    }

    fn silent(&self) -> Failed {
        let mut silent = self.broken("the target went silent in its stream");
        if self.events == 0 {
            silent.refusal.kind = ErrorKind::TargetSilent;
        }
        silent
    }
}

fn passed_on(head: &Parts) -> Head {
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

fn failed(kind: ErrorKind, message: impl Into<String>) -> Failed {
    Failed {
        answer: None,
        how: Failure::Failed,
        refusal: Refusal::new(kind, message).ran(Executed::Maybe),
    }
}

fn broken(message: &str, begun: bool) -> Failed {
    let mut broken = failed(ErrorKind::BrokenAnswer, message);
    if begun {
        broken.how = Failure::BrokenOff;
    }
    broken
}

fn lost(message: &str, begun: bool) -> Failed {
    let mut lost = broken(message, begun);
    lost.refusal.connection_lost = true;
    lost
}

fn unanswered(e: &client::Error) -> Failed {
    let kind = match e {
        client::Error::Silent { .. } => ErrorKind::TargetSilent,
        client::Error::Connect { .. } | client::Error::Exchange { .. } => ErrorKind::TargetFailed,
    };
    let mut unanswered = failed(kind, e.to_string());
    unanswered.refusal.connection_lost = e.is_connection_lost();
    if e.sent_nothing() {
        unanswered.how = Failure::Unsent;
        unanswered.refusal.ran = Executed::No;
    }
    unanswered
}
