//! Runs the real binary.

#![allow(dead_code, reason = "each test file uses a part")]

use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

/// What a run of the tool gave.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Run {
    /// The result as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("no JSON ({e}): {self:?}"))
    }

    /// The value of a `name: value` line that the tool prints before it acts.
    pub(crate) fn noted(&self, name: &str) -> &str {
        let prefix = format!("[INFO] {name}: ");
        self.stderr.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or("")
    }
}

/// Runs the tool with arguments divided by spaces.
pub(crate) fn run(arguments: &str) -> Run {
    run_each(&arguments.split_whitespace().collect::<Vec<_>>())
}

/// Runs the tool.
pub(crate) fn run_each(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_lycheewood"))
        .args(arguments)
        .output()
        .expect("the tool starts");
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("the result is text"),
        stderr: String::from_utf8(output.stderr).expect("the messages are text"),
    }
}

/// Writes a file for the tool; `name` is unique among all tests.
pub(crate) fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path.to_str().expect("the path is text").to_owned()
}
