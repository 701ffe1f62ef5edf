//! Signals that ask the process to stop.

use std::io;

use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// Blocks until SIGTERM or SIGINT.
pub(crate) fn wait_for_stop() -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
