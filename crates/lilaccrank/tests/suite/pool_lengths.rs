//! What comes of long answers beside short ones of their kind.

use crate::pool_model::{self, Answer, Kind, Load, Placed};

/// How often the longest tenth of a kind, and the fifth below it, are whole, as a part of how often
/// all of the kind are. Users count a day as failed where that is under one half. A day has some
/// hundred answers of the longest tenth, of which four in ten are whole, so that luck moves the
/// part by an eighth; to stay over one half on all but one day in five hundred, it has to be this
/// much.
const AS_OFTEN: f64 = 0.85;
/// Days that are looked at together, so that luck does not decide.
const DAYS: u64 = 8;

/// How often answers are whole.
fn whole(answers: &[Answer]) -> f64 {
    let whole = answers.iter().filter(|answer| answer.whole).count();
    whole as f64 / answers.len() as f64
}

/// How often the longest tenth, the fifth below it and all answers of a kind are whole.
fn by_length(kind: Kind, load: impl Fn(u64) -> Load) -> [f64; 3] {
    let days = (0..DAYS).map(load);
    let answers = days.flat_map(|load| pool_model::answers(&load, &mut Placed::new(&load, true)));
    let mut answers: Vec<Answer> = answers.filter(|answer| answer.kind == kind).collect();
    answers.sort_by_key(|answer| answer.length);
    let (rest, tenth) = answers.split_at(answers.len() * 9 / 10);
    let fifth = &rest[answers.len() * 7 / 10..];
    [tenth, fifth, &answers].map(whole)
}

/// A load under which long answers of a kind are whole as often as others.
macro_rules! as_often {
    ($name:ident, $load:expr, $kind:expr) => {
        #[test]
        fn $name() {
            let [tenth, fifth, all] = by_length($kind, $load);
            let told = format!("longest tenth {tenth:.2}, fifth below {fifth:.2}, all {all:.2}");
            assert!(tenth >= all * AS_OFTEN, "{told}");
            assert!(fifth >= all * AS_OFTEN, "{told}");
        }
    };
}

// Long answers on slow engines would be cut at their deadline, while short ones of their kind arrive whole.
as_often!(
    long_dialogues_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Chat
);
as_often!(
    long_reports_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Report
);
as_often!(
    long_reviews_on_slow_engines,
    Load::busy_on_slow_engines,
    Kind::Review
);
