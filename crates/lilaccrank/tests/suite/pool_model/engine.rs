//! One engine.

use std::collections::VecDeque;

use super::{Progress, Request};

/// What one engine can do at speed 1.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Requests that run at once.
    pub slots: usize,
    /// Milliseconds of a step without reading.
    pub step_ms: f64,
}

impl Model {
    /// Engines of the caterers.
    pub const CATERERS: Self = Self {
        read_per_ms: 81.9,
        slots: 12,
        step_ms: 3.74,
    };
    /// Engines of the depots and of the consortium.
    pub const DEPOTS: Self = Self {
        read_per_ms: 32.4,
        slots: 7,
        step_ms: 6.12,
    };
}

/// Prompt tokens read between two tokens of the others.
const CHUNK: u32 = 1_024;
/// Milliseconds to a first token beside the reading.
const FIRST_MS: f64 = 64.0;
/// Milliseconds between two words about a stream.
const TOLD_EVERY: u64 = 250;

/// One engine.
pub struct Engine {
    busy_until: f64,
    model: Model,
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
    told: u32,
    told_at: u64,
    begun: bool,
    warm_at: f64,
}

impl Engine {
    /// Engine `number`; the speeds of the pool's engines follow each other in turn.
    pub fn new(number: usize, model: Model, speeds: [f64; 3]) -> Self {
        Self {
            busy_until: 0.0,
            model,
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
    pub fn take(&mut self, request: &Request, generated: u32) {
        self.queue.push_back(Running {
            deadline: request.arrived + request.kind.deadline_ms(),
            generated,
            id: request.id,
            output_left: request.output.saturating_sub(generated).max(1),
            prompt_left: request.prompt + generated,
            told: 0,
            told_at: 0,
            begun: false,
            warm_at: 0.0,
        });
    }

    /// Stops a request; the tokens generated of it, if it has it.
    pub fn give_up(&mut self, id: usize) -> Option<u32> {
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
        let mut told = self.cut(now);
        while self.busy_until <= now as f64 {
            while self.running.len() < self.model.slots {
                let Some(mut next) = self.queue.pop_front() else {
                    break;
                };
                next.warm_at = now as f64 + FIRST_MS / self.speed;
                self.running.push(next);
            }
            if self.running.is_empty() {
                self.busy_until = (now + 1) as f64;
                break;
            }
            self.step(now, &mut told);
        }
        told
    }

    /// Stops what has reached its deadline.
    fn cut(&mut self, now: u64) -> Vec<(usize, Progress)> {
        let is_over = |running: &Running| running.deadline <= now;
        let all = self.queue.iter().chain(&self.running);
        let over = all.filter(|running| is_over(running));
        let cut = over.map(|running| (running.id, Progress::Cut(running.generated)));
        let cut = cut.collect();
        self.queue.retain(|running| !is_over(running));
        self.running.retain(|running| !is_over(running));
        cut
    }

    fn step(&mut self, now: u64, told: &mut Vec<(usize, Progress)>) {
        let mut reads = self.running.iter_mut().filter(|r| r.prompt_left > 0);
        let read = reads.next().map_or(0, |first| {
            let read = first.prompt_left.min(CHUNK);
            first.prompt_left -= read;
            read
        });
        let took = (self.model.step_ms + f64::from(read) / self.model.read_per_ms) / self.speed;
        self.busy_until = self.busy_until.max(now as f64) + took;
        let at = self.busy_until;
        for running in self.running.iter_mut().filter(|r| r.prompt_left == 0) {
            if running.warm_at > at {
                continue;
            }
            if !std::mem::replace(&mut running.begun, true) {
                running.told_at = now;
                told.push((running.id, Progress::First));
            }
            running.generated += 1;
            running.output_left -= 1;
            running.told += 1;
            let since = now - running.told_at;
            if since >= TOLD_EVERY {
                let each = since as f64 / f64::from(running.told);
                told.push((running.id, Progress::More(running.told, each)));
                running.told = 0;
                running.told_at = now;
            }
            if running.output_left == 0 {
                told.push((running.id, Progress::Ended));
            }
        }
        self.running.retain(|r| r.output_left > 0);
    }
}
