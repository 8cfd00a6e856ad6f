//! Baseline policies that ignore tiers and send every request at once.

use super::load::Random;
use super::{Decision, Engine, Policy, Progress, Request};

/// Delay of the engines' load reports, in milliseconds.
const REPORT_LAG_MS: u64 = 1_500;

/// Selection of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Pick {
    /// The least loaded engine by the last report.
    LeastReported,
    /// The engines in turn.
    RoundRobin,
    /// The less loaded of two random engines by the last report.
    TwoChoices,
}

/// Policy that sends each request at once to the engine picked.
pub struct Naive {
    arrivals: Vec<usize>,
    next: usize,
    pick: Pick,
    random: Random,
    reported: Vec<usize>,
    reports: Vec<(u64, Vec<usize>)>,
}

impl Naive {
    /// Creates a policy without any load report.
    pub fn new(pick: Pick) -> Self {
        Self {
            arrivals: Vec::new(),
            next: 0,
            pick,
            random: Random::new(7),
            reported: Vec::new(),
            reports: Vec::new(),
        }
    }

    fn pick(&mut self, engines: usize) -> usize {
        self.next += 1;
        let reported = |engine: usize| self.reported.get(engine).copied().unwrap_or(0);
        match self.pick {
            Pick::RoundRobin => self.next % engines,
            Pick::LeastReported => (0..engines).min_by_key(|e| reported(*e)).unwrap_or(0),
            Pick::TwoChoices => {
                let a = (self.random.uniform() * engines as f64) as usize;
                let b = (self.random.uniform() * engines as f64) as usize;
                if reported(a) <= reported(b) { a } else { b }
            }
        }
    }
}

impl Policy for Naive {
    fn arrive(&mut self, request: &Request, _: u64) {
        self.arrivals.push(request.id);
    }

    fn decide(&mut self, engines: &[Engine], now: u64) -> Vec<Decision> {
        if now.is_multiple_of(100) {
            let loads = engines.iter().map(Engine::load).collect();
            self.reports.push((now, loads));
        }
        let latest = self
            .reports
            .iter()
            .rfind(|(at, _)| at + REPORT_LAG_MS <= now);
        if let Some((_, loads)) = latest {
            self.reported.clone_from(loads);
        }
        let arrivals = std::mem::take(&mut self.arrivals);
        let sent = arrivals.into_iter();
        sent.map(|id| Decision::Send(id, self.pick(engines.len())))
            .collect()
    }

    fn progress(&mut self, _: &Request, _: usize, _: Progress, _: u64) {}
}
