//! Changes that are noted while nobody listens.

use futures::FutureExt;
use lilaccrankd::peers::change_signal::ChangeSignal;

// A request ends while the daemon is busy telling its load. The others hear of the free slot at once:
// the change is kept for the next look, and any number of them is told once.
#[test]
fn a_change_while_nobody_listens_is_kept() {
    let changes = ChangeSignal::default();
    assert_eq!(changes.changed().now_or_never(), None);
    changes.notify();
    changes.notify();
    assert_eq!(changes.changed().now_or_never(), Some(()));
    assert_eq!(changes.changed().now_or_never(), None);
}
