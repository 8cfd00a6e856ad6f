//! Comparison of a new version with the old ones.

use std::time::Duration;

use lilaccrank::ids::RuleId;
use lilaccrank::rollout::evidence::{Evidence, Observation, Side};
use lilaccrank::rollout::verdict::{self, Fault};
use lilaccrank::target_instance::InstanceDigest;
use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const RULE: &str = "reports";
/// Usual time until an answer.
const USUAL: Duration = Duration::from_millis(30);
/// Targets of the new version.
const TARGETS: u32 = 6;

/// Answers in the making.
#[derive(Default)]
struct Answers {
    evidence: Evidence,
    pending: Evidence,
    targets: u32,
}

fn seen(rule: &RuleId, side: Side, target: InstanceDigest) -> Observation<'_> {
    Observation { rule, side, target }
}

impl Answers {
    /// Adds answers, of which the last `failures` fail, and which take so long.
    fn add(mut self, side: Side, count: u32, failures: u32, time: Duration) -> Self {
        let rule = RULE.to_owned();
        for number in 0..count {
            self.targets += 1;
            let seen = seen(&rule, side, self.targets % TARGETS);
            let is_failure = number >= count - failures;
            self.evidence.record_answer(seen, is_failure);
            if !is_failure {
                self.evidence.record_time(seen, time);
            }
        }
        self
    }

    fn with_old(self, count: u32, failures: u32) -> Self {
        self.add(Side::Old, count, failures, USUAL)
    }

    fn with_new(self, count: u32, failures: u32) -> Self {
        self.add(Side::New, count, failures, USUAL)
    }

    fn with_slow(self, count: u32, ratio: u32) -> Self {
        self.add(Side::New, count, 0, USUAL * ratio)
    }

    /// Adds failures of one target of the new version.
    fn grey(mut self, failures: u32) -> Self {
        let rule = RULE.to_owned();
        for _ in 0..failures {
            self.evidence.record_answer(seen(&rule, Side::New, 1), true);
        }
        self
    }

    /// Adds requests that have waited for so long, at targets of the new version.
    fn waiting(mut self, count: u32, time: Duration) -> Self {
        let rule = RULE.to_owned();
        for target in 0..count {
            let seen = seen(&rule, Side::New, target % TARGETS);
            self.pending.record_time(seen, time);
        }
        self
    }

    /// Adds good answers of another rule.
    fn other_rule(mut self, count: u32) -> Self {
        let rule = "pings".to_owned();
        for target in 0..count {
            let seen = seen(&rule, Side::New, target % TARGETS);
            self.evidence.record_answer(seen, false);
        }
        self
    }

    fn fault(&self) -> Option<Fault> {
        verdict::blame(&self.evidence, &self.pending).map(|blame| blame.fault)
    }
}

/// Names answers and what the new version is blamed for.
macro_rules! verdicts {
    ($($(#[$doc:meta])* $name:ident: $answers:expr, $fault:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let answers: Answers = $answers;
            assert_eq!(answers.fault(), $fault);
        }
    )*};
}

verdicts! {
    /// Guards against a verdict without a ground.
    nothing_seen: Answers::default(), None;
    /// Guards against a version that fails and is trusted until many have suffered.
    ten_answers_of_which_six_fail: Answers::default().with_old(200, 0).with_new(12, 8), Some(Fault::Failures);
    /// Guards against a verdict that needs answers of the old versions.
    failures_without_old_answers: Answers::default().with_new(20, 14), Some(Fault::Failures);
    /// Guards against blame for failures that the old versions have as well.
    failures_of_both: Answers::default().with_old(200, 28).with_new(40, 6), None;
    /// Guards against failures that pass for the usual ones of a service.
    more_failures_than_usual: Answers::default().with_old(200, 28).with_new(60, 40), Some(Fault::Failures);
    /// Guards against blame of a version for one of its targets.
    one_failing_target: Answers::default().with_old(200, 0).with_new(30, 0).grey(20), None;
    /// Guards against failures of one rule that vanish among the answers of others.
    failures_of_one_rule: Answers::default().with_old(200, 0).with_new(12, 8).other_rule(500), Some(Fault::Failures);
    /// Guards against a version that is several times slower and goes on to the end.
    eight_times_slower: Answers::default().with_old(200, 0).with_slow(12, 8), Some(Fault::Slowness);
    /// Guards against slow requests that count only once they are answered.
    slow_and_unanswered: Answers::default().with_old(200, 0).waiting(12, USUAL * 8), Some(Fault::Slowness);
    /// Guards against blame for requests that have only just been sent.
    not_answered_yet: Answers::default().with_old(200, 0).waiting(12, USUAL), None;
    /// Guards against blame for ordinary differences of speed.
    a_little_slower: Answers::default().with_old(200, 0).add(Side::New, 40, 0, USUAL * 3 / 2), None;
    /// Guards against slowness that is told without anything to compare it with.
    slow_without_old_answers: Answers::default().with_old(5, 0).with_slow(40, 8), None;
}

quickcheck! {
    /// Guards against blame of a sound version by chance, whatever the service's own failures.
    fn chance_is_not_blamed(seed: u64, count: u16, percent: u8) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let share = f64::from(percent % 50) / 100.0;
        let mut failures = |count: u32| (0..count).filter(|_| rng.random_bool(share)).count() as u32;
        let new = u32::from(count % 300);
        let answers = Answers::default().with_old(new * 10, failures(new * 10));
        answers.with_new(new, failures(new)).fault().is_none()
    }
}
