//! Decides which of two runs of one request delivers its answer.
//!
//! Both may have a part of the answer at the same moment. Whoever forwards one claims it first, so that no
//! part is delivered twice.

use std::cell::Cell;
use std::rc::Rc;

use derive_more::Display;
use event_listener::Event;

/// One of two runs of a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Side {
    /// The run that delivers the answer so far.
    #[display("current")]
    Current,
    /// The run that is to take over.
    #[display("next")]
    Next,
}

/// Two runs of one request, of which one goes on.
#[derive(Debug)]
pub struct Race {
    can_current_win: bool,
    decided: Event,
    winner: Cell<Option<Side>>,
}

impl Race {
    /// Begins a race. The first part of the next run decides it; set `can_current_win` if a part of the
    /// current one does so as well.
    #[must_use]
    pub fn new(can_current_win: bool) -> Rc<Self> {
        Rc::new(Self {
            can_current_win,
            decided: Event::new(),
            winner: Cell::new(None),
        })
    }

    /// Returns `true` if a part that arrived on this side is to be delivered.
    pub fn claim(&self, side: Side) -> bool {
        if let Some(winner) = self.winner.get() {
            return winner == side;
        }
        if side == Side::Next || self.can_current_win {
            self.winner.set(Some(side));
            self.decided.notify(usize::MAX);
        }
        true
    }

    /// The run that goes on, if that is decided.
    #[must_use]
    pub fn winner(&self) -> Option<Side> {
        self.winner.get()
    }

    /// Completes once it is decided which run goes on.
    pub async fn decided(&self) {
        while self.winner.get().is_none() {
            let listener = self.decided.listen();
            if self.winner.get().is_none() {
                listener.await;
            }
        }
    }
}
