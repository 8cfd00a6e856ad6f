//! Load patterns on a pool of engines: compares the dispatcher with placement policies that ignore
//! tiers.

use crate::pool_model::naive::{Naive, Pick};
use crate::pool_model::{self, DispatcherPolicy, Kind, Load, Outcome};

/// Smallest fraction of reviews with a first token in time. The modelled engines have the capacity for
/// all reviews and reports of each pattern, so only wrong placement or order makes them late. The rest
/// are prompts of five times the usual length that queue behind each other.
const MIN_REVIEWS_IN_TIME: f64 = 0.97;
/// Smallest fraction of reports with a first token in time.
const MIN_REPORTS_IN_TIME: f64 = 0.95;
/// Largest excess of the answered fraction of a later tier over an earlier one, due to requests that
/// arrive just before a burst.
const MAX_TIER_INVERSION: f64 = 0.03;

/// Results of a load under the dispatcher and under the naive policies.
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

/// Checks a load pattern; `$chats` is the smallest fraction of chats that must be answered.
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

// On a usual day no request should be refused.
load_pattern!(usual_day, Load::usual, 0.99);
// At the top of the hour all devices send requests: 2.1 times the usual rate for three seconds. Without
// reserved slots, chats would take nine tenths of all slots.
load_pattern!(hourly_burst, Load::hourly_burst, 0.9);
// The same while a third of the engines is down. Their running requests are lost, and the other engines
// take the rest.
load_pattern!(burst_with_engines_down, Load::burst_with_engines_down, 0.7);
// Four times the usual chats for four seconds, more than there are slots. They wait or are refused, and
// reviews are not affected.
load_pattern!(flood_of_chats, Load::flood_of_chats, 0.6);

// Shows that the digests make the difference: without them each of seven daemons sees a seventh of the
// load, they send to the same engines, and chats take every slot. Reviews then wait in the engines'
// queues in order of arrival.
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

/// Smallest ratio of the fractions served of two tiers that both exceed the capacity.
const MIN_SHARE_RATIO: f64 = 0.85;
/// Days that are evaluated together, to reduce random variation.
const DAYS: u64 = 3;

// Guards against refusing short requests of the last tier, which hold a slot only briefly, because of
// slots reserved for long answers.
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
    assert!(
        questions < 0.9,
        "the load does not exceed the capacity: {summary}"
    );
    assert!(tags >= questions * MIN_SHARE_RATIO, "{summary}");
    assert!(proposals >= questions && proposals >= tags, "{summary}");
}
