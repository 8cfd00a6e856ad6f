//! Requests that lie unanswered at a target that gives no sign of life.
//!
//! What was written to a target can't be taken back: a target that reads late finds requests whose
//! callers have left long ago. One that has answered nothing since it started, or has gone silent,
//! therefore gets a request now and then, from all daemons of a cell together, until it answers.

use std::time::{Duration, Instant};

/// Time until the second trial of a silent target; each further pause is twice as long.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Upper bound of these pauses, reached after the trials in the first [`DOUBLING_TIME`].
const MAX_TRIAL_PAUSE: Duration = Duration::from_secs(30);
/// Time in which the pauses double.
const DOUBLING_TIME: Duration = Duration::from_secs(31);
/// Time without a sign of life after which requests that were given up show that a target is silent.
const SILENCE: Duration = Duration::from_millis(500);
/// Time after which the other daemons have told of what they saw before a target ended.
const PEER_DELAY: Duration = Duration::from_millis(100);
/// Time by which the daemons of a cell take turns at a trial that is due, so that each learns of the trials
/// of those before it.
const TURN: Duration = Duration::from_millis(50);

/// Requests of a cell that lie unanswered at one target.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// Requests that were given up during the silence.
    abandoned: u32,
    /// When a connection was lost or another target answered, if that began a silence.
    ended_at: Option<Instant>,
    /// Grant of the first request that was given up since the last sign of life.
    given_up_since: Option<Instant>,
    alive_at: Option<Instant>,
    silence: Option<Silence>,
    /// Number of daemons of the cell whose turn comes first.
    turn: u32,
}

/// A time without any sign of life.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// Set if the target has never answered, and may be tried at once.
    is_new: bool,
    /// Requests that may lie there in addition to the trials.
    limit: u32,
    since: Instant,
}

impl Silence {
    /// Number of trials that may have been made `after` it began.
    fn trials(self, after: Duration) -> u32 {
        let doublings = (after.min(DOUBLING_TIME).as_secs() / TRIAL_PAUSE.as_secs() + 1).ilog2();
        let later = after.saturating_sub(DOUBLING_TIME).as_secs() / MAX_TRIAL_PAUSE.as_secs();
        let later = u32::try_from(later).unwrap_or(u32::MAX);
        (u32::from(self.is_new) + doublings).saturating_add(later)
    }

    fn allowed(self, turn: u32, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.since);
        let trials = elapsed
            .checked_sub(TURN * turn)
            .map_or(0, |after| self.trials(after));
        self.limit.saturating_add(trials)
    }
}

impl Unanswered {
    /// State of a target that has answered nothing yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            abandoned: 0,
            ended_at: None,
            given_up_since: None,
            alive_at: None,
            silence: Some(Silence {
                is_new: true,
                limit: 0,
                since: now,
            }),
            turn: 0,
        }
    }

    /// Sets the number of daemons whose turn comes first.
    pub fn set_turn(&mut self, turn: u32) {
        self.turn = turn;
    }

    /// Records a sign of life: the target reads what it gets.
    pub fn record_sign_of_life(&mut self, now: Instant) {
        self.abandoned = 0;
        self.given_up_since = None;
        self.alive_at = Some(now);
        self.silence = None;
    }

    /// Moves the times of the last sign of life and of the first request that was given up since.
    pub fn move_signs(&mut self, later: impl Fn(Instant) -> Instant) {
        self.alive_at = self.alive_at.map(&later);
        self.given_up_since = self.given_up_since.map(&later);
    }

    /// Returns `true` if there has been no sign of life since the target started or fell silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silence.is_some()
    }

    /// Returns `true` if there was a sign of life after `at`.
    #[must_use]
    pub fn has_answered_since(&self, at: Instant) -> bool {
        self.alive_at.is_some_and(|alive_at| alive_at > at)
    }

    /// Returns `true` if there was a sign of life within the time that a silence takes.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        self.alive_at
            .is_some_and(|alive_at| now.saturating_duration_since(alive_at) < SILENCE)
    }

    /// Records that a target with `batch` requests is silent.
    pub fn record_silent(&mut self, batch: u32, now: Instant) {
        self.silence = Some(Silence {
            is_new: false,
            limit: batch.saturating_add(self.abandoned),
            since: now,
        });
    }

    /// Records that the connection of a request was lost, one of a `batch`: the target may have ended. It is
    /// tried like a new one until it gives a sign of life.
    pub fn record_lost(&mut self, batch: u32, now: Instant) {
        if self.silence.is_none() {
            self.record_ended(now);
            self.silence = Some(Silence {
                is_new: true,
                limit: batch,
                since: now,
            });
        }
    }

    /// Records that the target seems to have ended.
    pub fn record_ended(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Returns `true` if what another daemon tells of the target may be from before it ended.
    #[must_use]
    pub fn may_predate_end(&self, now: Instant) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.saturating_duration_since(ended_at) < PEER_DELAY)
    }

    /// Records requests that were given up. While a target answers, none of them goes on lying there.
    pub fn record_abandoned(&mut self, requests: u32) {
        if self.silence.is_some() {
            self.abandoned = self.abandoned.saturating_add(requests);
        }
    }

    /// Returns `true` if a request that was granted at `granted` and is given up now shows that the target
    /// is silent.
    pub fn shows_silence(&mut self, granted: Instant, now: Instant) -> bool {
        if self.has_answered_since(granted) {
            return false;
        }
        let since = *self.given_up_since.get_or_insert(granted);
        now.saturating_duration_since(since) >= SILENCE
    }

    /// Returns `true` if the target, which has a `batch` of requests, may get another one.
    #[must_use]
    pub fn allows(&self, batch: u32, now: Instant) -> bool {
        self.silence.is_none_or(|silence| {
            batch.saturating_add(self.abandoned) < silence.allowed(self.turn, now)
        })
    }
}
