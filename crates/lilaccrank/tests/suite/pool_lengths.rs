//! Completion rate of long answers compared with that of shorter ones of the same kind.

use crate::pool_model::{self, Answer, DispatcherPolicy, Kind, Load};

/// Smallest completion rate of the longest tenth of a kind, and of the fifth below it, relative to that
/// of all answers of the kind. Users count a day as failed below 0.5. A day has about a hundred answers
/// in the longest tenth, of which 40 % are complete, so chance moves the ratio by an eighth. To stay
/// above 0.5 on all but one day in five hundred, the ratio has to be this high.
const MIN_COMPLETION_RATIO: f64 = 0.85;
/// Days that are evaluated together, to reduce random variation.
const DAYS: u64 = 8;

/// Returns the fraction of answers that are complete.
fn completion_rate(answers: &[Answer]) -> f64 {
    let complete = answers.iter().filter(|answer| answer.is_complete).count();
    complete as f64 / answers.len() as f64
}

/// Returns the completion rates of the longest tenth, the fifth below it and all answers of a kind.
fn completion_rates_by_length(kind: Kind, load: impl Fn(u64) -> Load) -> [f64; 3] {
    let days = (0..DAYS).map(load);
    let answers =
        days.flat_map(|load| pool_model::answers(&load, &mut DispatcherPolicy::new(&load, true)));
    let mut answers: Vec<Answer> = answers.filter(|answer| answer.kind == kind).collect();
    answers.sort_by_key(|answer| answer.length);
    let (rest, tenth) = answers.split_at(answers.len() * 9 / 10);
    let fifth = &rest[answers.len() * 7 / 10..];
    [tenth, fifth, &answers].map(completion_rate)
}

/// Checks that long answers of a kind are complete nearly as often as the others under a load.
macro_rules! long_answers_complete {
    ($name:ident, $load:expr, $kind:expr) => {
        #[test]
        fn $name() {
            let [tenth, fifth, all] = completion_rates_by_length($kind, $load);
            let summary = format!("longest tenth {tenth:.2}, fifth below {fifth:.2}, all {all:.2}");
            assert!(tenth >= all * MIN_COMPLETION_RATIO, "{summary}");
            assert!(fifth >= all * MIN_COMPLETION_RATIO, "{summary}");
        }
    };
}

// Guards against long answers on slow engines that are cut off at their deadline while shorter ones of
// the same kind complete.
long_answers_complete!(
    long_chats_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Chat
);
long_answers_complete!(
    long_reports_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Report
);
long_answers_complete!(
    long_reviews_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Review
);
