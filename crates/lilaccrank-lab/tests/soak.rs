//! Seeds of the soak: a short one, and each that ever broke a promise; and its end.

use std::fs;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use lilaccrank_http::runtime;
use lilaccrank_lab::soak::{self, Args};
use rustix::process::{self, Pid, Signal};

/// Time in which a soak has started its daemons, and in which they end with it.
const LIMIT: Duration = Duration::from_secs(10);
/// Daemons of a soak.
const DAEMONS: usize = 4;

/// Plays a seed for some minutes.
macro_rules! seed {
    ($name:ident, $seed:literal, $minutes:literal) => {
        seed!($name, $seed, $minutes, restores: false);
    };
    ($name:ident, $seed:literal, $minutes:literal, restores: $restores:literal) => {
        #[test]
        fn $name() {
            let args = Args {
                minutes: $minutes,
                restores: $restores,
                seed: Some($seed),
                seeds: 1,
            };
            runtime::block_on(soak::run(args)).unwrap().unwrap();
        }
    };
}

seed!(a_short_soak, 7, 0.15);
seed!(restored_stores, 8, 0.4, restores: true);
// All connections to the store fell silent at once, and a configuration came into force 35 seconds
// later: both watchers waited for the end of their watch.
seed!(silent_watches, 137, 0.4);
// A daemon was asked to end twice, ended, and started anew; the soak took the new life for the old
// one that does not end.
seed!(asked_to_end_twice, 143, 0.4);
// Engines worked on for callers that had left with bytes of a next request behind the first.
seed!(callers_that_leave, 4400, 0.3);

/// Ids of the daemons that this process has started and that still run.
fn daemons_of(parent: u32) -> Vec<Pid> {
    let entries = fs::read_dir("/proc").unwrap().flatten();
    let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
    let ids = names.filter_map(|name| name.parse::<i32>().ok());
    let started = ids.filter(|id| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let mut words = stat.split(' ').skip(1);
        let is_daemon = words.next() == Some("(lilaccrankd)");
        is_daemon && words.nth(1) == Some(&parent.to_string())
    });
    started.filter_map(Pid::from_raw).collect()
}

/// Waits until `condition` holds; false if it does not in time.
fn until(condition: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < LIMIT {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Ends a soak by `signal` and asserts that its daemons end too.
fn daemons_end_by(signal: Signal) {
    let mut soak = Command::new(env!("CARGO_BIN_EXE_lilaccrank-lab"))
        .args(["soak", "--seed", "7", "--minutes", "1"])
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let has_started = until(|| daemons_of(soak.id()).len() == DAEMONS);
    let daemons = daemons_of(soak.id());
    process::kill_process(Pid::from_child(&soak), signal).unwrap();
    soak.wait().unwrap();
    let runs = |daemon: &Pid| process::test_kill_process(*daemon).is_ok();
    let has_ended = until(|| !daemons.iter().any(runs));
    for daemon in daemons.iter().filter(|daemon| runs(daemon)) {
        process::kill_process(*daemon, Signal::KILL).unwrap();
    }
    assert!(has_started, "{} daemons started", daemons.len());
    assert!(has_ended, "daemons live on");
}

/// Guards against daemons that live on when their soak is ended, and disturb clusters that come later.
macro_rules! daemons_end {
    ($($name:ident: $signal:ident;)*) => {
        $(
            #[test]
            fn $name() {
                daemons_end_by(Signal::$signal);
            }
        )*
    };
}

daemons_end! {
    ended_by_a_signal: TERM;
    killed: KILL;
}
