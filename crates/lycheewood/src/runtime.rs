//! The two runtimes of a process: one thread for control state, others for traffic.

use std::io;
use std::thread;

use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{oneshot, watch};

/// The thread that runs every controller, log reader and timer of control state.
///
/// Its runtime has a single thread, so controllers never run at the same time as each other.
#[derive(Debug)]
pub(crate) struct ControlThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    pub(crate) fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::Builder::new().name("control".into()).spawn(move || {
            // A dropped sender ends the thread as well.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        })?;
        Ok(Self { handle, stop: Some(stop), thread: Some(thread) })
    }

    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The threads that carry requests and answers.
pub(crate) fn traffic_runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).thread_name("traffic").enable_all().build()
}

/// Waits until `stop` is set or its sender is gone.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    // The result borrows the channel; dropping it here keeps callers' futures `Send`.
    let _ = stop.wait_for(|stop| *stop).await;
}
