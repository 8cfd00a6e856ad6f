//! Times of orders to targets, from the daemon's settings.

use std::time::Duration;

use lilaccrank::{lease, orders};

use crate::settings::Settings;

/// Share of a lease by which its holder stops earlier; covers clocks that differ in rate by as
/// much.
const MARGIN_DIVISOR: u32 = 10;
/// Longest wait for a target's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for one answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Times of orders to targets.
#[derive(Clone, Copy, Debug)]
pub struct OrderTimeouts {
    in_flight: Duration,
    lease: Duration,
}

impl OrderTimeouts {
    /// The times that the settings ask for.
    #[must_use]
    pub fn new(cfg: &Settings) -> Self {
        Self {
            in_flight: Duration::from_millis(cfg.order_in_flight_ms),
            lease: Duration::from_millis(cfg.order_lease_ms),
        }
    }

    /// Times of the lease.
    #[must_use]
    pub fn lease(self) -> lease::Settings {
        lease::Settings {
            call_timeout: STORE_TIMEOUT.min(self.lease / 4),
            duration: self.lease,
            margin: self.lease / MARGIN_DIVISOR,
        }
    }

    /// Times of one order.
    #[must_use]
    pub fn orders(self) -> orders::Settings {
        orders::Settings {
            in_flight: self.in_flight,
            timeout: ANSWER_TIMEOUT.min(self.in_flight),
            ..orders::Settings::default()
        }
    }

    /// Longest wait until the lease is held: an earlier holder's may have to end, and the look
    /// that finds it ended may come a part of a lease later.
    #[must_use]
    pub fn max_lease_wait(self) -> Duration {
        self.lease * 2
    }

    /// Longest time that an operator's order may take, with all waits and tries.
    #[must_use]
    pub fn max_order_duration(self) -> Duration {
        self.max_lease_wait() + self.lease + self.in_flight * 4 + STORE_TIMEOUT
    }
}
