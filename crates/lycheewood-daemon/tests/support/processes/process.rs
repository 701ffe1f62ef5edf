//! One `lycheewoodd` process.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::process::{Pid, Signal, kill_process};
use stand_ins::instance_list::Role;

use crate::caller::DEADLINE;

/// One process of ours. Dropping it kills it.
pub(crate) struct Process {
    child: Child,
    lines: Receiver<String>,
    pub(crate) instance: String,
    pub(crate) role: Role,
    /// Where an entry serves callers, or an endpoint daemon serves entries.
    pub(crate) address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// With `log`, appends both outputs to that file; otherwise errors go to the test's own.
    pub(super) fn start(instance: &str, role: Role, settings: &Path, log: Option<&Path>) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lycheewoodd"))
            .arg("run")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(if log.is_some() { Stdio::piped() } else { Stdio::inherit() })
            .spawn()
            .expect("start lycheewoodd");
        let output = child.stdout.take().expect("the output is piped");
        let (sender, lines) = channel();
        let open = |path: &Path| {
            let file = OpenOptions::new().create(true).append(true).open(path);
            Arc::new(file.expect("open the log file of a process"))
        };
        let log = log.map(open);
        if let Some(errors) = child.stderr.take() {
            read_lines(errors, sender.clone(), log.clone());
        }
        read_lines(output, sender, log);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let instance = instance.to_owned();
        let mut process = Self { child, lines, instance, role, address: any, admin_address: any };
        let line = process.wait_for_line("admin_address=");
        let field = |name: &str| {
            let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
            value.and_then(|value| value.parse().ok()).expect("the line holds the address")
        };
        process.admin_address = field("admin_address=");
        process.address = match role {
            Role::Entry => field("caller_address="),
            Role::Endpoint => field("peer_address="),
        };
        process
    }

    /// Waits for a line of output that holds `text`.
    pub(crate) fn wait_for_line(&self, text: &str) -> String {
        let until = Instant::now() + DEADLINE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.contains(text) => return line,
                Ok(_) => {}
                Err(error) => panic!("{} wrote no line with `{text}`: {error}", self.instance),
            }
        }
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a child has an id"), signal).expect("signal a child");
    }

    /// Stops the process at once; it runs nothing more.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill a child");
        self.child.wait().expect("wait for a child");
    }

    /// Pauses the process until [`Process::resume`]. Its connections stay open.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended: its output ends with it.
    pub(crate) fn wait_for_end(&mut self) -> ExitStatus {
        let until = Instant::now() + DEADLINE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("{} does not end", self.instance),
            }
        }
        self.child.wait().expect("wait for a child")
    }
}

/// Reads to the end in a thread, so that the process never waits for a reader of its output. Lines in
/// the log file start with the time of their reading in milliseconds since the Unix epoch.
fn read_lines(output: impl Read + Send + 'static, lines: Sender<String>, log: Option<Arc<File>>) {
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Some(mut file) = log.as_deref() {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                // One write a line: both outputs share the file.
                let line = format!("{} {line}\n", now.as_millis());
                file.write_all(line.as_bytes()).expect("write the log of a process");
            }
            let _ = lines.send(line);
        }
    });
}
