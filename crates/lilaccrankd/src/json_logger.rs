//! Logs as JSON lines on standard output, in simplelog's frame.
//!
//! simplelog itself writes text whose messages could break a line of JSON; this is a
//! [`SharedLogger`] beside its own, so that its levels and its combined logger still apply.
//!
//! The volume is bounded twice, and what is left out is counted and told: by rate, so that a
//! burst of requests costs no more than its share of the processor, and by a buffer before the
//! output, so that a reader that takes nothing holds up no request.

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

/// Lines a second. A daemon takes some fifty requests a second of four lines each.
const LINES_PER_S: f64 = 400.0;
/// Lines that may come at once after a quiet time.
const BURST: f64 = 2_000.0;
/// Lines that wait for the output.
const BUFFER_LINES: usize = 4_096;

/// Longest wait for the lines that are left at the end.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// What the writing thread gets.
enum Message {
    /// All lines before have been written once the sender is dropped.
    Flush(SyncSender<()>),
    /// A line.
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

/// A bucket of lines.
struct TokenBucket {
    refilled: Instant,
    tokens: f64,
}

/// Starts logging for the daemon on `vm`.
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

/// Writes what has gathered in one go; ends with the process.
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
        // There is no other place to tell that the output is gone.
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
    /// Errors and warnings are few and always pass.
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
        // A value that can't be shown costs its own field only.
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
            // The thread drops its end once all is written, or the wait is over.
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
