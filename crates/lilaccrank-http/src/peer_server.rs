//! Serves calls from peers, with one task per connection and one handler call per message.

use std::future::Future;

use bytes::Bytes;
use futures::future;
use http::StatusCode;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::compression::{self, EncodedBody};
use crate::runtime;
use crate::server::ACCEPT_RETRY_DELAY;
use crate::tally::{Counted, Tally};

/// Accepts connections from peers as long as the daemon runs and counts the traffic in `tally`.
pub async fn serve<Req, Rep, H, F>(listener: TcpListener, tally: Tally, handler: H)
where
    Req: DeserializeOwned + 'static,
    Rep: Serialize + 'static,
    H: Fn(Req) -> F + Clone + 'static,
    F: Future<Output = Rep> + 'static,
{
    loop {
        runtime::checkpoint().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                runtime::spawn(serve_connection(stream, tally.clone(), handler.clone()));
            }
            Err(e) => {
                log::warn!("accept of a peer connection failed: {e}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<Req, Rep, H, F>(stream: TcpStream, tally: Tally, handler: H)
where
    Req: DeserializeOwned,
    Rep: Serialize,
    H: Fn(Req) -> F,
    F: Future<Output = Rep>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (r, w) = stream.into_split();
    let mut encoder = GenericEncoder::new(Counted::new(w, tally.clone()));
    let mut decoder = RequestDecoder::new(Counted::new(r, tally.clone()));
    while let Some(Ok(req)) = decoder.next().await {
        let deflated = compression::is_deflated(req.headers());
        let Payload::Fixed(mut payload) = Request::into_body(req) else {
            return;
        };
        if decoder.fill_payload().await.is_err() {
            return;
        }
        let Some(Ok(body)) = payload.next().await else {
            return;
        };
        let buf = body.into();
        let Ok(body) = compression::decompress(EncodedBody { buf, deflated }) else {
            return;
        };
        let res = answer(&body, &tally, &handler).await;
        if encoder.send_and_flush(res).await.is_err() {
            return;
        }
    }
}

/// Handles the messages of a batch concurrently, so that a message that waits for a third daemon
/// does not block the others.
async fn answer<Req, Rep, H, F>(body: &[u8], tally: &Tally, handler: &H) -> Response
where
    Req: DeserializeOwned,
    Rep: Serialize,
    H: Fn(Req) -> F,
    F: Future<Output = Rep>,
{
    let reqs: Vec<Req> = match rmp_serde::from_slice(body) {
        Ok(reqs) => reqs,
        Err(e) => {
            log::warn!("can't decode a batch from a peer: {e}");
            return respond(StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    tally.count_received_messages(reqs.len());
    let replies = future::join_all(reqs.into_iter().map(handler)).await;
    tally.count_sent_messages(replies.len());
    match rmp_serde::to_vec_named(&replies) {
        Ok(buf) => respond(StatusCode::OK, buf),
        Err(e) => {
            log::warn!("can't encode replies to a peer: {e}");
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

fn respond(status: StatusCode, buf: Vec<u8>) -> Response {
    let encoded = compression::compress(buf);
    let payload = FixedPayload::<Bytes, HttpError>::new(encoded.buf.into());
    let mut res = Response::new(Payload::Fixed(payload));
    *res.status_mut() = status;
    if encoded.deflated {
        compression::set_deflated(res.headers_mut());
    }
    res
}
