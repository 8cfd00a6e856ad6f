//! Metrics of the daemon in the Prometheus text format.

use std::rc::Rc;

use lilaccrank::error_kind::ErrorKind;
use lilaccrank::ids::Tier;
use lilaccrank::rollout::message::Stage;
use lilaccrank_http::runtime;
use lilaccrank_http::runtime::usage;
use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::peers::traffic::Traffic;
use crate::request::race::Side;
use crate::request::takeover::Cause;

/// Result of registering metrics.
pub type Result<T, E = prometheus::Error> = std::result::Result<T, E>;

/// Bucket bounds of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0,
];

/// Upper bounds of the length classes in tokens; longer requests are in the class `more`.
const LENGTH_BOUNDS: [u32; 5] = [0, 64, 256, 1_024, 4_096];

/// Lengths and outcome of a finished request.
#[derive(Clone, Copy, Debug)]
pub struct EndStats {
    /// Tokens of the answer that were received.
    pub answer_tokens: u32,
    /// Reason for an incomplete answer; `None` if it is complete.
    pub kind: Option<ErrorKind>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tier of the request.
    pub tier: Tier,
}

/// All metrics of one daemon.
pub struct Metrics {
    answered: IntCounterVec,
    control_bytes: IntCounterVec,
    control_messages: IntCounterVec,
    ended_by_answer: IntCounterVec,
    ended_by_prompt: IntCounterVec,
    /// Seconds from arrival to the first token.
    pub first_token: Histogram,
    /// Generation of the configuration in force.
    pub generation: IntGauge,
    /// Requests in progress.
    pub in_progress: IntGauge,
    refused: IntCounterVec,
    /// Requests that were handed to another daemon because this one can't reach the target.
    pub relayed_sent: IntCounter,
    registry: Registry,
    rollout_stages: IntCounterVec,
    /// Retries that the retry budget denied.
    pub second_sends_denied: IntCounter,
    takeovers_undecided: IntCounterVec,
    task_seconds: CounterVec,
    timers_overdue: IntCounter,
    traffic: Rc<Traffic>,
    /// Targets that this daemon reaches neither directly nor through another daemon.
    pub unreachable_targets: IntGauge,
    /// Entries of the list of targets that can't be used.
    pub unusable_entries: IntGauge,
}

impl Metrics {
    /// Registers all metrics; `traffic` is read at each scrape.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name.
    pub fn new(traffic: Rc<Traffic>) -> Result<Self> {
        let answered = IntCounterVec::new(
            Opts::new("lilaccrank_answered_total", "Whole answers by tier"),
            &["tier"],
        )?;
        let control_bytes = IntCounterVec::new(
            Opts::new(
                "lilaccrank_control_bytes_total",
                "Bytes of control, without TCP, UDP and IP",
            ),
            &["channel", "direction"],
        )?;
        let control_messages = IntCounterVec::new(
            Opts::new(
                "lilaccrank_control_messages_total",
                "Messages of control: datagrams, calls and replies",
            ),
            &["channel", "direction"],
        )?;
        let ended_by_answer = IntCounterVec::new(
            Opts::new(
                "lilaccrank_ended_by_answer_total",
                "Ends of requests, by the tokens of the answer that came, at most so many",
            ),
            &["tier", "end", "tokens"],
        )?;
        let ended_by_prompt = IntCounterVec::new(
            Opts::new(
                "lilaccrank_ended_by_prompt_total",
                "Ends of requests, by the tokens of the prompt, at most so many",
            ),
            &["tier", "end", "tokens"],
        )?;
        let first_token = Histogram::with_opts(
            HistogramOpts::new(
                "lilaccrank_first_token_seconds",
                "Time from arrival to the first token",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
        )?;
        let generation = IntGauge::new(
            "lilaccrank_configuration_generation",
            "Generation of the configuration in force",
        )?;
        let in_progress = IntGauge::new("lilaccrank_in_progress", "Requests in progress")?;
        let refused = IntCounterVec::new(
            Opts::new("lilaccrank_refused_total", "Ends without a whole answer"),
            &["kind"],
        )?;
        let second_sends_denied = IntCounter::new(
            "lilaccrank_second_sends_denied_total",
            "Second sends that the budget did not allow",
        )?;
        let relayed_sent = IntCounter::new(
            "lilaccrank_relayed_total",
            "Requests handed to a daemon that reaches the target",
        )?;
        let unreachable_targets = IntGauge::new(
            "lilaccrank_unreachable_targets",
            "Targets that are reached neither directly nor through another daemon",
        )?;
        let unusable_entries = IntGauge::new(
            "lilaccrank_unusable_entries",
            "Entries of the list of targets that name no target to use",
        )?;
        let rollout_stages = IntCounterVec::new(
            Opts::new(
                "lilaccrank_rollout_stages_total",
                "Stages of roll-outs that this daemon has come to",
            ),
            &["stage"],
        )?;
        let takeovers_undecided = IntCounterVec::new(
            Opts::new(
                "lilaccrank_takeovers_undecided_total",
                "Takeovers whose next run brought no event in time, by the run that was ended",
            ),
            &["cause", "ended"],
        )?;
        let task_seconds = CounterVec::new(
            Opts::new(
                "lilaccrank_task_seconds_total",
                "Time for which the tasks of a function ran",
            ),
            &["task"],
        )?;
        let timers_overdue = IntCounter::new(
            "lilaccrank_timers_overdue_total",
            "Times that tasks were held back until timers had fired",
        )?;
        let registry = Registry::new();
        registry.register(Box::new(answered.clone()))?;
        registry.register(Box::new(control_bytes.clone()))?;
        registry.register(Box::new(control_messages.clone()))?;
        registry.register(Box::new(ended_by_answer.clone()))?;
        registry.register(Box::new(ended_by_prompt.clone()))?;
        registry.register(Box::new(first_token.clone()))?;
        registry.register(Box::new(generation.clone()))?;
        registry.register(Box::new(in_progress.clone()))?;
        registry.register(Box::new(refused.clone()))?;
        registry.register(Box::new(relayed_sent.clone()))?;
        registry.register(Box::new(unreachable_targets.clone()))?;
        registry.register(Box::new(rollout_stages.clone()))?;
        registry.register(Box::new(second_sends_denied.clone()))?;
        registry.register(Box::new(takeovers_undecided.clone()))?;
        registry.register(Box::new(task_seconds.clone()))?;
        registry.register(Box::new(timers_overdue.clone()))?;
        registry.register(Box::new(unusable_entries.clone()))?;
        Ok(Self {
            answered,
            control_bytes,
            control_messages,
            ended_by_answer,
            ended_by_prompt,
            first_token,
            generation,
            in_progress,
            refused,
            relayed_sent,
            registry,
            rollout_stages,
            second_sends_denied,
            takeovers_undecided,
            task_seconds,
            timers_overdue,
            traffic,
            unreachable_targets,
            unusable_entries,
        })
    }

    /// Counts a complete answer.
    pub fn record_answer(&self, tier: Tier) {
        self.answered.with_label_values(&[&tier.to_string()]).inc();
    }

    /// Counts a stage that a roll-out has come to.
    pub fn record_rollout_stage(&self, stage: Stage) {
        let stage = stage.to_string();
        self.rollout_stages.with_label_values(&[&stage]).inc();
    }

    /// Counts a takeover whose next run brought no event in time.
    pub fn record_undecided_takeover(&self, cause: Cause, ended: Side) {
        let labels = [&*cause.to_string(), &*ended.to_string()];
        self.takeovers_undecided.with_label_values(&labels).inc();
    }

    /// Counts a request that ended without a complete answer.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refused.with_label_values(&[&kind.to_string()]).inc();
    }

    /// Counts a finished request by its lengths. A fault that affects only long requests does not
    /// show in the totals.
    pub fn record_end(&self, stats: EndStats) {
        let tier = stats.tier.to_string();
        let end = stats
            .kind
            .map_or("whole".to_owned(), |kind| kind.to_string());
        for (counter, tokens) in [
            (&self.ended_by_answer, stats.answer_tokens),
            (&self.ended_by_prompt, stats.prompt_tokens),
        ] {
            let labels = [&*tier, &*end, &length_class(tokens)];
            counter.with_label_values(&labels).inc();
        }
    }

    /// Returns all metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.read_traffic();
        self.read_task_times();
        let overdue = runtime::times_closed();
        self.timers_overdue
            .inc_by(overdue.saturating_sub(self.timers_overdue.get()));
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!("failed to encode the metrics: {e}");
        }
        String::from_utf8(buf).unwrap_or_default()
    }

    fn read_task_times(&self) {
        for share in usage::totals() {
            let counter = self.task_seconds.with_label_values(&[share.task]);
            counter.inc_by((share.time.as_secs_f64() - counter.get()).max(0.0));
        }
    }

    fn read_traffic(&self) {
        for (channel, tally) in self.traffic.channels() {
            for (direction, passed) in [("received", tally.received()), ("sent", tally.sent())] {
                let labels = [channel, direction];
                for (counter, total) in [
                    (&self.control_bytes, passed.bytes),
                    (&self.control_messages, passed.messages),
                ] {
                    let counter = counter.with_label_values(&labels);
                    counter.inc_by(total - counter.get());
                }
            }
        }
    }
}

fn length_class(tokens: u32) -> String {
    let bound = LENGTH_BOUNDS.into_iter().find(|bound| tokens <= *bound);
    bound.map_or("more".to_owned(), |bound| bound.to_string())
}
