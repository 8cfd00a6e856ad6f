//! A pool of unlike engines before a few daemons, on a paused clock: what comes of a load pattern
//! under a way to place requests.
//!
//! Engines batch continuously, read prompts in chunks between the tokens of other requests, admit
//! in order of arrival and know no tiers, as those of the users do. What an engine can do, and the
//! engines' speeds, are the users' own figures.

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

/// Time between two looks at the pool.
const TICK: Duration = Duration::from_millis(1);
/// Part of the time left that a refused caller waits at most before it comes back.
const MAX_RETRY_DELAY_FRACTION: f64 = 1.0 / 3.0;

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its caller first sent it, in milliseconds.
    pub arrived: u64,
    /// Daemon that took it.
    pub daemon: usize,
    /// Its number.
    pub id: usize,
    /// What it is.
    pub kind: Kind,
    /// Tokens that it generates.
    pub output: u32,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Whether it was refused before.
    pub has_retried: bool,
}

/// What a way to place requests decides.
#[derive(Clone, Debug)]
pub enum Decision {
    /// It goes on at this engine, behind what was generated of it.
    Move(usize, usize),
    /// It goes to this engine.
    Send(usize, usize),
    /// Its caller is told to come back after this many milliseconds.
    Refuse(usize, u64),
}

/// What happens to a request at an engine.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// It has ended.
    Ended,
    /// Its first token came.
    First,
    /// So many tokens came since the last word, each so many milliseconds after the other.
    Tokens(u32, f64),
    /// It was cut at its deadline, with so many tokens generated.
    TimedOut(u32),
}

/// A way to place requests.
pub trait Policy {
    /// A request has come.
    fn arrive(&mut self, request: &Request, now: u64);
    /// What was decided since the last look.
    fn decide(&mut self, engines: &[Engine], now: u64) -> Vec<Decision>;
    /// Something happened to a request at an engine.
    fn progress(&mut self, request: &Request, engine: usize, progress: Progress, now: u64);
}

/// What came of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// First token within the objective.
    pub in_time: u32,
    /// First token later.
    pub late: u32,
    /// Refused for good, or not answered at the end.
    pub lost: u32,
}

impl Outcome {
    /// Part that was in time.
    pub fn fraction_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.lost).max(1))
    }

    /// Part that was answered at all.
    pub fn fraction_answered(&self) -> f64 {
        let answered = self.in_time + self.late;
        f64::from(answered) / f64::from((answered + self.lost).max(1))
    }
}

/// What came of one request.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Milliseconds from its coming to its first token.
    pub first: Option<u64>,
    /// What it is.
    pub kind: Kind,
    /// Tokens of the whole answer.
    pub length: u32,
    /// Whether all of it came by its deadline.
    pub is_complete: bool,
}

/// Plays a load before a pool and returns what came of each kind.
pub fn simulate(load: &Load, policy: &mut dyn Policy) -> [Outcome; 3] {
    outcomes(&answers(load, policy))
}

/// Plays a load before a pool and returns what came of each request.
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
    /// Milliseconds until its caller's deadline.
    pub fn time_left(&self, now: u64) -> u64 {
        (self.arrived + self.kind.deadline_ms()).saturating_sub(now)
    }
}
