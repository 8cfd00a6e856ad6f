//! Anti-entropy between two daemons: one asks, and both know the facts of both afterwards.
//!
//! Each remembers of the other up to which revision it has heard and told. A daemon that has started
//! again counts its revisions anew, which its incarnation tells.

use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Advisories, Advisory, Fact, Revision};
use crate::ids::{Incarnation, VmId};

/// Facts in one message; the rest follows with the next one.
pub const PAGE: usize = 128;

/// A question for facts, with those that the asker has not told yet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Facts up to this revision are known.
    pub after: Revision,
    /// Life of the other daemon that counts these revisions.
    pub incarnation: Incarnation,
    /// Facts of the asker.
    pub pushed: Vec<Advisory>,
}

/// The answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Facts that the asker lacks.
    pub advisories: Vec<Advisory>,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Revision up to which these are all.
    pub revision: Revision,
}

/// What has been exchanged with each other daemon.
#[derive(Debug, Default)]
pub struct Cursors(IndexMap<VmId, Cursor>);

#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    incarnation: Incarnation,
    pulled: Revision,
    pushed: Revision,
    /// Revision up to which the question that is on its way tells all.
    pushing: Revision,
}

impl Cursors {
    /// The next question to `peer`.
    pub fn pull(&mut self, peer: &VmId, known: &Advisories, now: Instant) -> Pull {
        let cursor = self.0.entry(peer.clone()).or_default();
        let (pushed, pushing) = known.after(cursor.pushed, PAGE, now);
        cursor.pushing = pushing;
        Pull {
            after: cursor.pulled,
            incarnation: cursor.incarnation,
            pushed,
        }
    }

    /// Takes in the answer of `peer`. Returns the facts that are new.
    pub fn take(
        &mut self,
        peer: &VmId,
        page: &Page,
        known: &mut Advisories,
        now: Instant,
    ) -> Vec<Fact> {
        let cursor = self.0.entry(peer.clone()).or_default();
        // What an earlier life was told is gone with it.
        let knows_earlier = cursor.incarnation == page.incarnation || cursor.pushed == 0;
        let pushed = if knows_earlier { cursor.pushing } else { 0 };
        let nothing_new_meanwhile = pushed == known.revision;
        let advisories = &page.advisories[..page.advisories.len().min(PAGE)];
        let new = known.merge(advisories, now);
        *cursor = Cursor {
            incarnation: page.incarnation,
            pulled: page.revision,
            // What has just come from the peer need not go back there.
            pushed: if nothing_new_meanwhile {
                known.revision
            } else {
                pushed
            },
            pushing: 0,
        };
        new
    }

    /// Forgets daemons that are members no more.
    pub fn retain(&mut self, is_member: impl Fn(&VmId) -> bool) {
        self.0.retain(|vm, _| is_member(vm));
    }
}

/// Answers a question to the daemon whose life is `incarnation`. Returns the facts that are new here, too.
pub fn answer(
    pull: &Pull,
    known: &mut Advisories,
    incarnation: Incarnation,
    now: Instant,
) -> (Page, Vec<Fact>) {
    let after = match pull.incarnation == incarnation {
        true => pull.after,
        false => 0,
    };
    let (advisories, revision) = known.after(after, PAGE, now);
    let is_all = revision == known.revision;
    let pushed = &pull.pushed[..pull.pushed.len().min(PAGE)];
    let new = known.merge(pushed, now);
    let page = Page {
        advisories,
        incarnation,
        // What the asker has just told need not go back there.
        revision: if is_all { known.revision } else { revision },
    };
    (page, new)
}
