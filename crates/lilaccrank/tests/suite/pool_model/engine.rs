//! One engine.

use std::collections::VecDeque;

use super::{Progress, Request};

/// What one engine can do at speed 1.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Requests that run at once.
    pub slots: usize,
    /// Milliseconds of a step without reading.
    pub step_ms: f64,
}

impl EngineSpec {
    /// Engines of the caterers.
    pub const FAST: Self = Self {
        prefill_tokens_per_ms: 81.9,
        slots: 12,
        step_ms: 3.74,
    };
    /// Engines of the depots and of the consortium.
    pub const STANDARD: Self = Self {
        prefill_tokens_per_ms: 32.4,
        slots: 7,
        step_ms: 6.12,
    };
}

/// Prompt tokens read between two tokens of the others.
const PREFILL_CHUNK_TOKENS: u32 = 1_024;
/// Milliseconds to a first token beside the reading.
const FIRST_TOKEN_OVERHEAD_MS: f64 = 64.0;
/// Milliseconds between two words about a stream.
const PROGRESS_INTERVAL_MS: u64 = 250;

/// One engine.
pub struct Engine {
    busy_until: f64,
    spec: EngineSpec,
    pub number: usize,
    queue: VecDeque<Running>,
    running: Vec<Running>,
    speed: f64,
}

struct Running {
    deadline: u64,
    generated: u32,
    id: usize,
    output_left: u32,
    prompt_left: u32,
    unreported_tokens: u32,
    reported_at: u64,
    has_first_token: bool,
    first_token_at: f64,
}

impl Engine {
    /// Engine `number`; the speeds of the pool's engines follow each other in turn.
    pub fn new(number: usize, spec: EngineSpec, speeds: [f64; 3]) -> Self {
        Self {
            busy_until: 0.0,
            spec,
            number,
            queue: VecDeque::new(),
            running: Vec::new(),
            speed: speeds[number % speeds.len()],
        }
    }

    /// Requests in its batch and its queue.
    pub fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Takes a request of whose answer so many tokens were generated elsewhere.
    pub fn enqueue(&mut self, request: &Request, generated: u32) {
        self.queue.push_back(Running {
            deadline: request.arrived + request.kind.deadline_ms(),
            generated,
            id: request.id,
            output_left: request.output.saturating_sub(generated).max(1),
            prompt_left: request.prompt + generated,
            unreported_tokens: 0,
            reported_at: 0,
            has_first_token: false,
            first_token_at: 0.0,
        });
    }

    /// Stops a request; the tokens generated of it, if it has it.
    pub fn cancel(&mut self, id: usize) -> Option<u32> {
        let mut all = self.queue.iter().chain(&self.running);
        let generated = all.find(|running| running.id == id)?.generated;
        self.queue.retain(|running| running.id != id);
        self.running.retain(|running| running.id != id);
        Some(generated)
    }

    /// Loses all that it has, without a word.
    pub fn crash(&mut self) {
        self.queue.clear();
        self.running.clear();
    }

    /// Goes on until `now`; tells what happened.
    pub fn run(&mut self, now: u64) -> Vec<(usize, Progress)> {
        let mut events = self.remove_expired(now);
        while self.busy_until <= now as f64 {
            while self.running.len() < self.spec.slots {
                let Some(mut next) = self.queue.pop_front() else {
                    break;
                };
                next.first_token_at = now as f64 + FIRST_TOKEN_OVERHEAD_MS / self.speed;
                self.running.push(next);
            }
            if self.running.is_empty() {
                self.busy_until = (now + 1) as f64;
                break;
            }
            self.step(now, &mut events);
        }
        events
    }

    /// Stops what has reached its deadline.
    fn remove_expired(&mut self, now: u64) -> Vec<(usize, Progress)> {
        let is_expired = |running: &Running| running.deadline <= now;
        let all = self.queue.iter().chain(&self.running);
        let expired = all.filter(|running| is_expired(running));
        let timeouts = expired.map(|running| (running.id, Progress::TimedOut(running.generated)));
        let timeouts = timeouts.collect();
        self.queue.retain(|running| !is_expired(running));
        self.running.retain(|running| !is_expired(running));
        timeouts
    }

    fn step(&mut self, now: u64, events: &mut Vec<(usize, Progress)>) {
        let mut prefilling = self.running.iter_mut().filter(|r| r.prompt_left > 0);
        let prefilled = prefilling.next().map_or(0, |first| {
            let prefilled = first.prompt_left.min(PREFILL_CHUNK_TOKENS);
            first.prompt_left -= prefilled;
            prefilled
        });
        let step_duration = (self.spec.step_ms
            + f64::from(prefilled) / self.spec.prefill_tokens_per_ms)
            / self.speed;
        self.busy_until = self.busy_until.max(now as f64) + step_duration;
        let at = self.busy_until;
        for running in self.running.iter_mut().filter(|r| r.prompt_left == 0) {
            if running.first_token_at > at {
                continue;
            }
            if !std::mem::replace(&mut running.has_first_token, true) {
                running.reported_at = now;
                events.push((running.id, Progress::First));
            }
            running.generated += 1;
            running.output_left -= 1;
            running.unreported_tokens += 1;
            let elapsed = now - running.reported_at;
            if elapsed >= PROGRESS_INTERVAL_MS {
                let token_interval = elapsed as f64 / f64::from(running.unreported_tokens);
                events.push((
                    running.id,
                    Progress::Tokens(running.unreported_tokens, token_interval),
                ));
                running.unreported_tokens = 0;
                running.reported_at = now;
            }
            if running.output_left == 0 {
                events.push((running.id, Progress::Ended));
            }
        }
        self.running.retain(|r| r.output_left > 0);
    }
}
