//! Runs one granted request on an engine and writes the answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use lilaccrank::error_kind::{ErrorKind, Executed};
use lilaccrank_http::runtime;

use crate::callers::answer_builder::{AnswerBuilder, EngineEvent};
use crate::callers::caller_request::AnswerFormat;
use crate::callers::refusal::{Refusal, Result};
use crate::request::answer_buffer::AnswerBuffer;
use crate::targets::engine_stream::{EngineStream, Notices};

/// Longest wait for a cancel before the slot is released and the caller gets its refusal.
///
/// An engine that responds does so within milliseconds, and its slot is then free. One that can't
/// be reached would delay the refusal by the timeouts of connecting and answering; the cancel
/// continues in the background.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of progress reports while tokens arrive.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Receives the observed progress of an engine, for the dispatcher's estimate of it.
pub trait Observer {
    /// Called for each token, with the number of tokens so far.
    fn decoded(&self, tokens: u32);
    /// Called when the first token arrived, with the time since the request was sent.
    fn first_token(&self, after: Duration);
    /// Called when more tokens arrived, with the mean time between them, and without tokens at intervals
    /// while the target is not read, since its caller has fallen behind.
    fn progress(&self, tokens: u32, step: Duration);
    /// Called if the head of an answer says that the target leaves.
    fn leaving(&self);
    /// Called if the target asks for a pause.
    fn pause(&self, pause: Duration);
}

/// Outcome of a request at its target.
pub struct RunOutcome {
    /// Number of tokens generated.
    pub decoded: u32,
    /// Number of prefill tokens that the engine computed, if reported.
    pub prefill: Option<u32>,
    /// `Ok` if the answer is complete.
    pub result: Result<()>,
}

impl RunOutcome {
    /// Outcome without any token counts.
    #[must_use]
    pub fn new(result: Result<()>) -> Self {
        Self {
            decoded: 0,
            prefill: None,
            result,
        }
    }
}

/// A request to an engine.
pub struct EngineRequest<'a> {
    /// Size limit of the events, in bytes.
    pub answer_limit: usize,
    /// Body, which asks for a stream.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub key: Option<&'a str>,
    /// Format of the answer.
    pub format: AnswerFormat,
    /// Set if the caller reads the answer as events.
    pub stream: bool,
}

/// Sends the request and writes the answer.
pub async fn run<O: Observer + 'static>(
    engine: EngineStream,
    req: EngineRequest<'_>,
    buffer: &AnswerBuffer,
    observer: &Rc<O>,
) -> RunOutcome {
    let mut progress = Progress::new();
    let mut builder = AnswerBuilder::new(req.format, req.stream, req.answer_limit);
    let mut run = Run {
        engine: Some(engine),
        observer: Rc::clone(observer),
    };
    let outcome = match &mut run.engine {
        Some(engine) => {
            read(
                engine,
                req,
                &mut builder,
                buffer,
                &**observer,
                &mut progress,
            )
            .await
        }
        None => unreachable!("the engine is taken at the end of a run"),
    };
    match &outcome {
        // The engine may still be computing, though nobody needs the answer.
        Err(refusal) if refusal.ran == Executed::Maybe => run.cancel().await,
        outcome => run.finish(outcome.is_ok()),
    }
    RunOutcome {
        decoded: progress.decoded,
        prefill: builder.prefill_tokens(),
        result: outcome,
    }
}

/// A request at an engine, which is cancelled there if it is dropped.
struct Run<O: Observer + 'static> {
    engine: Option<EngineStream>,
    observer: Rc<O>,
}

impl<O: Observer + 'static> Run<O> {
    fn finish(mut self, is_complete: bool) {
        if let Some(engine) = self.engine.take().filter(|_| is_complete) {
            engine.finish();
        }
    }

    async fn cancel(mut self) {
        if let Some(engine) = self.engine.take() {
            cancel(engine, &*self.observer).await;
        }
    }
}

impl<O: Observer + 'static> Drop for Run<O> {
    fn drop(&mut self) {
        if let Some(engine) = self.engine.take() {
            // The observer holds the slot, which must not be granted before the engine has freed it.
            let observer = Rc::clone(&self.observer);
            runtime::spawn(async move { cancel(engine, &*observer).await });
        }
    }
}

async fn cancel(engine: EngineStream, observer: &impl Observer) {
    let cancelling = runtime::spawn(engine.cancel());
    let cancelled = monoio::time::timeout(CANCEL_TIMEOUT, cancelling).await;
    pass_on(cancelled.unwrap_or_default(), observer);
}

async fn read(
    engine: &mut EngineStream,
    req: EngineRequest<'_>,
    builder: &mut AnswerBuilder,
    buffer: &AnswerBuffer,
    observer: &impl Observer,
    progress: &mut Progress,
) -> Result<()> {
    let path = match req.format {
        AnswerFormat::Chat => "/v1/chat/completions",
        AnswerFormat::Completion => "/v1/completions",
    };
    let sent = engine.send(path, req.key, req.body).await;
    pass_on(engine.take_notices(), observer);
    sent?;
    loop {
        progress.wait_until_wanted(buffer, observer).await;
        // The stream may have been resumed, by an answer with a head of its own.
        let event = engine.next().await;
        pass_on(engine.take_notices(), observer);
        let Some(data) = event? else {
            break;
        };
        match builder.push_event(&data, buffer)? {
            EngineEvent::Done => return Ok(()),
            EngineEvent::Other => {}
            EngineEvent::Token => progress.token(observer),
        }
    }
    let message = "the target closed the stream before its end";
    Err(Refusal::new(ErrorKind::BrokenAnswer, message).connection_lost())
}

fn pass_on(notices: Notices, observer: &impl Observer) {
    if notices.leaving {
        observer.leaving();
    }
    if let Some(pause) = notices.pause {
        observer.pause(pause);
    }
}

struct Progress {
    decoded: u32,
    reported: u32,
    reported_at: Instant,
    sent_at: Instant,
}

impl Progress {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            decoded: 0,
            reported: 0,
            reported_at: now,
            sent_at: now,
        }
    }

    /// Waits until the caller needs more of the answer. That is no time between tokens.
    async fn wait_until_wanted(&mut self, buffer: &AnswerBuffer, observer: &impl Observer) {
        if buffer.is_wanted() {
            return;
        }
        let since = Instant::now();
        while !buffer.is_wanted_within(PROGRESS_INTERVAL).await {
            observer.progress(0, Duration::ZERO);
        }
        self.reported_at += since.elapsed();
    }

    fn token(&mut self, observer: &impl Observer) {
        self.decoded += 1;
        observer.decoded(self.decoded);
        let now = Instant::now();
        if self.decoded == 1 {
            observer.first_token(now - self.sent_at);
            self.reported = 1;
            self.reported_at = now;
            return;
        }
        let since = now - self.reported_at;
        if since >= PROGRESS_INTERVAL {
            let tokens = self.decoded - self.reported;
            observer.progress(tokens, since / tokens);
            self.reported = self.decoded;
            self.reported_at = now;
        }
    }
}
