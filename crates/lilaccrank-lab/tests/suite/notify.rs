use std::cell::Cell;
use std::rc::Rc;

use futures::FutureExt;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use lilaccrank_lab::notify::Notify;

#[test]
fn wakes_all_that_wait_and_none_that_come_later() {
    let (notify, woken) = (Rc::new(Notify::default()), Rc::new(Cell::new(0)));
    let mut pool = LocalPool::new();
    let wait = || {
        let (notify, woken) = (Rc::clone(&notify), Rc::clone(&woken));
        async move {
            notify.changed().await;
            woken.set(woken.get() + 1);
        }
    };
    for _ in 0..2 {
        pool.spawner().spawn_local(wait()).unwrap();
    }
    pool.run_until_stalled();
    assert_eq!(woken.get(), 0);
    notify.notify();
    pool.spawner().spawn_local(wait()).unwrap();
    pool.run_until_stalled();
    assert_eq!(woken.get(), 2);
}

#[test]
fn leaves_no_waker_behind() {
    let notify = Notify::default();
    for _ in 0..3 {
        assert!(notify.changed().now_or_never().is_none());
    }
    assert_eq!(notify.waiting(), 0);
    let mut kept = notify.changed();
    assert!((&mut kept).now_or_never().is_none());
    assert!((&mut kept).now_or_never().is_none());
    assert_eq!(notify.waiting(), 1);
}
