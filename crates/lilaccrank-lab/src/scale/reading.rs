//! Reads what a daemon has spent: control from its metrics, the rest from the system.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::cluster::{Cluster, Daemon};
use crate::stand_in::Result;
use crate::usage;

const BYTES: &str = "lilaccrank_control_bytes_total";
const MESSAGES: &str = "lilaccrank_control_messages_total";

/// Bytes and messages of control by channel and direction, such as `gossip sent`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Control {
    /// Bytes without TCP, UDP and IP.
    pub bytes: IndexMap<String, f64>,
    /// Datagrams, calls and replies.
    pub messages: IndexMap<String, f64>,
}

impl Control {
    /// Everything times `factor`.
    pub(super) fn scaled(&self, factor: f64) -> Self {
        let scale = |counts: &IndexMap<String, f64>| {
            let scaled = counts.iter().map(|(name, n)| (name.clone(), n * factor));
            scaled.collect()
        };
        Self {
            bytes: scale(&self.bytes),
            messages: scale(&self.messages),
        }
    }
}

/// What one daemon has spent since it started, and holds.
pub(super) struct Reading {
    control: Control,
    peak_kb: f64,
    processor_s: f64,
    resident_kb: f64,
}

/// Mean and largest value over the daemons.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Spread {
    pub(super) max: f64,
    pub(super) mean: f64,
}

/// What the daemons spent between two readings, and hold at the second one.
#[derive(Serialize)]
pub(super) struct Cost {
    /// Sent and received.
    pub(super) bytes_per_s: Spread,
    /// Mean by channel and direction.
    pub(super) control_per_s: Control,
    pub(super) messages_per_s: Spread,
    pub(super) peak_mb: Spread,
    pub(super) processor_percent: Spread,
    pub(super) resident_mb: Spread,
}

/// What the platform counts.
#[derive(Deserialize)]
pub(super) struct Platform {
    calls: IndexMap<String, u64>,
    open_watches: u64,
}

/// Calls at the platform between two readings.
#[derive(Serialize)]
pub(super) struct StoreCost {
    calls_per_s: IndexMap<String, f64>,
    open_watches: u64,
}

/// Control in the text of a daemon's `/metrics`.
#[must_use]
pub fn control(text: &str) -> Control {
    Control {
        bytes: series(text, BYTES),
        messages: series(text, MESSAGES),
    }
}

fn series(text: &str, name: &str) -> IndexMap<String, f64> {
    let samples = text.lines().filter_map(|line| {
        let labels = line.strip_prefix(name)?.strip_prefix('{')?;
        let (labels, value) = labels.split_once("} ")?;
        let values = labels.split('"').skip(1).step_by(2);
        let label: Vec<_> = values.collect();
        Some((label.join(" "), value.parse().ok()?))
    });
    samples.collect()
}

impl Reading {
    pub(super) async fn of_all(cluster: &Cluster) -> Result<Vec<Self>> {
        let mut readings = Vec::new();
        for daemon in &cluster.daemons {
            readings.push(Self::of(cluster, daemon).await?);
        }
        Ok(readings)
    }

    async fn of(cluster: &Cluster, daemon: &Daemon) -> Result<Self> {
        let (_, text) = cluster.get(&daemon.admin.to_string(), "/metrics").await?;
        let id = daemon.process.id();
        Ok(Self {
            control: control(&text),
            peak_kb: usage::peak_kb(id)?,
            processor_s: usage::processor_s(id)?,
            resident_kb: usage::resident_kb(id)?,
        })
    }
}

impl Spread {
    pub(super) fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.into_iter().collect();
        Self {
            max: values.iter().copied().fold(0.0, f64::max),
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
        }
    }
}

impl Cost {
    pub(super) fn between(before: &[Reading], after: &[Reading], elapsed: Duration) -> Self {
        let s = elapsed.as_secs_f64();
        let pairs = || before.iter().zip(after);
        let rate = |part: fn(&Control) -> &IndexMap<String, f64>| {
            Spread::of(
                pairs().map(|(b, a)| (total(part(&a.control)) - total(part(&b.control))) / s),
            )
        };
        Self {
            bytes_per_s: rate(|control| &control.bytes),
            control_per_s: Control {
                bytes: means(before, after, s, |control| &control.bytes),
                messages: means(before, after, s, |control| &control.messages),
            },
            messages_per_s: rate(|control| &control.messages),
            peak_mb: Spread::of(after.iter().map(|r| r.peak_kb / 1024.0)),
            processor_percent: Spread::of(
                pairs().map(|(b, a)| 100.0 * (a.processor_s - b.processor_s) / s),
            ),
            resident_mb: Spread::of(after.iter().map(|r| r.resident_kb / 1024.0)),
        }
    }
}

fn total(counts: &IndexMap<String, f64>) -> f64 {
    counts.values().sum()
}

fn means(
    before: &[Reading],
    after: &[Reading],
    s: f64,
    part: fn(&Control) -> &IndexMap<String, f64>,
) -> IndexMap<String, f64> {
    let mut means: IndexMap<String, f64> = IndexMap::new();
    for (b, a) in before.iter().zip(after) {
        for (name, count) in part(&a.control) {
            let passed = count - part(&b.control).get(name).unwrap_or(&0.0);
            *means.entry(name.clone()).or_default() += passed / s / after.len() as f64;
        }
    }
    means.retain(|_, mean| *mean > 0.0);
    means
}

/// What the platform has counted so far.
pub(super) async fn platform(cluster: &Cluster) -> Result<Platform> {
    let (_, text) = cluster.get(&cluster.platform.address, "/counters").await?;
    Ok(serde_json::from_str(&text)?)
}

impl Platform {
    pub(super) fn since(self, before: &Self, elapsed: Duration) -> StoreCost {
        let s = elapsed.as_secs_f64();
        let rate = |(call, count): (&String, &u64)| {
            let passed = count - before.calls.get(call).unwrap_or(&0);
            (call.clone(), passed as f64 / s)
        };
        StoreCost {
            calls_per_s: self.calls.iter().map(rate).collect(),
            open_watches: self.open_watches,
        }
    }
}
