use std::fs;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::caller;
use crate::process::Process;

/// Fields of `/proc/PID/stat` behind the program's name: user and system time in ticks of 10 ms.
const TIMES: std::ops::RangeInclusive<usize> = 11..=12;
const IDLE: Duration = Duration::from_secs(1);
/// A tenth of the idle time; a task that polls without a pause takes all it can get.
const IDLE_TICKS: u64 = 10;

fn cpu_ticks(process: &Process) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = fields.split(' ').collect();
    let times = fields[TIMES].iter().map(|t| t.parse::<u64>().unwrap());
    times.sum()
}

macro_rules! idle {
    ($name:ident, $args:expr) => {
        #[test]
        fn $name() {
            let process = Process::start(&$args);
            let before = cpu_ticks(&process);
            thread::sleep(IDLE);
            let ticks = cpu_ticks(&process) - before;
            assert!(ticks < IDLE_TICKS, "{ticks} ticks");
        }
    };
}

idle!(idle_engine, ["engine"]);
idle!(idle_platform, ["platform"]);
idle!(idle_service, ["service"]);
idle!(idle_wire, ["wire", "--to", "127.0.0.1:9"]);

// Also with a reader that waits on a hung engine, nothing may turn in circles.
#[test]
fn hung_engine_is_idle() {
    caller::run(async {
        let engine = Process::start(&["engine"]);
        let mut stream = caller::stream(&engine.address, "a", "hello", 1000).await;
        stream.events(1).await.unwrap();
        engine.control(json!({"hang": true})).await;
        let before = cpu_ticks(&engine);
        monoio::time::sleep(IDLE).await;
        let ticks = cpu_ticks(&engine) - before;
        assert!(ticks < IDLE_TICKS, "{ticks} ticks");
    });
}

#[test]
fn logs_are_bounded() {
    caller::run(async {
        let engine = Process::start(&["engine", "--log-limit", "3", "--step-ms", "1"]);
        let service = Process::start(&["service", "--log-limit", "3", "--work-ms", "0"]);
        for id in ["a", "b", "c", "d", "e"] {
            caller::complete(&engine.address, id, "hello", 1).await.ok();
            let path = format!("/{id}");
            caller::post(&service.address, &path, &json!({})).await.ok();
        }
        let log = engine.read("/log").await;
        assert_eq!(caller::column(&log, "request_id"), ["c", "d", "e"]);
        let log = service.read("/log").await;
        assert_eq!(caller::column(&log, "path"), ["/c", "/d", "/e"]);
    });
}
