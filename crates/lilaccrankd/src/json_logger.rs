//! Logs JSON lines to standard output.
//!
//! simplelog's own loggers don't escape messages, which could break a line of JSON. This is a
//! [`SharedLogger`], so that simplelog's levels and combined logger still apply.
//!
//! The volume is limited twice, and dropped lines are counted and reported: by a rate limit, so
//! that logging a burst of requests can't use up the processor, and by a bounded buffer, so that a
//! blocked reader of the output delays no request.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::Map;
use simplelog::{CombinedLogger, Config, SharedLogger};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Sustained lines per second. A daemon handles about 50 requests per second with four lines each.
const LINES_PER_S: f64 = 400.0;
/// Maximum burst of lines.
const BURST: f64 = 2_000.0;
/// Maximum number of lines buffered for the output.
const BUFFER_LINES: usize = 4_096;

/// Timeout for writing the remaining lines at exit.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Message to the writer thread.
enum Message {
    /// Drops the sender once all earlier lines are written.
    Flush(SyncSender<()>),
    /// A line to write.
    Line(String),
}

/// Writes each record as one JSON object.
struct JsonLogger {
    level: LevelFilter,
    lines: SyncSender<Message>,
    dropped: AtomicU64,
    bucket: Mutex<TokenBucket>,
    vm: String,
}

/// Token bucket that limits the rate of lines.
struct TokenBucket {
    refilled: Instant,
    tokens: f64,
}

/// Installs the logger of the daemon on `vm`.
pub fn init(level: LevelFilter, vm: &str) {
    let (tx, rx) = mpsc::sync_channel(BUFFER_LINES);
    thread::spawn(move || write_lines(&rx));
    let logger = JsonLogger {
        level,
        lines: tx,
        dropped: AtomicU64::new(0),
        bucket: Mutex::new(TokenBucket {
            refilled: Instant::now(),
            tokens: BURST,
        }),
        vm: vm.to_owned(),
    };
    // A second call, as in tests, keeps the first logger.
    let _ = CombinedLogger::init(vec![Box::new(logger)]);
}

/// Writes buffered lines in batches until the process ends.
fn write_lines(messages: &Receiver<Message>) {
    while let Ok(first) = messages.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                Message::Flush(tx) => flushed.push(tx),
                Message::Line(line) => text.push_str(&line),
            }
        }
        // There is no other place to report a failed write.
        let _ = std::io::stdout().lock().write_all(text.as_bytes());
    }
}

impl TokenBucket {
    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + elapsed * LINES_PER_S).min(BURST);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

impl JsonLogger {
    /// Returns `true` if the rate limit allows a line. Errors and warnings are rare and always
    /// allowed.
    fn may_write(&self, level: Level) -> bool {
        let bucket = self.bucket.lock();
        let allowed = bucket.is_ok_and(|mut bucket| bucket.try_take(Instant::now()));
        allowed || level <= Level::Warn
    }

    fn line(&self, record: &Record<'_>) -> String {
        let mut fields = Fields(Map::new());
        let at = OffsetDateTime::now_utc().format(&Rfc3339);
        fields.add("at", at.unwrap_or_default().into());
        fields.add("level", record.level().as_str().into());
        fields.add("message", record.args().to_string().into());
        fields.add("module", record.target().into());
        fields.add("vm", self.vm.as_str().into());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.add("lines_left_out", dropped.into());
        }
        // A value that can't be formatted loses only its own field.
        let _ = record.key_values().visit(&mut fields);
        let mut line = serde_json::Value::Object(fields.0).to_string();
        line.push('\n');
        line
    }
}

/// The fields of one line.
struct Fields(Map<String, serde_json::Value>);

impl Fields {
    fn add(&mut self, name: &str, value: serde_json::Value) {
        self.0.insert(name.to_owned(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let shown = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.add(key.as_str(), shown);
        Ok(())
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let written = self.may_write(record.level()) && {
            let line = self.line(record);
            self.lines.try_send(Message::Line(line)).is_ok()
        };
        if !written {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (tx, rx) = mpsc::sync_channel(0);
        if self.lines.try_send(Message::Flush(tx)).is_ok() {
            // The thread drops the sender once all lines are written.
            let _ = rx.recv_timeout(FLUSH_LIMIT);
        }
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
