//! Implements the store port over the platform's object API.
//!
//! The API offers `GET`, `PUT` and `DELETE /v1/objects/KEY`, with the version in the header
//! `Version` and conditions in `If-Version: N` and `If-Absent: 1`.
//! `GET /v1/watch/KEY?seen=N&wait_ms=M` answers when the object's version differs from `N`, or with
//! 304 after `M` milliseconds. A store that was restored from a copy gives versions out again; it names
//! its era in the header `Store-Era` of each answer, and `If-Era` and the query's `era` say to which one a
//! version belongs.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lilaccrank::store::{self, Expect, Store, Version, Versioned};
use lilaccrank::store_revision::Era;

use crate::body;
use crate::client::{self, Client, Limits};
use crate::tally::Tally;
use crate::timeout;

/// Header with the version of an object.
pub const VERSION_HEADER: &str = "version";
/// Header that makes a write conditional on a version.
pub const IF_VERSION_HEADER: &str = "if-version";
/// Header with the era of the store, in all its answers.
pub const ERA_HEADER: &str = "store-era";
/// Header with the era of the version in [`IF_VERSION_HEADER`].
pub const IF_ERA_HEADER: &str = "if-era";
/// Header that makes a write conditional on the absence of the object.
pub const IF_ABSENT_HEADER: &str = "if-absent";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A healthy store answers in milliseconds.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's store.
#[derive(Clone)]
pub struct StoreClient {
    address: String,
    client: Client,
}

impl StoreClient {
    /// Creates a client of the store at `address` (IP address and port).
    #[must_use]
    pub fn new(address: String) -> Self {
        Self::with_tally(address, Tally::default())
    }

    /// Like [`new`](Self::new), but counts the traffic in `tally`.
    #[must_use]
    pub fn with_tally(address: String, tally: Tally) -> Self {
        Self {
            address,
            client: Client::with_tally(tally),
        }
    }

    /// Reads a resource other than an object, such as the list of VMs.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn read(&self, path: &str) -> store::Result<Bytes> {
        let req = request(Method::GET, path.to_owned(), Expect::Any, Bytes::new());
        let (res, bytes) = self.exchange(req, HEAD_TIMEOUT).await?;
        // Without this check, an error body could be parsed as an empty list.
        check_status(&res)?;
        Ok(bytes)
    }

    async fn exchange(
        &self,
        req: Request<body::Body>,
        head: Duration,
    ) -> store::Result<(Response<()>, Bytes)> {
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            max_idle: client::MAX_IDLE,
            head,
        };
        let sent = self.client.send(&self.address, req, limits).await;
        let (res, connection) = sent.map_err(|e| {
            if e.is_unsent() {
                store::Error::Unavailable
            } else {
                store::Error::Unknown
            }
        })?;
        let (parts, incoming): (_, Incoming) = res.into_parts();
        let reading = body::read(incoming, store::VALUE_LIMIT);
        let bytes = timeout::timeout(HEAD_TIMEOUT, reading)
            .await
            .map_err(|_| store::Error::Unknown)?
            .map_err(|_| store::Error::Unknown)?;
        self.client.release(connection);
        Ok((Response::from_parts(parts, ()), bytes))
    }
}

impl Store for StoreClient {
    async fn get(&self, key: &str) -> store::Result<Option<Versioned>> {
        let req = request(Method::GET, object_path(key), Expect::Any, Bytes::new());
        let (res, value) = self.exchange(req, HEAD_TIMEOUT).await?;
        parse_object(&res, value)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> store::Result<Version> {
        if value.len() > store::VALUE_LIMIT {
            return Err(store::Error::TooLarge { size: value.len() });
        }
        let req = request(Method::PUT, object_path(key), expect, value);
        let (res, _) = self.exchange(req, HEAD_TIMEOUT).await?;
        check_status(&res)?;
        version(&res).ok_or(store::Error::Unknown)
    }

    async fn delete(&self, key: &str, expect: Expect) -> store::Result<()> {
        let req = request(Method::DELETE, object_path(key), expect, Bytes::new());
        let (res, _) = self.exchange(req, HEAD_TIMEOUT).await?;
        check_status(&res)
    }

    async fn watch(
        &self,
        key: &str,
        seen: Option<Version>,
        wait: Duration,
    ) -> store::Result<Option<Versioned>> {
        let Version { era, number } = seen.unwrap_or_default();
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{key}?seen={number}&era={era}&wait_ms={wait_ms}");
        let req = request(Method::GET, path, Expect::Any, Bytes::new());
        let (res, value) = self.exchange(req, wait + HEAD_TIMEOUT).await?;
        if res.status() == StatusCode::NOT_MODIFIED {
            return self.get(key).await;
        }
        parse_object(&res, value)
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

fn request(method: Method, path: String, expect: Expect, value: Bytes) -> Request<body::Body> {
    let mut req = Request::new(body::full(value));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_default();
    let headers = req.headers_mut();
    headers.insert(
        hyper::header::HOST,
        "platform".parse().expect("a valid value"),
    );
    match expect {
        Expect::Absent => {
            headers.insert(IF_ABSENT_HEADER, 1.into());
        }
        Expect::Any => {}
        Expect::Version(version) => {
            headers.insert(IF_VERSION_HEADER, version.number.into());
            headers.insert(IF_ERA_HEADER, version.era.into());
        }
    }
    req
}

fn version(res: &Response<()>) -> Option<Version> {
    let number = number(res, VERSION_HEADER)?;
    Some(Version {
        era: era(res),
        number,
    })
}

/// Era of an answer; the first one if the store names none.
fn era(res: &Response<()>) -> Era {
    number(res, ERA_HEADER).unwrap_or_default()
}

fn number(res: &Response<()>, name: &str) -> Option<u64> {
    res.headers().get(name)?.to_str().ok()?.parse().ok()
}

fn retry_after(res: &Response<()>) -> Duration {
    res.headers()
        .get(hyper::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

fn parse_object(res: &Response<()>, value: Bytes) -> store::Result<Option<Versioned>> {
    if res.status() == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    check_status(res)?;
    let version = version(res).ok_or(store::Error::Unknown)?;
    Ok(Some(Versioned { value, version }))
}

fn check_status(res: &Response<()>) -> store::Result<()> {
    match res.status() {
        status if status.is_success() => Ok(()),
        StatusCode::PRECONDITION_FAILED => Err(store::Error::Conflict {
            current: version(res),
        }),
        StatusCode::TOO_MANY_REQUESTS => Err(store::Error::Throttled {
            retry_after: retry_after(res),
        }),
        StatusCode::SERVICE_UNAVAILABLE => Err(store::Error::Unavailable),
        _ => Err(store::Error::Unknown),
    }
}
