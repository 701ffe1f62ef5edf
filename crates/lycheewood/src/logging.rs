//! Log lines to standard output that never hold up the thread that writes them.
//!
//! Lines go through a bounded queue to a thread of their own. When a reader of the output is slow and the
//! queue is full, lines are dropped and counted, and the next line that fits says how many.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

/// Lines that may wait for the output.
const QUEUED_LINES: usize = 4_096;

/// Collects what the logger writes into lines and queues them.
struct LineQueue {
    line: Vec<u8>,
    queue: SyncSender<Vec<u8>>,
    dropped: u64,
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            let mut line = std::mem::take(&mut self.line);
            if self.dropped > 0 {
                line.extend_from_slice(
                    format!("log lines dropped count={}\n", self.dropped).as_bytes(),
                );
            }
            match self.queue.try_send(line) {
                Ok(()) => self.dropped = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output for the whole process. Later calls have no effect.
///
/// # Errors
///
/// When the thread that writes cannot be started.
pub fn start_logging() -> io::Result<()> {
    let (queue, lines) = sync_channel(QUEUED_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_lines(&lines))?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let writer = LineQueue { line: Vec::new(), queue, dropped: 0 };
    // Fails only when a logger is set already.
    let _ = WriteLogger::init(LevelFilter::Info, config, writer);
    Ok(())
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // A closed output takes no lines; the process serves on without them.
        let _ = output.write_all(&line);
        let _ = output.flush();
    }
}
