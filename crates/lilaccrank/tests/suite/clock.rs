//! Timeouts on the clock of a process that is held up.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;
use lilaccrank::clock;
use lilaccrank::paused_clock::PausedClock;

const LIMIT: Duration = Duration::from_millis(200);
const MS: Duration = Duration::from_millis(1);

/// A call that is bounded by [`LIMIT`], and what it waits for.
struct Call {
    clock: PausedClock,
    outcome: Rc<RefCell<Option<Option<u8>>>>,
    pool: LocalPool,
    reply: Option<oneshot::Sender<u8>>,
}

impl Call {
    fn begin() -> Self {
        let (clock, mut pool) = (PausedClock::new(), LocalPool::new());
        let (reply, rx) = oneshot::channel();
        let outcome = Rc::<RefCell<Option<Option<u8>>>>::default();
        let (waits, ended) = (clock.clone(), Rc::clone(&outcome));
        let call = async move {
            let answer = clock::timeout(&waits, LIMIT, rx).await;
            ended.replace(Some(answer.and_then(Result::ok)));
        };
        pool.spawner().spawn_local(call).unwrap();
        pool.run_until_stalled();
        Self {
            clock,
            outcome,
            pool,
            reply: Some(reply),
        }
    }

    fn advance(&mut self, duration: Duration) {
        self.clock.advance(duration);
        self.pool.run_until_stalled();
    }

    fn reply(&mut self) {
        let _ = self.reply.take().unwrap().send(7);
        self.pool.run_until_stalled();
    }
}

/// Guards against a peer that is taken for silent although a task has yet to read its answer.
#[test]
fn an_answer_that_another_task_reads_after_a_pause() {
    let mut call = Call::begin();
    call.advance(3 * LIMIT);
    assert_eq!(*call.outcome.borrow(), None);
    call.reply();
    assert_eq!(*call.outcome.borrow(), Some(Some(7)));
}

/// Guards against a wait without end for a peer that is silent.
#[test]
fn no_answer_after_a_pause() {
    let mut call = Call::begin();
    call.advance(3 * LIMIT);
    call.advance(LIMIT);
    assert_eq!(*call.outcome.borrow(), Some(None));
}

/// Guards against a peer that gets more time than its limit from a process that runs.
#[test]
fn no_answer_without_a_pause() {
    let mut call = Call::begin();
    call.advance(LIMIT - MS);
    assert_eq!(*call.outcome.borrow(), None);
    call.advance(2 * MS);
    assert_eq!(*call.outcome.borrow(), Some(None));
}
