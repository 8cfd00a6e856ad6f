//! Simulates a pool of engines of different speeds behind a few daemons, on a paused clock, and returns
//! the results of a load pattern under a placement policy.
//!
//! Like the engines of the users, the modelled ones use continuous batching, prefill prompts in chunks
//! between the decode steps of other requests, admit requests in order of arrival and know no tiers.
//! Their capacities and speeds are the users' figures.

#[path = "pool_model/dispatcher_policy.rs"]
mod dispatcher_policy;
#[path = "pool_model/engine.rs"]
mod engine;
#[path = "pool_model/load.rs"]
pub mod load;
#[path = "pool_model/naive.rs"]
pub mod naive;

use std::time::Duration;

pub use dispatcher_policy::DispatcherPolicy;
use engine::Engine;
pub use load::{Kind, Load};

/// Step of the simulation.
const TICK: Duration = Duration::from_millis(1);
/// Longest delay of a refused caller's retry, as a fraction of the time left to its deadline.
const MAX_RETRY_DELAY_FRACTION: f64 = 1.0 / 3.0;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of the first attempt, in milliseconds.
    pub arrived: u64,
    /// Index of the daemon that received it.
    pub daemon: usize,
    /// Position in the load's list of requests.
    pub id: usize,
    /// Kind of request.
    pub kind: Kind,
    /// Length of the answer, in tokens.
    pub output: u32,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Whether the caller has already retried after a refusal.
    pub has_retried: bool,
}

/// Decision of a policy on the request with the given id.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Migrate it to this engine, which resumes after the tokens generated so far.
    Move(usize, usize),
    /// Send it to this engine.
    Send(usize, usize),
    /// Refuse it; the caller may retry after this many milliseconds.
    Refuse(usize, u64),
}

/// Event of a request at an engine.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// The answer is complete.
    Ended,
    /// The first token was generated.
    First,
    /// Tokens since the last event and the mean interval between them, in milliseconds.
    Tokens(u32, f64),
    /// The deadline has passed, after so many generated tokens.
    TimedOut(u32),
}

/// Policy that places requests on engines.
pub trait Policy {
    /// Takes a request that has arrived.
    fn arrive(&mut self, request: &Request, now: u64);
    /// Returns the decisions since the last call.
    fn decide(&mut self, engines: &[Engine], now: u64) -> Vec<Decision>;
    /// Takes an event of a request at an engine.
    fn progress(&mut self, request: &Request, engine: usize, progress: Progress, now: u64);
}

/// Results of the requests of one tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests with a first token within the objective.
    pub in_time: u32,
    /// Requests with a first token after the objective.
    pub late: u32,
    /// Requests refused for good, or without a first token at the end.
    pub lost: u32,
}

impl Outcome {
    /// Returns the fraction of requests with a first token in time.
    pub fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.lost).max(1))
    }

    /// Returns the fraction of requests with a first token.
    pub fn fraction_answered(&self) -> f64 {
        let answered = self.in_time + self.late;
        f64::from(answered) / f64::from((answered + self.lost).max(1))
    }
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time from arrival to the first token, in milliseconds.
    pub first: Option<u64>,
    /// Kind of request.
    pub kind: Kind,
    /// Length of the complete answer, in tokens.
    pub length: u32,
    /// Whether the answer was complete by the deadline.
    pub is_complete: bool,
}

/// Simulates a load under a policy and returns the results by tier.
pub fn simulate(load: &Load, policy: &mut dyn Policy) -> [Outcome; 3] {
    outcomes(&answers(load, policy))
}

/// Simulates a load under a policy and returns the result of each request.
pub fn answers(load: &Load, policy: &mut dyn Policy) -> Vec<Answer> {
    let engines = (0..load.engines).map(|number| Engine::new(number, load.engine, load.speeds));
    let mut engines: Vec<Engine> = engines.collect();
    let mut requests = load.requests();
    let mut arrivals: Vec<(u64, usize)> = requests.iter().map(|r| (r.arrived, r.id)).collect();
    let answers = requests.iter().map(|request| Answer {
        first: None,
        kind: request.kind,
        length: request.output,
        is_complete: false,
    });
    let mut answers: Vec<Answer> = answers.collect();
    for now in 0..load.end_ms() {
        for engine in engines.iter_mut().filter(|e| load.is_down(e.number, now)) {
            engine.crash();
        }
        arrivals.retain(|(at, id)| {
            let is_due = *at <= now;
            if is_due {
                policy.arrive(&requests[*id], now);
            }
            !is_due
        });
        for decision in policy.decide(&engines, now) {
            match decision {
                Decision::Move(id, engine) => {
                    let cancelled = engines.iter_mut().find_map(|from| from.cancel(id));
                    if let Some(generated) = cancelled {
                        engines[engine].enqueue(&requests[id], generated);
                    }
                }
                Decision::Send(id, engine) => engines[engine].enqueue(&requests[id], 0),
                Decision::Refuse(id, after) => {
                    let request = &mut requests[id];
                    let time_left = request.time_left(now);
                    let after = after.min((time_left as f64 * MAX_RETRY_DELAY_FRACTION) as u64);
                    if !std::mem::replace(&mut request.has_retried, true) && time_left > 0 {
                        arrivals.push((now + after, id));
                    }
                }
            }
        }
        for engine in &mut engines {
            for (id, progress) in engine.run(now) {
                let answer = &mut answers[id];
                match progress {
                    Progress::First => {
                        answer.first.get_or_insert(now - requests[id].arrived);
                    }
                    Progress::Ended => answer.is_complete = true,
                    Progress::TimedOut(_) | Progress::Tokens(..) => {}
                }
                policy.progress(&requests[id], engine.number, progress, now);
            }
        }
    }
    answers
}

fn outcomes(answers: &[Answer]) -> [Outcome; 3] {
    let mut outcomes = [Outcome::default(); 3];
    for answer in answers {
        let outcome = &mut outcomes[usize::from(answer.kind.tier())];
        match answer.first {
            None => outcome.lost += 1,
            Some(after) if after <= answer.kind.objective_ms() => outcome.in_time += 1,
            Some(_) => outcome.late += 1,
        }
    }
    outcomes
}

impl Request {
    /// Returns the time to the caller's deadline, in milliseconds.
    pub fn time_left(&self, now: u64) -> u64 {
        (self.arrived + self.kind.deadline_ms()).saturating_sub(now)
    }
}
