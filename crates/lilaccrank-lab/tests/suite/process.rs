//! Starts stand-ins and ends them with the test.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::caller;

const END_LIMIT: Duration = Duration::from_secs(5);

/// A stand-in; killed when dropped, and ended by its standard input if the test is killed.
pub struct Process {
    pub address: String,
    child: Child,
    pub control: String,
}

impl Process {
    /// Starts a stand-in and waits until it listens.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lilaccrank-lab"))
            .args(args)
            .arg("--until-stdin-closes")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let ready: Value = serde_json::from_str(&line).unwrap();
        let text = |name: &str| ready[name].as_str().unwrap_or_default().to_owned();
        Self {
            address: text("listening"),
            child,
            control: text("control"),
        }
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Closes its standard input; false if it has not ended well a while later.
    pub fn close_stdin(&mut self) -> bool {
        drop(self.child.stdin.take());
        let begun = Instant::now();
        while begun.elapsed() < END_LIMIT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Posts to `/control`.
    pub async fn control(&self, body: Value) {
        caller::post(&self.address, "/control", &body).await.ok();
    }

    /// Reads a JSON resource.
    pub async fn read(&self, path: &str) -> Value {
        caller::get(&self.address, path).await.ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
