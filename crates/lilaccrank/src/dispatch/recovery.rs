//! Change of dispatcher and failure of entry daemons.
//!
//! The dispatcher's state is soft: entry daemons own their requests and send them to a new
//! dispatcher.

use std::cell::Cell;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::choice::Choice;
use super::message::{Entry, Resync, Running, Submission};
use super::state::{State, Waiting, work};
use super::target::Target;
use crate::error_kind::ErrorKind;
use crate::ids::RequestId;

/// Handover to a new dispatcher that waits for the entry daemons.
#[derive(Debug)]
pub(super) struct Handover {
    expected: IndexSet<Entry>,
    until: Instant,
}

impl State {
    /// Grants nothing until all `expected` entry daemons have resynced or the grace period is over.
    /// Until then the queue is incomplete: a grant could overtake more urgent work that is not yet
    /// known, or overload targets that run unknown requests.
    pub(super) fn begin_handover(&mut self, expected: Vec<Entry>, grace: Duration, now: Instant) {
        self.handover = Some(Handover {
            expected: expected.into_iter().collect(),
            until: now + grace,
        });
        self.check_handover(now);
    }

    /// Puts the end of a handover off.
    pub(super) fn move_handover(&mut self, by: Duration) {
        if let Some(handover) = &mut self.handover {
            handover.until += by;
        }
    }

    /// Ends a handover that is complete or has timed out.
    pub(super) fn check_handover(&mut self, now: Instant) {
        let is_over = |handover: &Handover| handover.expected.is_empty() || now >= handover.until;
        if self.handover.as_ref().is_some_and(is_over) {
            self.handover = None;
            self.refuse_unserved(now);
            self.dispatch(now);
            self.shed(now);
        }
    }

    /// Replaces the state of one entry daemon with its resync.
    pub(super) fn resync(&mut self, resync: Resync, now: Instant) {
        self.drop_earlier_incarnations(&resync.entry, now);
        let running = resync.running.iter().map(|running| &running.submission);
        let reported: IndexSet<RequestId> = running
            .chain(&resync.waiting)
            .map(|submission| submission.request.clone())
            .collect();
        self.drop_unreported(&resync.entry, &reported, now);
        for running in resync.running {
            self.take_over_running(running, now);
        }
        for submission in resync.waiting {
            self.take_over_waiting(submission, now);
        }
        if let Some(handover) = &mut self.handover {
            handover.expected.swap_remove(&resync.entry);
        }
        self.check_handover(now);
        self.dispatch(now);
        self.shed(now);
    }

    /// Removes all requests of an entry daemon that has failed, since nobody waits for them any
    /// more.
    pub(super) fn forget_entry(&mut self, entry: &Entry, now: Instant) {
        self.drop_requests_of(|other| other == entry, now);
        if let Some(handover) = &mut self.handover {
            handover.expected.swap_remove(entry);
        }
        self.check_handover(now);
        self.dispatch(now);
    }

    fn drop_earlier_incarnations(&mut self, entry: &Entry, now: Instant) {
        let is_earlier =
            |other: &Entry| other.vm == entry.vm && other.incarnation < entry.incarnation;
        self.drop_requests_of(is_earlier, now);
        if let Some(handover) = &mut self.handover {
            handover.expected.retain(|other| !is_earlier(other));
        }
    }

    fn drop_requests_of(&mut self, matches_entry: impl Fn(&Entry) -> bool, now: Instant) {
        let waiting = self.waiting.values();
        let waiting = waiting.filter(|waiting| matches_entry(&entry_of(&waiting.submission)));
        let waiting: Vec<RequestId> = waiting.map(|w| w.submission.request.clone()).collect();
        let granted = self
            .active_grants
            .iter()
            .filter(|(_, granted)| matches_entry(&granted.entry));
        let granted: Vec<RequestId> = granted.map(|(request, _)| request.clone()).collect();
        for request in waiting {
            self.refuse(&request, ErrorKind::Cancelled, None);
        }
        for request in granted {
            self.release(&request, now);
        }
    }

    /// Removes requests that the entry daemon no longer has. A submission with a waiting call, or
    /// an unconfirmed grant, may be newer than the resync and is kept; it ends with the call or
    /// when the grant expires.
    fn drop_unreported(&mut self, entry: &Entry, reported: &IndexSet<RequestId>, now: Instant) {
        let waiting = self.waiting.values().filter(|waiting| {
            waiting.waiter.is_none()
                && entry_of(&waiting.submission) == *entry
                && !reported.contains(&waiting.submission.request)
        });
        let waiting: Vec<RequestId> = waiting.map(|w| w.submission.request.clone()).collect();
        let granted = self.active_grants.iter().filter(|(request, granted)| {
            granted.began && granted.entry == *entry && !reported.contains(*request)
        });
        let granted: Vec<RequestId> = granted.map(|(request, _)| request.clone()).collect();
        for request in waiting {
            self.refuse(&request, ErrorKind::Cancelled, None);
        }
        for request in granted {
            self.release(&request, now);
        }
    }

    fn take_over_running(&mut self, running: Running, now: Instant) {
        let request = running.submission.request.clone();
        if self.ended.contains(&request, running.submission.submission) {
            return;
        }
        let granted = self.active_grants.get_mut(&request);
        if let Some(granted) =
            granted.filter(|granted| granted.submission >= running.submission.submission)
        {
            granted.began |= granted.submission == running.submission.submission;
            return;
        }
        let waiting = self.waiting.get(&request);
        if waiting
            .is_some_and(|waiting| waiting.submission.submission > running.submission.submission)
        {
            return;
        }
        self.refuse(&request, ErrorKind::Cancelled, None);
        self.release(&request, now);
        let prefill = match running.decoded {
            Some(_) => 0,
            None => work(&running.submission).prefill,
        };
        let choice = Choice {
            earliest_completion: 0.0,
            prefill,
            target: running.target,
        };
        // A target that isn't in the configuration gets no new work, but its load still counts.
        self.targets
            .entry(choice.target.clone())
            .or_insert_with(|| Target::unlisted(choice.target.clone(), now));
        let waiting = Waiting {
            counter_key: self.limits.take_over(&running.submission, now),
            submission: running.submission,
            deadline: None,
            delayed: Cell::default(),
            waiter: None,
        };
        self.reserve(&waiting, &choice, now);
        if let Some(granted) = self.active_grants.get_mut(&request) {
            granted.began = true;
            granted.is_delivered = true;
        }
    }

    fn take_over_waiting(&mut self, submission: Submission, now: Instant) {
        let waiting = self
            .waiting
            .get(&submission.request)
            .map(|w| w.submission.submission);
        let granted = self
            .active_grants
            .get(&submission.request)
            .map(|granted| granted.submission);
        let has_ended = self
            .ended
            .contains(&submission.request, submission.submission);
        if has_ended || waiting.max(granted) >= Some(submission.submission) {
            return;
        }
        self.refuse(&submission.request, ErrorKind::Cancelled, None);
        self.release(&submission.request, now);
        let counter_key = self.limits.take_over(&submission, now);
        self.enqueue(submission, counter_key, now);
    }
}

fn entry_of(submission: &Submission) -> Entry {
    Entry {
        incarnation: submission.entry_incarnation,
        vm: submission.entry.clone(),
    }
}
