//! Takes requests in and gives their answers out.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::{mpsc, oneshot};
use futures::future::{self, Either};
use futures::{SinkExt, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use lilaccrank::ids::RequestId;
use lilaccrank::prompt;
use lilaccrank_http::body::{self, Body, BoxError};
use lilaccrank_http::runtime;

use crate::answer_text;
use crate::reply::{self, Result};

use super::BODY_LIMIT;
use super::batch::Job;
use super::completion::{Completion, Shape};
use super::log::End;
use super::sse::{self, Writer};
use super::state::Engine;
use super::stream::{Origin, Stream};

/// An answer that nobody reads is kept and continued this long, then cancelled.
const RESUMABLE_FOR: Duration = Duration::from_secs(2);
/// Events on their way to one reader.
const FRAMES: usize = 16;
/// What a caller of a draining engine is told to wait.
const DRAINING_RETRY_S: u64 = 1;

type FrameResult = Result<Frame<Bytes>, BoxError>;

/// One reader of an answer. When the last one goes, the answer can be resumed for a while.
struct Reader {
    engine: Rc<Engine>,
    id: RequestId,
    stream: Rc<Stream>,
}

impl Reader {
    fn new(engine: &Rc<Engine>, id: RequestId, stream: Rc<Stream>) -> Self {
        let mut readers = stream.readers.get();
        readers.came += 1;
        readers.now += 1;
        stream.readers.set(readers);
        Self {
            engine: Rc::clone(engine),
            id,
            stream,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut readers = self.stream.readers.get();
        readers.now -= 1;
        self.stream.readers.set(readers);
        if readers.now > 0 {
            return;
        }
        let (engine, stream) = (Rc::clone(&self.engine), Rc::clone(&self.stream));
        let id = std::mem::take(&mut self.id);
        runtime::spawn(async move {
            monoio::time::sleep(RESUMABLE_FOR).await;
            if stream.readers.get() == readers {
                engine.cancel(&id);
            }
        });
    }
}

/// Answers a request for a completion.
pub(super) async fn complete(engine: Rc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let headers = req.headers().clone();
    let shape = Shape::of(req.uri().path());
    let buf = match reply::read(req, BODY_LIMIT).await {
        Ok(buf) => buf,
        Err(refusal) => return *refusal,
    };
    let completion = match Completion::parse(shape, &buf) {
        Ok(completion) => completion,
        Err(refusal) => return *refusal,
    };
    let streamed = completion.stream;
    let reader = match begin(&engine, &headers, completion) {
        Ok(reader) => reader,
        Err(refusal) => return *refusal,
    };
    // A hung engine has taken the request, and may run it once it comes round.
    engine.unhung().await;
    if streamed {
        send_events(reader, 0)
    } else {
        send_whole(reader).await
    }
}

/// Continues an answer at one of its events.
pub(super) fn resume(engine: &Rc<Engine>, id: &str, from: usize) -> Response<Body> {
    let stream = engine.state().streams.get(id).cloned();
    match stream {
        Some(stream) => send_events(Reader::new(engine, id.to_owned(), stream), from),
        None => reply::error(StatusCode::NOT_FOUND, "no such stream"),
    }
}

/// Puts a request at the end of the queue.
fn begin(engine: &Rc<Engine>, headers: &HeaderMap, completion: Completion) -> Result<Reader> {
    let refuse = |status, message| Err(Box::new(reply::error(status, message)));
    let pause_s = engine.faults.pause_s.get();
    if pause_s > 0.0 {
        engine.state().turned_away_at_ms.push(reply::wall_ms());
        return Err(Box::new(reply::push_back(pause_s)));
    }
    let mut state = engine.state();
    let id = match reply::header(headers, reply::REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => state.next_own_id(),
    };
    if state.log.repeat(&id) {
        return refuse(StatusCode::CONFLICT, "a request of this id was begun");
    }
    if !state.serves(&completion.model) {
        return refuse(StatusCode::NOT_FOUND, "no such model");
    }
    if state.draining() {
        let mut res = reply::error(StatusCode::SERVICE_UNAVAILABLE, "draining");
        res.headers_mut()
            .insert(RETRY_AFTER, DRAINING_RETRY_S.into());
        return Err(Box::new(res));
    }
    let prompt_tokens = prompt::estimate_tokens(&completion.prompt).max(1);
    let stream = Rc::new(Stream::new(Origin {
        break_after: engine.faults.break_after.take(),
        max_tokens: completion.max_tokens,
        nonsense: engine.faults.nonsense.get(),
        prompt_digest: answer_text::prompt_digest(&completion.prompt),
        prompt_tokens,
        writer: Writer::new(id.clone(), completion.model.clone(), completion.shape),
    }));
    let key = reply::header(headers, reply::REQUEST_KEY).map(str::to_owned);
    state
        .log
        .begin(id.clone(), key, completion.model, prompt_tokens);
    state.streams.insert(id.clone(), Rc::clone(&stream));
    state.waiting.push_back(Job {
        decoded: 0,
        digests: prompt::prefix_digests(&completion.prompt),
        id: id.clone(),
        max_tokens: completion.max_tokens,
        prefill_left: prompt_tokens,
        prompt_tokens,
        stream: Rc::clone(&stream),
    });
    state.record_load();
    drop(state);
    engine.changed.notify();
    Ok(Reader::new(engine, id, stream))
}

async fn send_whole(reader: Reader) -> Response<Body> {
    let stream = &reader.stream;
    let end = stream.ended().await;
    if end == End::Cancelled {
        return reply::hang_up();
    }
    let whole = stream.whole();
    if stream.break_after.take().is_some() {
        let half = whole.slice(..whole.len() / 2);
        return Response::new(reply::broken(vec![half]));
    }
    let mut res = Response::new(body::full(whole));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}

fn send_events(reader: Reader, from: usize) -> Response<Body> {
    let (tx, rx) = mpsc::channel(FRAMES);
    let (alive, gone) = oneshot::channel();
    // Dropped with the body, that is with the connection: a reader that left is noticed also
    // while there is nothing to send it.
    let frames = rx.map(move |frame| {
        let _alive: &oneshot::Sender<()> = &alive;
        frame
    });
    runtime::spawn(async move {
        let pump = pin!(pump(&reader, from, tx));
        if let Either::Right(_) = future::select(pump, gone).await {
            ::log::debug!("the reader of {} left", reader.id);
        }
    });
    let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
    let events = HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(CONTENT_TYPE, events);
    res
}

/// Sends events until the answer ends or the reader goes; an answer that is not whole ends in
/// an error, which breaks the connection visibly.
async fn pump(reader: &Reader, from: usize, mut tx: mpsc::Sender<FrameResult>) {
    let stream = &reader.stream;
    let mut index = from;
    while let Some(event) = stream.event(index).await {
        if stream
            .break_after
            .get()
            .is_some_and(|tokens| index >= tokens)
        {
            stream.break_after.set(None);
            let _ = tx.send(Err("broken off on request".into())).await;
            return;
        }
        reader.engine.unhung().await;
        if tx.send(Ok(Frame::data(event))).await.is_err() {
            return;
        }
        index += 1;
    }
    reader.engine.unhung().await;
    let last = match stream.end() {
        Some(End::Done) => Ok(Frame::data(Bytes::from_static(sse::DONE))),
        _ => Err("the request was cancelled".into()),
    };
    let _ = tx.send(last).await;
}
