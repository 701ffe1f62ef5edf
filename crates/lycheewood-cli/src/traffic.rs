//! The threads that carry traffic. The main thread is the control thread: it alone owns the fold and
//! the set of nodes, and waits for results of the traffic threads.

use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Runtime};

use crate::error::CliError;

/// Two threads are enough for one operator's connections.
const THREADS: usize = 2;

/// The end of a subcommand's waiting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// A deadline from now on.
    pub(crate) fn after_ms(timeout_ms: u64) -> Self {
        Self(Instant::now() + Duration::from_millis(timeout_ms))
    }

    /// Time left.
    pub(crate) fn remaining(self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Time left in milliseconds, 0 when the deadline has passed.
    pub(crate) fn remaining_ms(self) -> u64 {
        u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Runs exchanges with other processes on their own threads.
pub(crate) struct Traffic {
    runtime: Runtime,
}

impl Traffic {
    pub(crate) fn start() -> Result<Self, CliError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()
            .map_err(CliError::Runtime)?;
        Ok(Self { runtime })
    }

    /// Runs an exchange on a traffic thread and waits for its result.
    pub(crate) fn call<T: Send + 'static>(
        &self,
        exchange: impl Future<Output = T> + Send + 'static,
    ) -> Result<T, CliError> {
        let task = self.runtime.spawn(exchange);
        self.runtime.block_on(task).map_err(|_| CliError::Worker)
    }

    /// Runs an exchange on a traffic thread; it reports its result itself.
    pub(crate) fn spawn(&self, exchange: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(exchange);
    }

    /// Ends at once; exchanges that still run are dropped.
    pub(crate) fn stop(self) {
        self.runtime.shutdown_background();
    }
}
