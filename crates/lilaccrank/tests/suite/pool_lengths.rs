//! What comes of long answers beside short ones of their kind.

use crate::pool_model::{self, Answer, DispatcherPolicy, Kind, Load};

/// How often the longest tenth of a kind, and the fifth below it, are whole, as a part of how often
/// all of the kind are. Users count a day as failed where that is under one half. A day has some
/// hundred answers of the longest tenth, of which four in ten are whole, so that luck moves the
/// part by an eighth; to stay over one half on all but one day in five hundred, it has to be this
/// much.
const MIN_COMPLETION_RATIO: f64 = 0.85;
/// Days that are looked at together, so that luck does not decide.
const DAYS: u64 = 8;

/// How often answers are whole.
fn completion_rate(answers: &[Answer]) -> f64 {
    let complete = answers.iter().filter(|answer| answer.is_complete).count();
    complete as f64 / answers.len() as f64
}

/// How often the longest tenth, the fifth below it and all answers of a kind are whole.
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

/// A load under which long answers of a kind are whole as often as others.
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

// Long answers on slow engines would be cut at their deadline, while short ones of their kind arrive whole.
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
