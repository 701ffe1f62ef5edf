//! Signals to a daemon that is starting.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::process::{Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Guards against a daemon that a signal ends at once while it starts. The settings that it reads after the signals are
/// invalid, so it ends with an exit code when it has read them.
#[test]
fn signals_during_the_start_do_not_end_the_daemon() {
    let name = format!("lycheewoodd-signals-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("settings");
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success());
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_lycheewoodd"))
        .arg("run")
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    // Opened when the daemon opens the other end.
    let mut pipe = OpenOptions::new().write(true).open(&path).expect("the pipe opens");
    let id = i32::try_from(daemon.id()).ok().and_then(Pid::from_raw).expect("an id");
    for signal in [Signal::HUP, Signal::TERM] {
        kill_process(id, signal).expect("a signal is sent");
    }
    // Fails if the daemon has ended already, which its status shows.
    let _ = pipe.write_all(b"no settings");
    drop(pipe);
    let status = daemon.wait().expect("the daemon ends");
    fs::remove_dir_all(&folder).expect("the folder is removed");
    assert_eq!(status.code(), Some(1), "{status}");
}
