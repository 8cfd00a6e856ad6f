//! Points in time on the command line and in print.

use std::str::FromStr;
use std::time::{Duration, SystemTime};

use thiserror::Error;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Result of reading a point in time.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The text is no point in time.
#[derive(Debug, Error)]
#[error("give a time ago such as 90s, 5m, 2h or 1d, or a time such as 2026-03-01T12:00:00Z")]
pub struct Error;

/// Milliseconds since 1970.
#[derive(Clone, Copy, Debug)]
pub struct Instant(pub u64);

impl FromStr for Instant {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if let Some(ago) = ago(text) {
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let then = now.unwrap_or_default().saturating_sub(ago);
            return u64::try_from(then.as_millis()).map(Self).map_err(|_| Error);
        }
        let time = OffsetDateTime::parse(text, &Rfc3339).map_err(|_| Error)?;
        let ms = time.unix_timestamp_nanos() / 1_000_000;
        u64::try_from(ms).map(Self).map_err(|_| Error)
    }
}

/// The time as people read it.
pub fn show(wall_ms: u64) -> String {
    let nanos = i128::from(wall_ms) * 1_000_000;
    let time = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    let shown = time.and_then(|time| time.format(&Rfc3339).ok());
    shown.unwrap_or_else(|| wall_ms.to_string())
}

fn ago(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let seconds = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3_600,
        "d" => 86_400,
        _ => return None,
    };
    let number: u64 = number.parse().ok()?;
    Some(Duration::from_secs(number.checked_mul(seconds)?))
}
