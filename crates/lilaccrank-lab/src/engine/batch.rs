//! The running batch: admits in arrival order, reads prompts in chunks, makes a token a step.

use std::rc::Rc;
use std::time::{Duration, Instant};

use lilaccrank::ids::RequestId;

use super::log::End;
use super::state::{Engine, State};
use super::stream::Stream;

/// Prompt tokens that one step reads at most, so that a long prompt slows the running requests
/// but does not stop them.
const PREFILL_CHUNK: u32 = 128;
/// Growth of a step's time with each further running request.
const BATCH_GROWTH: f64 = 0.02;
/// A step that comes later than this does not hurry the next ones.
const CATCH_UP: Duration = Duration::from_millis(5);

/// A request in the engine.
pub(super) struct Job {
    /// Tokens generated.
    pub(super) decoded: u32,
    pub(super) digests: Vec<u64>,
    pub(super) id: RequestId,
    pub(super) max_tokens: u32,
    /// Prompt tokens still to read.
    pub(super) prefill_left: u32,
    pub(super) prompt_tokens: u32,
    pub(super) stream: Rc<Stream>,
}

/// What one step does.
struct Step {
    /// Requests that get a token.
    decode: Vec<RequestId>,
    length: Duration,
    prefill: Vec<Chunk>,
}

struct Chunk {
    id: RequestId,
    tokens: u32,
}

/// Runs the batch for as long as the process lives.
pub(super) async fn run(engine: Rc<Engine>) {
    let mut due = Instant::now();
    loop {
        engine.unhung().await;
        let Some(step) = begin(&engine) else {
            engine.changed.changed().await;
            continue;
        };
        let now = Instant::now();
        if now.saturating_duration_since(due) > CATCH_UP {
            due = now;
        }
        due += step.length;
        monoio::time::sleep(due.saturating_duration_since(now)).await;
        engine.unhung().await;
        engine.state().finish(&step);
    }
}

/// Admits what fits and lays out the next step; `None` if there is nothing to do.
fn begin(engine: &Engine) -> Option<Step> {
    let mut state = engine.state();
    state.admit(engine.cfg.slots);
    if state.running.is_empty() {
        return None;
    }
    let mut left = PREFILL_CHUNK;
    let mut prefill = Vec::new();
    let mut decode = Vec::new();
    for job in &state.running {
        if job.prefill_left == 0 {
            decode.push(job.id.clone());
            continue;
        }
        let tokens = job.prefill_left.min(left);
        if tokens > 0 {
            left -= tokens;
            let id = job.id.clone();
            prefill.push(Chunk { id, tokens });
        }
    }
    let mut ms = f64::from(PREFILL_CHUNK - left) / engine.cfg.prefill_tokens_per_s * 1000.0;
    if let Some(others) = decode.len().checked_sub(1) {
        ms += engine.cfg.step_ms * (1.0 + BATCH_GROWTH * others as f64);
    }
    let ms = ms * engine.faults.speed.get();
    Some(Step {
        decode,
        length: Duration::from_secs_f64(ms.max(0.0) / 1000.0),
        prefill,
    })
}

impl State {
    fn admit(&mut self, slots: usize) {
        while self.running.len() < slots {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.cache.cached_tokens(&job.digests);
            // The last token is always read: its result is where the answer starts.
            let cached = cached.min(job.prompt_tokens.saturating_sub(1));
            job.prefill_left = job.prompt_tokens - cached;
            job.stream.set_cached_tokens(cached);
            self.log.admit(&job.id, cached);
            self.running.push(job);
        }
        self.record_load();
    }

    /// Applies a step; a request cancelled since it began is no longer among the running.
    fn finish(&mut self, step: &Step) {
        for chunk in &step.prefill {
            self.prefill(chunk);
        }
        for id in &step.decode {
            self.decode(id);
        }
        self.running.retain(|job| job.decoded < job.max_tokens);
        self.record_load();
    }

    fn prefill(&mut self, chunk: &Chunk) {
        let Some(job) = self.running.iter_mut().find(|job| job.id == chunk.id) else {
            return;
        };
        job.prefill_left -= chunk.tokens;
        self.log.prefilled(&chunk.id, chunk.tokens);
        if job.prefill_left > 0 {
            return;
        }
        self.cache.store(&job.digests, &mut self.cache_events);
        self.log.prompt_read(&chunk.id);
        self.decode(&chunk.id);
    }

    fn decode(&mut self, id: &str) {
        let Some(job) = self.running.iter_mut().find(|job| job.id == id) else {
            return;
        };
        job.decoded += 1;
        job.stream.push_token();
        self.log.decoded(id);
        if job.decoded == job.max_tokens {
            self.log.end(id, End::Done);
            job.stream.finish(End::Done);
        }
    }
}
