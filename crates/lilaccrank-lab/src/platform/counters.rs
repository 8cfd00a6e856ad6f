//! What the platform counts of its callers.

use std::cell::RefCell;
use std::time::Instant;

use hyper::Method;
use indexmap::IndexMap;
use serde::Serialize;

/// Kinds of calls that the platform bills.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Call {
    Delete,
    Get,
    List,
    Put,
    Vms,
    Watch,
}

impl Call {
    pub(super) fn of(method: &Method, path: &str) -> Option<Self> {
        let object = path.starts_with(Self::Get.prefix());
        match *method {
            Method::DELETE if object => Some(Self::Delete),
            Method::GET if object => Some(Self::Get),
            Method::GET if path.starts_with(Self::List.prefix()) => Some(Self::List),
            Method::GET if path == Self::Vms.prefix() => Some(Self::Vms),
            Method::GET if path.starts_with(Self::Watch.prefix()) => Some(Self::Watch),
            Method::PUT if object => Some(Self::Put),
            _ => None,
        }
    }

    /// What follows the resource's name in its path.
    pub(super) fn rest(self, path: &str) -> &str {
        path.strip_prefix(self.prefix()).unwrap_or_default()
    }

    pub(super) fn writes(self) -> bool {
        matches!(self, Self::Delete | Self::Put)
    }

    fn prefix(self) -> &'static str {
        match self {
            Self::Delete | Self::Get | Self::Put => "/v1/objects/",
            Self::List => "/v1/list/",
            Self::Vms => "/v1/vms",
            Self::Watch => "/v1/watch/",
        }
    }
}

/// Body of `GET /counters`.
#[derive(Serialize)]
pub(super) struct Counters {
    pub(super) answers_lost: u64,
    calls: IndexMap<Call, u64>,
    pub(super) conflicts: u64,
    open_watches: u64,
    open_watches_peak: u64,
    /// Calls in the current second and in the busiest one.
    per_second: u64,
    per_second_peak: u64,
    pub(super) refused_in_outage: u64,
    #[serde(skip)]
    second: Instant,
    pub(super) throttled: u64,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            answers_lost: 0,
            calls: IndexMap::new(),
            conflicts: 0,
            open_watches: 0,
            open_watches_peak: 0,
            per_second: 0,
            per_second_peak: 0,
            refused_in_outage: 0,
            second: Instant::now(),
            throttled: 0,
        }
    }
}

impl Counters {
    pub(super) fn count(&mut self, call: Call) {
        *self.calls.entry(call).or_default() += 1;
        if self.second.elapsed().as_secs() > 0 {
            self.second = Instant::now();
            self.per_second = 0;
        }
        self.per_second += 1;
        self.per_second_peak = self.per_second_peak.max(self.per_second);
    }
}

/// Counts a watch as open for as long as it lives.
pub(super) struct OpenWatch<'a>(&'a RefCell<Counters>);

impl<'a> OpenWatch<'a> {
    pub(super) fn new(counters: &'a RefCell<Counters>) -> Self {
        let mut c = counters.borrow_mut();
        c.open_watches += 1;
        c.open_watches_peak = c.open_watches_peak.max(c.open_watches);
        drop(c);
        Self(counters)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().open_watches -= 1;
    }
}
