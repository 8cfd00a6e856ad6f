//! Tasks that are held back until timers have fired, and what goes on meanwhile.

use std::cell::Cell;
use std::future::{self, Future};
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::mpsc;
use std::task::Poll;
use std::thread;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures::StreamExt;
use futures::channel::mpsc as async_mpsc;
use lilaccrank_http::runtime;

/// Maximum lateness of a timer.
const LATE: Duration = Duration::from_millis(100);

fn work(time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        std::hint::spin_loop();
    }
}

/// A future that wakes itself until `total` has passed, and works in each poll.
fn busy(poll: Duration, total: Duration) -> impl Future<Output = ()> {
    let began = Instant::now();
    future::poll_fn(move |cx| {
        if began.elapsed() > total {
            return Poll::Ready(());
        }
        work(poll);
        cx.waker().wake_by_ref();
        Poll::Pending
    })
}

/// Spawns two tasks that wake each other until `total` has passed.
fn spawn_pair(poll: Duration, total: Duration) {
    let began = Instant::now();
    let (first_tx, first_rx) = async_mpsc::unbounded();
    let (second_tx, second_rx) = async_mpsc::unbounded();
    first_tx.unbounded_send(()).unwrap();
    for (tx, mut rx) in [(second_tx, first_rx), (first_tx, second_rx)] {
        runtime::spawn(async move {
            while rx.next().await.is_some() && began.elapsed() < total {
                work(poll);
                // The other task may have ended.
                let _ = tx.unbounded_send(());
            }
        });
    }
}

/// Guards against a loop with checkpoints that makes no progress beside tasks that are always ready.
#[test]
fn datagrams_are_received_beside_busy_tasks() {
    const PAIRS: usize = 6;
    const SENT: usize = 400;
    let received = runtime::block_on(async {
        for _ in 0..PAIRS {
            spawn_pair(Duration::from_millis(2), Duration::from_secs(3));
        }
        let socket = monoio::net::udp::UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let count = Rc::new(Cell::new(0));
        let received = Rc::clone(&count);
        runtime::spawn(async move {
            loop {
                runtime::checkpoint().await;
                let (received, _) = socket.recv_from(vec![0; 16]).await;
                received.unwrap();
                count.set(count.get() + 1);
            }
        });
        thread::spawn(move || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            for _ in 0..SENT {
                thread::sleep(Duration::from_millis(5));
                // The receiver may be gone.
                let _ = socket.send_to(&[0], address);
            }
        });
        monoio::time::sleep(Duration::from_secs(2)).await;
        received.get()
    });
    let received = received.unwrap();
    assert!(received > SENT / 2, "{received}");
}

/// Guards against a task that wakes itself and goes on in place of tasks that were held back.
#[test]
fn each_task_has_a_pass_of_its_own() {
    const HELD: usize = 300;
    let late = runtime::block_on(async {
        let (start, event) = (Rc::new(Event::new()), Rc::new(Event::new()));
        let started = start.listen();
        runtime::spawn(async move {
            started.await;
            busy(Duration::from_millis(1), Duration::from_secs(2)).await;
        });
        for _ in 0..HELD {
            let event = Rc::clone(&event);
            runtime::spawn(async move {
                loop {
                    event.listen().await;
                }
            });
        }
        let wait = Duration::from_millis(20);
        monoio::time::sleep(wait).await;
        let began = Instant::now();
        let timer = runtime::spawn(async move {
            monoio::time::sleep(wait).await;
            began.elapsed() - wait
        });
        monoio::time::sleep(Duration::from_millis(1)).await;
        start.notify(1);
        event.notify(usize::MAX);
        work(Duration::from_millis(7));
        timer.await
    });
    let late = late.unwrap();
    assert!(late < LATE, "{late:?}");
}

/// Guards against timers that starve until the main task waits for the first time.
#[test]
fn a_main_task_that_does_not_wait() {
    let late = runtime::block_on(async {
        let wait = Duration::from_millis(50);
        let began = Instant::now();
        let timer = runtime::spawn(async move {
            monoio::time::sleep(wait).await;
            began.elapsed() - wait
        });
        busy(Duration::from_micros(200), Duration::from_secs(1)).await;
        timer.await
    });
    let late = late.unwrap();
    assert!(late < LATE, "{late:?}");
}

/// Guards against a runtime that waits for ever for a task of an earlier one on its thread.
#[test]
fn a_second_runtime_on_a_thread() {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for _ in 0..3 {
            let played = runtime::block_on(async {
                let poll = Duration::from_micros(200);
                runtime::spawn(busy(poll, Duration::from_millis(300)));
                monoio::time::sleep(Duration::from_millis(50)).await;
            });
            played.unwrap();
        }
        tx.send(()).unwrap();
    });
    let ended = rx.recv_timeout(Duration::from_secs(10));
    assert!(ended.is_ok(), "the second runtime hangs");
}

/// Guards against tasks that outlive their runtime, with all that they hold, as they were held back.
#[test]
fn tasks_end_with_their_runtime() {
    let held = Rc::new(());
    let tasks = [Rc::clone(&held), Rc::clone(&held), Rc::clone(&held)];
    let played = runtime::block_on(async move {
        for task in tasks {
            runtime::spawn(async move {
                busy(Duration::from_millis(3), Duration::from_secs(9)).await;
                drop(task);
            });
        }
        monoio::time::sleep(Duration::from_millis(10)).await;
    });
    played.unwrap();
    assert_eq!(Rc::strong_count(&held), 1);
}

/// Guards against a task that is never woken again, as timers were overdue once more before it went on.
#[test]
fn no_wake_up_is_lost() {
    const TASKS: usize = 40;
    const MESSAGES: usize = 200;
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let played = runtime::block_on(async {
            let tasks = (0..TASKS).map(|i| {
                let (sender, mut messages) = async_mpsc::unbounded();
                thread::spawn(move || {
                    for _ in 0..MESSAGES {
                        thread::sleep(Duration::from_millis(5));
                        // The task may have ended.
                        let _ = sender.unbounded_send(());
                    }
                });
                runtime::spawn(async move {
                    while messages.next().await.is_some() {
                        work(Duration::from_micros(100 + 7 * i as u64));
                    }
                })
            });
            for task in tasks.collect::<Vec<_>>() {
                task.await;
            }
        });
        played.unwrap();
        tx.send(()).unwrap();
    });
    let ended = rx.recv_timeout(Duration::from_secs(20));
    assert!(ended.is_ok(), "a task waits for ever");
}
