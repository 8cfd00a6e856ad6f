//! Anti-entropy between two daemons: push and pull in one exchange.
//!
//! The requester keeps a cursor for each peer: the peer's revision up to which it has pulled facts,
//! and its own revision up to which it has pushed them. Revisions start over with each incarnation
//! of a daemon, which resets the cursor.

use std::time::Instant;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Advisories, Advisory, FORMAT, Fact, Revision};
use crate::ids::{Incarnation, VmId};

/// Maximum number of facts in one message; the next message carries the rest.
pub const PAGE: usize = 128;

/// A request for facts, with those that the requester has not pushed yet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Revision up to which the requester has already pulled facts.
    pub after: Revision,
    /// Format of facts that the requester reads.
    #[serde(default)]
    pub format: u8,
    /// Incarnation of the peer to which `after` belongs.
    pub incarnation: Incarnation,
    /// Facts that the requester pushes.
    pub pushed: Vec<Advisory>,
}

/// The reply to a [`Pull`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Facts that the requester has not pulled yet.
    pub advisories: Vec<Advisory>,
    /// Format of facts that the sender reads.
    #[serde(default)]
    pub format: u8,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision up to which `advisories` are complete.
    pub revision: Revision,
}

/// The cursors for all peers.
#[derive(Debug, Default)]
pub struct Cursors(IndexMap<VmId, Cursor>);

#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// Format of facts that the peer reads; the lowest one until it has replied.
    format: u8,
    incarnation: Incarnation,
    /// Set if the request in flight leaves out facts that a peer of this format can't read.
    leaves_out: bool,
    pulled: Revision,
    pushed: Revision,
    /// Revision up to which the request in flight pushes.
    pushing: Revision,
}

impl Cursors {
    /// Creates the next request to `peer`.
    pub fn pull(&mut self, peer: &VmId, known: &Advisories, now: Instant) -> Pull {
        let cursor = self.0.entry(peer.clone()).or_default();
        let (pushed, pushing) = known.facts_after(cursor.pushed, cursor.format, PAGE, now);
        cursor.leaves_out = known.has_facts_beyond(cursor.format, now);
        cursor.pushing = pushing;
        Pull {
            after: cursor.pulled,
            format: FORMAT,
            incarnation: cursor.incarnation,
            pushed,
        }
    }

    /// Merges a reply from `peer` into `known` and returns the facts that are new.
    pub fn merge_page(
        &mut self,
        peer: &VmId,
        page: &Page,
        known: &mut Advisories,
        now: Instant,
    ) -> Vec<Fact> {
        let cursor = self.0.entry(peer.clone()).or_default();
        // An earlier incarnation of the peer lost what was pushed to it.
        let is_push_kept = cursor.incarnation == page.incarnation || cursor.pushed == 0;
        let is_push_kept = is_push_kept && (!cursor.leaves_out || page.format <= cursor.format);
        let pushed = if is_push_kept { cursor.pushing } else { 0 };
        let has_pushed_all = pushed == known.revision;
        let advisories = &page.advisories[..page.advisories.len().min(PAGE)];
        let new = known.merge(advisories, now);
        *cursor = Cursor {
            format: page.format,
            incarnation: page.incarnation,
            leaves_out: false,
            pulled: page.revision,
            // Facts that came from the peer are not pushed back to it.
            pushed: if has_pushed_all {
                known.revision
            } else {
                pushed
            },
            pushing: 0,
        };
        new
    }

    /// Drops the cursors for daemons that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&VmId) -> bool) {
        self.0.retain(|vm, _| is_member(vm));
    }
}

/// Answers a request as the daemon with this incarnation and merges the pushed facts into `known`.
/// Returns the reply and the facts that are new here.
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
    let (advisories, revision) = known.facts_after(after, pull.format, PAGE, now);
    let is_complete = revision == known.revision;
    let pushed = &pull.pushed[..pull.pushed.len().min(PAGE)];
    let new = known.merge(pushed, now);
    let page = Page {
        advisories,
        format: FORMAT,
        incarnation,
        // Facts that the requester pushed are not sent back to it.
        revision: if is_complete {
            known.revision
        } else {
            revision
        },
    };
    (page, new)
}
