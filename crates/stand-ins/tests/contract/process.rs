//! The binary: one fake in a process of its own.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::json;

use crate::client::call;

/// Kills the process if the test fails before it stops.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Guards against a fake that cannot be found, given faults or stopped from another process.
#[tokio::test]
async fn each_fake_announces_itself_takes_faults_and_ends_on_sigterm() {
    for name in ["log", "instance-list", "engine", "service", "weight-store"] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stand-in"));
        let child = command.arg(name).stdout(Stdio::piped()).spawn().unwrap();
        let mut process = Process(child);
        let mut line = String::new();
        BufReader::new(process.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening address=").unwrap().parse().unwrap();
        let body = json!({ "error_status": 418 }).to_string();
        assert_eq!(call(address, "POST", "/faults", &body).await.unwrap().0, 200, "{name}");
        assert_eq!(call(address, "GET", "/load", "").await.unwrap().0, 418, "{name}");
        let pid = process.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        assert!(process.0.wait().unwrap().success(), "{name}");
    }
}
