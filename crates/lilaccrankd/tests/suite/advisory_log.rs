//! Which daemons write a line about a fact.

use std::cell::RefCell;

use lilaccrank::target_instance::TargetInstance;
use lilaccrankd::peers::advisories::SharedAdvisories;
use lilaccrankd::peers::load_exchange::LoadExchange;
use lilaccrankd::targets::protocol::RateLimit;
use log::{LevelFilter, Log, Metadata, Record};

const CONTENT: u64 = 7;

thread_local! {
    static LINES: RefCell<Vec<String>> = RefCell::default();
}

/// Keeps the lines of each thread.
struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn lines() -> Vec<String> {
    LINES.take()
}

/// A daemon that observes facts, and one of its cell that hears of them.
#[derive(Default)]
struct Cell {
    exchange: LoadExchange,
    hears: SharedAdvisories,
    observes: SharedAdvisories,
}

impl Cell {
    fn new() -> Self {
        // Fails if another test of the process was first.
        let _ = log::set_logger(&Lines);
        log::set_max_level(LevelFilter::Info);
        Self::default()
    }

    fn crash(&self, target: u8) {
        let target = instance(target);
        self.observes.record_crash(CONTENT, &target, &self.exchange);
    }

    /// Lines of the daemon that hears of what the other one observed.
    fn heard(&self) -> Vec<String> {
        lines();
        self.hears.merge_update(&self.observes.take_updates());
        lines()
    }
}

fn instance(number: u8) -> TargetInstance {
    TargetInstance {
        id: format!("target-{number}"),
        started_ms: 1,
    }
}

/// Tests that the daemon that observes something logs it once, and one that hears of it does not.
macro_rules! logged_where_observed {
    ($name:ident, $observe:expr) => {
        #[test]
        fn $name() {
            let cell = Cell::new();
            let observe: fn(&Cell) = $observe;
            observe(&cell);
            assert_eq!(lines().len(), 1);
            assert_eq!(cell.heard(), [""; 0]);
        }
    };
}

// Guards against as many lines about a completion as there are daemons.
logged_where_observed!(completions, |cell| {
    cell.crash(1);
    cell.observes.record_completion(CONTENT, &cell.exchange);
});
// Guards against as many lines about a rate limit as there are daemons.
logged_where_observed!(rate_limits, |cell| {
    let limit = RateLimit::PerSecond(2.0);
    cell.observes
        .record_rate_limit(&instance(1), limit, &cell.exchange);
});
// Guards against as many lines about a brittle target as there are daemons.
logged_where_observed!(brittle_targets, |cell| {
    cell.observes
        .record_brittle(&instance(1), Some(3), false, &cell.exchange);
});
// Guards against as many lines about a target that leaves as there are daemons.
logged_where_observed!(leaving_targets, |cell| {
    cell.observes.record_leaving(&instance(1), &cell.exchange);
});

// Guards against a quarantine that begins or ends at a daemon without a line.
#[test]
fn quarantines_that_others_begin_and_lift() {
    let cell = Cell::new();
    (0..3).for_each(|target| cell.crash(target));
    let begun = cell.heard();
    assert!(
        matches!(&begun[..], [line] if line.contains("quarantined")),
        "{begun:?}"
    );
    cell.observes.record_completion(CONTENT, &cell.exchange);
    let lifted = cell.heard();
    assert!(
        matches!(&lifted[..], [line] if line.contains("lifted")),
        "{lifted:?}"
    );
}
