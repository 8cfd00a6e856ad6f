//! Load patterns before a pool of engines: what comes of urgent work, and of the rest, beside ways
//! to place requests that know nothing of tiers.

use crate::pool_model::naive::{Naive, Pick};
use crate::pool_model::{self, DispatcherPolicy, Kind, Load, Outcome};

/// Part of the reviews that have their first token in time. The model's engines can read and
/// generate for all reviews and reports of each pattern at once, so that nothing but a wrong
/// place or a wrong order can make them late; what is missing to one are prompts of five times
/// the usual length behind each other.
const MIN_REVIEWS_IN_TIME: f64 = 0.97;
/// Part of the reports.
const MIN_REPORTS_IN_TIME: f64 = 0.95;
/// Part by which a later tier may be answered more often than an earlier one: requests that came
/// just before a burst.
const MAX_TIER_INVERSION: f64 = 0.03;

/// A load under the product's way and under the naive ones.
struct Comparison {
    naive: Vec<(Pick, [Outcome; 3])>,
    dispatcher: [Outcome; 3],
}

impl Comparison {
    fn new(load: &Load) -> Self {
        let picks = [Pick::LeastReported, Pick::RoundRobin, Pick::TwoChoices];
        let naive = picks.into_iter().map(|pick| {
            let outcomes = pool_model::simulate(load, &mut Naive::new(pick));
            (pick, outcomes)
        });
        Self {
            naive: naive.collect(),
            dispatcher: pool_model::simulate(load, &mut DispatcherPolicy::new(load, true)),
        }
    }

    fn assert_urgent_work_is_in_time(&self) {
        let [reviews, reports, _] = self.dispatcher.map(|o| o.fraction_in_time());
        assert!(reviews >= MIN_REVIEWS_IN_TIME, "reviews: {reviews}");
        assert!(reports >= MIN_REPORTS_IN_TIME, "reports: {reports}");
        for (pick, outcomes) in &self.naive {
            let naive = outcomes[usize::from(Kind::Review.tier())].fraction_in_time();
            assert!(reviews >= naive, "{pick:?}: {naive} against {reviews}");
        }
    }

    fn assert_tier_order(&self) {
        let answered = self.dispatcher.map(|o| o.fraction_answered());
        for pair in answered.windows(2) {
            assert!(pair[0] + MAX_TIER_INVERSION >= pair[1], "{answered:?}");
        }
    }

    fn assert_chats_answered(&self, min_fraction: f64) {
        let chats = self.dispatcher[usize::from(Kind::Chat.tier())].fraction_answered();
        assert!(chats >= min_fraction, "chats: {chats}");
    }
}

/// A pattern, and the part of the chats that are answered at least.
macro_rules! load_pattern {
    ($name:ident, $load:expr, $chats:literal) => {
        #[test]
        fn $name() {
            for seed in 0..2 {
                let comparison = Comparison::new(&$load(seed));
                comparison.assert_urgent_work_is_in_time();
                comparison.assert_tier_order();
                comparison.assert_chats_answered($chats);
            }
        }
    };
}

// Nothing is refused on a usual day.
load_pattern!(usual_day, Load::usual, 0.99);
// At the top of the hour all devices wake: 2.1 times the usual rate for three seconds. It fills
// nine tenths of the slots with chats, if they are let.
load_pattern!(hourly_burst, Load::hourly_burst, 0.9);
// The same while a third of the engines is down. What ran on them is lost, and what they would
// have run has to find room on the others.
load_pattern!(burst_with_engines_down, Load::burst_with_engines_down, 0.7);
// Four times the usual chats for four seconds, more than all slots can hold. They wait or are
// refused, and reviews don't notice.
load_pattern!(flood_of_chats, Load::flood_of_chats, 0.6);

// Seven daemons that tell each other nothing each see a seventh of the load. They put work where
// the others have theirs, and chats take every slot: reviews wait at engines, in order of
// arrival. What the daemons tell each other is what makes the difference.
#[test]
fn reviews_are_late_without_digest_exchange() {
    let loads = (0..6).map(Load::flood_of_chats);
    let reviews = |load: &Load, shares_digests: bool| {
        let outcomes = pool_model::simulate(load, &mut DispatcherPolicy::new(load, shares_digests));
        outcomes[usize::from(Kind::Review.tier())].fraction_in_time()
    };
    let pairs: Vec<_> = loads
        .map(|load| (reviews(&load, false), reviews(&load, true)))
        .collect();
    let worst = pairs
        .iter()
        .map(|(isolated, _)| *isolated)
        .fold(1.0, f64::min);
    assert!(worst < 0.8, "{pairs:?}");
    assert!(
        pairs
            .iter()
            .all(|(_, sharing)| *sharing >= MIN_REVIEWS_IN_TIME),
        "{pairs:?}"
    );
    assert!(
        pairs
            .iter()
            .all(|(isolated, sharing)| sharing - isolated >= 0.09),
        "{pairs:?}"
    );
}

/// Part of the share served of each of two tiers that the other has at least, where both have more work than
/// the engines can do.
const MIN_SHARE_RATIO: f64 = 0.85;
/// Days that are looked at together, so that luck does not decide.
const DAYS: u64 = 3;

// Tags of the last tier, which need a slot for a moment, would be refused for slots reserved for long answers.
#[test]
fn short_answers_of_the_last_tier_are_served_beside_long_ones() {
    let days = (0..DAYS).map(Load::busy_with_short_last_tier);
    let days =
        days.map(|load| pool_model::simulate(&load, &mut DispatcherPolicy::new(&load, true)));
    let days: Vec<[Outcome; 3]> = days.collect();
    let served = |tier: usize| {
        let fractions = days.iter().map(|day| day[tier].fraction_in_time());
        fractions.sum::<f64>() / days.len() as f64
    };
    let [proposals, questions, tags] = [0, 1, 2].map(served);
    let summary = format!("proposals {proposals:.2}, questions {questions:.2}, tags {tags:.2}");
    assert!(questions < 0.9, "the load is no shortage: {summary}");
    assert!(tags >= questions * MIN_SHARE_RATIO, "{summary}");
    assert!(proposals >= questions && proposals >= tags, "{summary}");
}
