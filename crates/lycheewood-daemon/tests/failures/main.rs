//! Faults over separate processes. Each test names the invariant that it checks and counts what ran at
//! the fakes.

#[path = "../support/caller.rs"]
mod caller;
mod calls;
mod log_outages;
#[path = "../support/processes.rs"]
mod processes;
mod stops;
mod streams;

use caller::{Call, DEADLINE, Reply};
use processes::Deployment;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const JOB: &str = r#"{"job": 17}"#;
/// Tokens of the streams that a fault interrupts.
const TOKENS: u64 = 40;

/// A request that runs while the test goes on.
type Pending = JoinHandle<Result<Reply, String>>;

impl Deployment {
    fn spawn(&self, call: &Call, entry: usize) -> Pending {
        let (call, address) = (call.clone(), self.entry(entry));
        self.runtime.spawn(async move { call.send(address).await })
    }

    fn reply(&self, call: &Call, entry: usize) -> Reply {
        self.runtime.block_on(call.send(self.entry(entry))).expect("the entry replies")
    }

    fn reply_once_run(&self, call: &Call, entry: usize) -> Reply {
        self.runtime.block_on(call.send_until_run(self.entry(entry))).expect("the entry replies")
    }

    /// Waits for an event at the fakes.
    fn wait<T>(&self, event: impl Future<Output = T>) -> T {
        let event = self.runtime.block_on(async { timeout(DEADLINE, event).await });
        event.expect("the event comes within the deadline of the test")
    }

    /// Sends a call whose reply the service holds back, and waits until the service has run it.
    fn spawn_held(&self, call: &Call, entry: usize) -> Pending {
        self.services[0].backend.set_faults(|faults| faults.hold_replies = true);
        let pending = self.spawn(call, entry);
        let service = &self.services[0].backend;
        self.wait(service.wait_for_executions_of(call.body.as_bytes(), 1));
        pending
    }

    fn release_replies(&self) {
        self.services[0].backend.set_faults(|faults| faults.hold_replies = false);
    }

    fn finish(&self, pending: Pending) -> Result<Reply, String> {
        self.runtime.block_on(pending).expect("the request's task ends")
    }

    /// The index of the engine that runs a request.
    fn busy_engine(&self) -> usize {
        let busy = self.engines.iter().position(|slot| slot.backend.load().running > 0);
        busy.expect("an engine runs the stream")
    }
}
