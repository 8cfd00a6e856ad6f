//! Change notifications that arrive while no task waits for them.

use futures::FutureExt;
use lilaccrankd::peers::change_signal::ChangeSignal;

// A request ends while the daemon is sending its load. The notification must not be lost, or the
// other daemons learn late of the free slot; several notifications are merged into one.
#[test]
fn a_change_without_a_listener_is_kept() {
    let changes = ChangeSignal::default();
    assert_eq!(changes.changed().now_or_never(), None);
    changes.notify();
    changes.notify();
    assert_eq!(changes.changed().now_or_never(), Some(()));
    assert_eq!(changes.changed().now_or_never(), None);
}
