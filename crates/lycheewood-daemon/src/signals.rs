//! Signals that ask the process to stop.

use std::io;

use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of SIGTERM, SIGINT and SIGHUP. A signal that arrives before the process waits for it is kept.
pub(crate) struct Signals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Called before anything else, because a signal without a handler ends the process.
    ///
    /// # Errors
    ///
    /// When the system has no descriptor left.
    pub(crate) fn install() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let entered = runtime.enter();
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        let hangup = signal(SignalKind::hangup())?;
        drop(entered);
        Ok(Self { runtime, terminate, interrupt, hangup })
    }

    /// Blocks until SIGTERM or SIGINT. Settings are not reloaded, so SIGHUP is caught and ignored.
    pub(crate) fn block_until_stop(self) {
        let Self { runtime, mut terminate, mut interrupt, mut hangup } = self;
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    _ = interrupt.recv() => break,
                    _ = hangup.recv() => {}
                }
            }
        });
    }
}
