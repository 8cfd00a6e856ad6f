//! A fluent test of one run of the command line.

use std::io::Write;
use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;
use tempfile::TempDir;

/// One run, and what is expected of it.
pub struct Test {
    command: Command,
    exit: i32,
    folder: TempDir,
    stderr: Vec<String>,
    stdin: String,
    stdout: Vec<String>,
}

/// What a run printed.
pub struct Ran {
    pub stderr: String,
    pub stdout: String,
}

/// Names each case.
macro_rules! cases {
    ($($name:ident: $test:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $test.run();
            }
        )*
    };
}
pub(crate) use cases;

impl Test {
    /// A run with arguments separated by spaces.
    pub fn new(args: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_lilaccrank"));
        for name in ["ADMIN", "CALLER", "KEY"] {
            command.env_remove(format!("LILACCRANK_{name}"));
        }
        command
            .args(args.split_whitespace())
            .current_dir(folder.path())
            .stdin(Stdio::piped())
            .stderr(Stdio::piped())
            .stdout(Stdio::piped());
        Self {
            command,
            exit: 0,
            folder,
            stderr: Vec::new(),
            stdin: String::new(),
            stdout: Vec::new(),
        }
    }

    /// One more argument, spaces and all.
    pub fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    /// A variable of the environment.
    pub fn env(mut self, name: &str, value: &str) -> Self {
        self.command.env(name, value);
        self
    }

    /// A file in the folder in which it runs.
    pub fn file(self, name: &str, text: &str) -> Self {
        std::fs::write(self.folder.path().join(name), text).unwrap();
        self
    }

    /// What it reads.
    pub fn stdin(mut self, text: &str) -> Self {
        text.clone_into(&mut self.stdin);
        self
    }

    /// Expects this exit code, 0 if not given.
    pub fn exit(mut self, code: i32) -> Self {
        self.exit = code;
        self
    }

    /// Expects this on standard output.
    pub fn stdout(mut self, part: &str) -> Self {
        self.stdout.push(part.to_owned());
        self
    }

    /// Expects this on standard error.
    pub fn stderr(mut self, part: &str) -> Self {
        self.stderr.push(part.to_owned());
        self
    }

    /// Runs it to its end and checks what is expected.
    pub fn run(self) -> Ran {
        self.start().finish()
    }

    /// Starts it.
    pub fn start(mut self) -> Running {
        let mut child = self.command.spawn().unwrap();
        let mut stdin = child.stdin.take().unwrap();
        // A run that needs no input may have closed it already.
        let _ = stdin.write_all(self.stdin.as_bytes());
        Running { child, test: self }
    }
}

/// A run that has not ended.
pub struct Running {
    child: Child,
    test: Test,
}

impl Running {
    /// Waits for the end and checks what is expected.
    pub fn finish(self) -> Ran {
        let test = &self.test;
        let ran = Ran::new(self.child.wait_with_output().unwrap(), test.exit);
        for (expected, found) in [(&test.stdout, &ran.stdout), (&test.stderr, &ran.stderr)] {
            for part in expected {
                assert!(found.contains(part), "no `{part}` in:\n{found}");
            }
        }
        ran
    }

    /// Waits for the end, whatever it is: exit code and what it printed.
    pub fn end(self) -> (i32, Ran) {
        let output = self.child.wait_with_output().unwrap();
        let code = output.status.code().unwrap();
        (code, Ran::new(output, code))
    }
}

impl Ran {
    fn new(output: Output, exit: i32) -> Self {
        let ran = Self {
            stderr: String::from_utf8(output.stderr).unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
        };
        assert_eq!(
            output.status.code(),
            Some(exit),
            "{}{}",
            ran.stdout,
            ran.stderr
        );
        ran
    }

    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap()
    }

    /// Standard error as JSON.
    pub fn error(&self) -> Value {
        serde_json::from_str(&self.stderr).unwrap()
    }
}
