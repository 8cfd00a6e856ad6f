//! The objects and their versions, which all come from one revision of the whole store.

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode};
use indexmap::IndexMap;
use lilaccrank::store::{Expect, Version, Versioned};
use lilaccrank::store_revision::Era;
use lilaccrank_http::body::{self, Body};
use lilaccrank_http::store_client::{
    IF_ABSENT_HEADER, IF_ERA_HEADER, IF_VERSION_HEADER, VERSION_HEADER,
};
use serde::Serialize;

use crate::reply::{self, Result};

/// The condition of a write, as its headers give it.
pub(super) struct Condition(Expect);

impl Condition {
    pub(super) fn of(headers: &HeaderMap) -> Result<Self> {
        if headers.contains_key(IF_ABSENT_HEADER) {
            return Ok(Self(Expect::Absent));
        }
        if !headers.contains_key(IF_VERSION_HEADER) {
            return Ok(Self(Expect::Any));
        }
        let number = |name| reply::header(headers, name).and_then(|text| text.parse().ok());
        let Some(version) = number(IF_VERSION_HEADER) else {
            let message = "If-Version is not a version";
            return Err(Box::new(reply::error(StatusCode::BAD_REQUEST, message)));
        };
        Ok(Self(Expect::Version(Version {
            era: number(IF_ERA_HEADER).unwrap_or_default(),
            number: version,
        })))
    }

    fn holds(&self, current: Option<Version>) -> bool {
        match self.0 {
            Expect::Absent => current.is_none(),
            Expect::Any => true,
            Expect::Version(version) => current == Some(version),
        }
    }
}

/// One object in a list.
#[derive(Serialize)]
pub(super) struct Listed {
    key: String,
    version: u64,
}

/// The whole store.
#[derive(Clone, Default)]
pub(super) struct Objects {
    objects: IndexMap<String, Versioned>,
    revision: Version,
}

impl Objects {
    pub(super) fn list(&self, prefix: &str) -> Vec<Listed> {
        let found = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let mut list: Vec<_> = found
            .map(|(key, object)| Listed {
                key: key.clone(),
                version: object.version.number,
            })
            .collect();
        list.sort_by(|a, b| a.key.cmp(&b.key));
        list
    }

    pub(super) fn read(&self, key: &str) -> Response<Body> {
        let Some(object) = self.objects.get(key) else {
            return reply::empty(StatusCode::NOT_FOUND);
        };
        let res = Response::new(body::full(object.value.clone()));
        at_version(res, Some(object.version))
    }

    pub(super) fn era(&self) -> Era {
        self.revision.era
    }

    /// Goes back to an older copy, in an era of its own.
    pub(super) fn restore(&mut self, copy: Self) {
        let era = self.revision.era + 1;
        *self = copy;
        self.revision.era = era;
        let versions = self.objects.values_mut();
        versions.for_each(|object| object.version.era = era);
    }

    pub(super) fn version(&self, key: &str) -> Option<Version> {
        self.objects.get(key).map(|object| object.version)
    }

    /// Writes `value`, or deletes the object if there is none, provided the condition holds.
    pub(super) fn write(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        condition: Condition,
    ) -> Response<Body> {
        let current = self.version(key);
        if !condition.holds(current) {
            let res = reply::empty(StatusCode::PRECONDITION_FAILED);
            return at_version(res, current);
        }
        self.revision.number += 1;
        let version = self.revision;
        match value {
            Some(value) => {
                self.objects
                    .insert(key.to_owned(), Versioned { value, version });
            }
            None => {
                self.objects.swap_remove(key);
            }
        }
        at_version(reply::empty(StatusCode::OK), Some(version))
    }
}

fn at_version(mut res: Response<Body>, version: Option<Version>) -> Response<Body> {
    if let Some(version) = version {
        let number = version.number.into();
        res.headers_mut().insert(VERSION_HEADER, number);
    }
    res
}
