//! Anti-entropy between two daemons, as push and pull in one exchange.
//!
//! The asker keeps a cursor for each peer: the peer's revision that it has pulled, and its own that it has
//! pushed. Revisions start again with each incarnation, which resets the cursor.

use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Advisories, Advisory, Fact, Revision};
use crate::ids::{Incarnation, VmId};

/// Most facts in one message; the rest follows with the next one.
pub const PAGE: usize = 128;

/// A request for facts, with those that the asker has not pushed yet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Facts up to this revision were pulled before.
    pub after: Revision,
    /// Incarnation of the peer to which this revision belongs.
    pub incarnation: Incarnation,
    /// Facts of the asker.
    pub pushed: Vec<Advisory>,
}

/// The reply.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Facts that the asker lacks.
    pub advisories: Vec<Advisory>,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision up to which these are complete.
    pub revision: Revision,
}

/// Cursors of all peers.
#[derive(Debug, Default)]
pub struct Cursors(IndexMap<VmId, Cursor>);

#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    incarnation: Incarnation,
    pulled: Revision,
    pushed: Revision,
    /// Revision up to which the request in flight pushes.
    pushing: Revision,
}

impl Cursors {
    /// The next request to `peer`.
    pub fn pull(&mut self, peer: &VmId, known: &Advisories, now: Instant) -> Pull {
        let cursor = self.0.entry(peer.clone()).or_default();
        let (pushed, pushing) = known.facts_after(cursor.pushed, PAGE, now);
        cursor.pushing = pushing;
        Pull {
            after: cursor.pulled,
            incarnation: cursor.incarnation,
            pushed,
        }
    }

    /// Merges the reply of `peer`. Returns the facts that are new.
    pub fn merge_page(
        &mut self,
        peer: &VmId,
        page: &Page,
        known: &mut Advisories,
        now: Instant,
    ) -> Vec<Fact> {
        let cursor = self.0.entry(peer.clone()).or_default();
        // What was pushed to an earlier incarnation is lost with it.
        let is_push_kept = cursor.incarnation == page.incarnation || cursor.pushed == 0;
        let pushed = if is_push_kept { cursor.pushing } else { 0 };
        let has_pushed_all = pushed == known.revision;
        let advisories = &page.advisories[..page.advisories.len().min(PAGE)];
        let new = known.merge(advisories, now);
        *cursor = Cursor {
            incarnation: page.incarnation,
            pulled: page.revision,
            // Facts that came from the peer are not echoed.
            pushed: if has_pushed_all {
                known.revision
            } else {
                pushed
            },
            pushing: 0,
        };
        new
    }

    /// Drops the cursors of daemons that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&VmId) -> bool) {
        self.0.retain(|vm, _| is_member(vm));
    }
}

/// Replies as the daemon with this incarnation. Returns the facts that are new here, too.
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
    let (advisories, revision) = known.facts_after(after, PAGE, now);
    let is_complete = revision == known.revision;
    let pushed = &pull.pushed[..pull.pushed.len().min(PAGE)];
    let new = known.merge(pushed, now);
    let page = Page {
        advisories,
        incarnation,
        // Facts that the asker pushed are not echoed.
        revision: if is_complete {
            known.revision
        } else {
            revision
        },
    };
    (page, new)
}
