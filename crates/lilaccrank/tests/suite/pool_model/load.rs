//! Load patterns, based on the users' figures.

use super::Request;
use super::engine::EngineSpec;

/// Ratio of the longest answer of a kind to the mean.
const MAX_OUTPUT_RATIO: f64 = 10.0;

/// Kind of request; the kinds of each workload are in order of urgency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Review of a contract.
    Review,
    /// Report on a visit.
    Report,
    /// Chat about a fault.
    Chat,
    /// Proposal for a banquet.
    Proposal,
    /// Answer to a question about a menu.
    Question,
    /// Tags of a line of a menu.
    Tag,
}

/// Rate, lengths and time limits of a kind of request, as supplied by the users.
struct Profile {
    deadline_ms: u64,
    /// Longest prompt, in tokens.
    longest: f64,
    /// Time within which the caller expects the first token.
    objective_ms: u64,
    /// Mean length of the answer, in tokens.
    output: f64,
    /// Requests a second on a usual day, over all data centres.
    per_s: f64,
    /// Mean length of the prompt, in tokens.
    prompt: f64,
    tier: u8,
}

impl Kind {
    /// Workload whose urgent tiers have short answers and whose last tier has long ones.
    pub const URGENT_SHORT: [Self; 3] = [Self::Review, Self::Report, Self::Chat];
    /// Workload whose urgent tiers have long answers and whose last tier has short ones.
    pub const URGENT_LONG: [Self; 3] = [Self::Proposal, Self::Question, Self::Tag];

    /// Returns the first-token objective, in milliseconds.
    pub fn objective_ms(self) -> u64 {
        self.profile().objective_ms
    }

    /// Returns the deadline of the whole answer, in milliseconds.
    pub fn deadline_ms(self) -> u64 {
        self.profile().deadline_ms
    }

    /// Returns the tier, 0 for the most urgent.
    pub fn tier(self) -> u8 {
        self.profile().tier
    }

    fn profile(self) -> Profile {
        let profile = |tier, per_s, objective_ms, deadline_ms, prompt, longest, output| Profile {
            deadline_ms,
            longest,
            objective_ms,
            output,
            per_s,
            prompt,
            tier,
        };
        match self {
            Self::Review => profile(0, 16.5, 800, 6_000, 2_890.0, 18_300.0, 51.0),
            Self::Report => profile(1, 21.9, 1_200, 4_000, 1_800.0, 6_870.0, 24.0),
            Self::Chat => profile(2, 24.5, 1_500, 15_000, 543.0, 2_310.0, 267.0),
            Self::Proposal => profile(0, 24.5, 800, 15_000, 6_610.0, 41_000.0, 380.0),
            Self::Question => profile(1, 35.4, 400, 15_000, 628.0, 2_700.0, 290.0),
            Self::Tag => profile(2, 39.4, 500, 3_000, 1_800.0, 6_870.0, 25.0),
        }
    }
}

/// A load pattern and the pool that serves it.
#[derive(Clone, Debug)]
pub struct Load {
    /// Number of daemons; each request arrives at a random one.
    pub daemons: usize,
    /// Outages: engine, start and end in milliseconds.
    pub down: Vec<(usize, u64, u64)>,
    /// Capacity of each engine at speed 1.
    pub engine: EngineSpec,
    /// Number of engines.
    pub engines: usize,
    /// Kinds of requests, one for each tier.
    pub kinds: [Kind; 3],
    /// Seed of all random draws.
    pub seed: u64,
    /// Relative speeds of the engines, in turn.
    pub speeds: [f64; 3],
    /// Whether a request's token limit is the length of its answer. Otherwise it is the longest length of
    /// its kind, and the length is unknown in advance.
    pub has_exact_token_limits: bool,
    /// Factors of the usual rate by tier, each from the given second on.
    pub rate_factors: Vec<(u64, [f64; 3])>,
    /// Duration in which requests arrive, in seconds.
    pub seconds: u64,
}

impl Load {
    /// Usual rate on seven daemons and twelve engines.
    pub fn usual(seed: u64) -> Self {
        Self {
            daemons: 7,
            down: Vec::new(),
            engine: EngineSpec::STANDARD,
            engines: 12,
            kinds: Kind::URGENT_SHORT,
            seed,
            speeds: [0.6, 1.7, 1.7],
            has_exact_token_limits: true,
            rate_factors: vec![(0, [1.0; 3])],
            seconds: 8,
        }
    }

    /// Burst on the hour: 2.1 times the usual rate for three seconds.
    pub fn hourly_burst(seed: u64) -> Self {
        Self {
            rate_factors: vec![(0, [1.0; 3]), (2, [2.1; 3]), (5, [1.0; 3])],
            ..Self::usual(seed)
        }
    }

    /// The hourly burst while a third of the engines is down for four seconds.
    pub fn burst_with_engines_down(seed: u64) -> Self {
        Self {
            down: (0..4).map(|engine| (engine * 3, 2_000, 6_000)).collect(),
            ..Self::hourly_burst(seed)
        }
    }

    /// Four times the usual chats for four seconds; each answer holds a slot for seconds.
    pub fn flood_of_chats(seed: u64) -> Self {
        Self {
            rate_factors: vec![(0, [1.0; 3]), (2, [1.0, 1.0, 4.0]), (6, [1.0; 3])],
            ..Self::usual(seed)
        }
    }

    /// Peak load on nine engines of which two in three are slower by a factor of 1.7 / 0.6, with 1.6 times
    /// the usual rate for the first three seconds. Token limits are the same for all requests of a kind.
    pub fn busy_on_slow_engines(seed: u64) -> Self {
        Self {
            daemons: 9,
            engines: 9,
            seconds: 16,
            speeds: [1.0 / 0.6, 1.0 / 1.7, 1.0 / 1.7],
            has_exact_token_limits: false,
            rate_factors: vec![(0, [1.6; 3]), (3, [1.0; 3])],
            ..Self::usual(seed)
        }
    }

    /// Peak load of [`Kind::URGENT_LONG`], 1.5 times the usual rate, on twelve engines of which one in
    /// three is 4.4 times slower. Tags, in the last tier, hold a slot for a tenth of the time of the
    /// others.
    pub fn busy_with_short_last_tier(seed: u64) -> Self {
        Self {
            engine: EngineSpec::FAST,
            kinds: Kind::URGENT_LONG,
            seconds: 12,
            speeds: [1.0, 1.0, 1.0 / 4.4],
            has_exact_token_limits: false,
            rate_factors: vec![(0, [1.5; 3])],
            ..Self::usual(seed)
        }
    }

    /// Returns the token limit that the caller sets on a request.
    pub fn token_limit(&self, request: &Request) -> u32 {
        if self.has_exact_token_limits {
            return request.output;
        }
        (request.kind.profile().output * MAX_OUTPUT_RATIO) as u32
    }

    /// Returns the time in milliseconds at which the last deadline has passed.
    pub fn end_ms(&self) -> u64 {
        let longest = self.kinds.map(Kind::deadline_ms).into_iter().max();
        self.seconds * 1_000 + longest.unwrap_or(0)
    }

    /// Returns `true` if an engine is down at the given millisecond.
    pub fn is_down(&self, engine: usize, now: u64) -> bool {
        let mut down = self.down.iter();
        down.any(|(number, from, until)| *number == engine && (*from..*until).contains(&now))
    }

    /// Draws all requests, in order of arrival.
    pub fn requests(&self) -> Vec<Request> {
        let mut random = Random(self.seed.wrapping_add(1));
        let mut requests = Vec::new();
        for ms in 0..self.seconds * 1_000 {
            for kind in self.kinds {
                let rate_factors = self.rate_factors_at(ms / 1_000)[usize::from(kind.tier())];
                let rate = kind.profile().per_s * rate_factors;
                if random.uniform() < rate / 1_000.0 {
                    requests.push(self.request(kind, ms, requests.len(), &mut random));
                }
            }
        }
        requests
    }

    fn request(&self, kind: Kind, arrived: u64, id: usize, random: &mut Random) -> Request {
        let Profile {
            longest,
            output,
            prompt,
            ..
        } = kind.profile();
        Request {
            arrived,
            daemon: (random.uniform() * self.daemons as f64) as usize,
            id,
            kind,
            output: random
                .log_normal(output, 1.5, output * MAX_OUTPUT_RATIO)
                .max(3.0) as u32,
            prompt: random.log_normal(prompt, 1.0, longest).max(20.0) as u32,
            has_retried: false,
        }
    }

    /// Returns the rate factors of the tiers in the given second.
    fn rate_factors_at(&self, second: u64) -> [f64; 3] {
        let mut past = self.rate_factors.iter().filter(|(from, _)| *from <= second);
        past.next_back()
            .map_or([1.0; 3], |(_, rate_factors)| *rate_factors)
    }
}

/// Linear congruential generator, for the same draws in every run.
pub struct Random(u64);

impl Random {
    /// Creates a generator with the given seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Draws a number from the interval [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Draws from a log-normal distribution with this mean and sigma, capped at `limit`.
    fn log_normal(&mut self, mean: f64, sigma: f64, limit: f64) -> f64 {
        let (a, b) = (self.uniform().max(1e-12), self.uniform());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let median = mean / (sigma * sigma / 2.0).exp();
        (median * (sigma * normal).exp()).min(limit)
    }
}
