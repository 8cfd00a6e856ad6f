//! Timeouts of orders to targets, from the daemon's settings.

use std::time::Duration;

use lilaccrank::{clock, lease, orders};

use crate::settings::Settings;

/// Divisor of the lease duration that gives the margin by which the holder stops early. The margin
/// covers clocks whose rates differ by as much.
const MARGIN_DIVISOR: u32 = 10;
/// Longest wait for the answer of a target.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for one answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeouts of orders to targets.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimeouts {
    in_flight: Duration,
    lease: Duration,
}

impl OrderTimeouts {
    /// Timeouts from the settings.
    #[must_use]
    pub fn new(cfg: &Settings) -> Self {
        Self {
            in_flight: clock::millis(cfg.order_in_flight_ms),
            lease: clock::millis(cfg.order_lease_ms),
        }
    }

    /// Settings of the lease.
    #[must_use]
    pub fn lease(self) -> lease::Settings {
        lease::Settings {
            call_timeout: STORE_TIMEOUT.min(self.lease / 4),
            duration: self.lease,
            margin: self.lease / MARGIN_DIVISOR,
        }
    }

    /// Settings of one order.
    #[must_use]
    pub fn orders(self) -> orders::Settings {
        orders::Settings {
            in_flight: self.in_flight,
            timeout: ANSWER_TIMEOUT.min(self.in_flight),
            ..orders::Settings::default()
        }
    }

    /// Longest wait for the lease. The lease of an earlier holder may have to expire, and it may be
    /// found expired only part of a lease later.
    #[must_use]
    pub fn max_lease_wait(self) -> Duration {
        self.lease * 2
    }

    /// Longest duration of an operator's order, with all waits and attempts.
    #[must_use]
    pub fn max_order_duration(self) -> Duration {
        self.max_lease_wait() + self.lease + self.in_flight * 4 + STORE_TIMEOUT
    }
}
