//! Logs as JSON lines on standard error, in simplelog's frame.
//!
//! simplelog itself writes text whose messages could break a line of JSON; this is a
//! [`SharedLogger`] beside its own, so that its levels and its combined logger still apply.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{CombinedLogger, Config, SharedLogger};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Writes each record as one JSON object.
struct JsonLogger {
    level: LevelFilter,
    vm: String,
}

/// Starts logging for the daemon on `vm`.
pub fn init(level: LevelFilter, vm: &str) {
    let logger = JsonLogger {
        level,
        vm: vm.to_owned(),
    };
    // A second call, as in tests, keeps the first logger.
    let _ = CombinedLogger::init(vec![Box::new(logger)]);
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = OffsetDateTime::now_utc()
            .format(&Rfc3339)
            .unwrap_or_default();
        let line = serde_json::json!({
            "at": at,
            "level": record.level().as_str(),
            "message": record.args().to_string(),
            "module": record.target(),
            "vm": self.vm,
        });
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
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
