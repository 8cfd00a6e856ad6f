//! Changes that are noted while nobody listens.

use futures::FutureExt;
use lilaccrankd::peers::changes::Changes;

// A request ends while the daemon is busy telling its load. The others hear of the free slot at once:
// the change is kept for the next look, and any number of them is told once.
#[test]
fn a_change_while_nobody_listens_is_kept() {
    let changes = Changes::default();
    assert_eq!(changes.next().now_or_never(), None);
    changes.note();
    changes.note();
    assert_eq!(changes.next().now_or_never(), Some(()));
    assert_eq!(changes.next().now_or_never(), None);
}
