//! Standard output and error, for people or as JSON.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::{Error, Result};

/// Prints in the form that was asked for.
pub struct Output {
    json: bool,
}

impl Output {
    /// Prints JSON, or text for people.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Whether JSON is asked for.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Prints a result: the value as JSON, or its lines.
    ///
    /// # Errors
    ///
    /// If standard output is closed.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        lines: impl FnOnce(&T) -> Vec<String>,
    ) -> Result<()> {
        if self.json {
            return self.print_json(value);
        }
        let mut out = io::stdout().lock();
        for line in lines(value) {
            writeln!(out, "{line}")?;
        }
        Ok(())
    }

    /// Prints JSON whatever was asked for, since the value is made for machines.
    ///
    /// # Errors
    ///
    /// If standard output is closed.
    pub fn print_json<T: Serialize>(&self, value: &T) -> Result<()> {
        let json = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
        writeln!(io::stdout().lock(), "{json}")?;
        Ok(())
    }

    /// A remark on standard error for people.
    pub fn remark(&self, text: &str) {
        if !self.json {
            let _ = writeln!(io::stderr().lock(), "{text}");
        }
    }

    /// Prints why the command failed, on standard error.
    pub fn error(&self, e: &Error) {
        let mut err = io::stderr().lock();
        if self.json {
            let json = serde_json::to_string(&e.report()).unwrap_or_default();
            let _ = writeln!(err, "{json}");
            return;
        }
        let _ = writeln!(err, "error: {e}");
        for line in e.lines() {
            let _ = writeln!(err, "  {line}");
        }
    }
}
