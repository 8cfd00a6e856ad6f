//! One child process of the lab.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};

use rustix::process::{self, Pid, Signal};
use serde::Deserialize;

use crate::stand_in::Result;

/// A child that ends with this value.
pub struct Process {
    /// Where it listens, if it said so.
    pub address: String,
    child: Child,
    /// Where it takes orders about itself, if that is another address.
    pub control: Option<String>,
    /// Kept open: a stand-in ends when its standard input closes, also if the lab is killed.
    _stdin: Option<ChildStdin>,
}

#[derive(Deserialize)]
struct Listening {
    control: Option<String>,
    listening: String,
}

/// The binary `name` beside the running one.
///
/// # Errors
///
/// If the running program's own path can't be told.
pub fn binary(name: &str) -> Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.pop();
    // Test programs stand one folder deeper than the binaries they start.
    if path.ends_with("deps") {
        path.pop();
    }
    path.push(name);
    Ok(path)
}

impl Process {
    /// Starts a stand-in of the lab and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// If it can't be started or ends without saying so.
    pub fn stand_in(args: &[String]) -> Result<Self> {
        let mut child = Command::new(binary("lilaccrank-lab")?)
            .args(args)
            .args(["--listen", "127.0.0.1:0", "--until-stdin-closes"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().ok_or_else(broken)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let listening: Listening = serde_json::from_str(&line).map_err(|_| broken())?;
        Ok(Self {
            address: listening.listening,
            child,
            control: listening.control,
            _stdin: stdin,
        })
    }

    /// Starts a daemon with a file of settings; its log goes to `log`. It ends with the calling thread.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn daemon(settings: &Path, log: &Path, address: String) -> Result<Self> {
        let options = std::fs::File::options().create(true).append(true).clone();
        let child = Command::new(binary("lilaccrank-lab")?)
            .args(["launch", "--parent", &std::process::id().to_string()])
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(options.open(log)?)
            .stderr(options.open(log)?)
            .spawn()?;
        Ok(Self {
            address,
            child,
            control: None,
            _stdin: None,
        })
    }

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Stops it in its tracks (SIGSTOP); its connections stay open.
    ///
    /// # Errors
    ///
    /// If the system refuses.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after [`freeze`](Self::freeze) (SIGCONT).
    ///
    /// # Errors
    ///
    /// If the system refuses.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to end (SIGTERM).
    ///
    /// # Errors
    ///
    /// If the system refuses.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        // The child is not reaped before this value ends, so its id is no other process's.
        Ok(process::kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills it (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn broken() -> std::io::Error {
    std::io::Error::other("a stand-in ended at its start")
}
