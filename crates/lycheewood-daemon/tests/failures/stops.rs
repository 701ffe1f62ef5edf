//! Planned stops and replacements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::TOKENS;
use crate::caller::{Call, StreamEnd, new_key, whole_answer};
use crate::processes::Deployment;

/// Which process is told to stop.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Entry,
    EndpointDaemon,
}

/// Invariant 6. A planned stop cuts no stream, and the process ends by itself after the last one. The
/// streams take longer than the notice and the linger time together.
#[test]
fn a_planned_stop_cuts_no_stream() {
    for leaving in [Leaving::Entry, Leaving::EndpointDaemon] {
        let mut deployment = Deployment::start(1, 1, 0);
        deployment.set_engine_faults(|faults| faults.token_interval_ms = 50);
        let call = Call::stream("planned stop", TOKENS);
        let entry = deployment.entry(0);
        let mut streams = deployment.runtime.block_on(async {
            let mut streams = Vec::new();
            for _ in 0..3 {
                let mut events = call.events(entry).await.expect("the stream opens");
                let tokens = events.tokens(1).await;
                streams.push((events, tokens));
            }
            streams
        });
        let process = match leaving {
            Leaving::Entry => &mut deployment.entries[0],
            Leaving::EndpointDaemon => &mut deployment.engines[0].daemon,
        };
        process.terminate();
        for (events, tokens) in &mut streams {
            let (rest, end) = deployment.runtime.block_on(events.rest());
            tokens.extend(rest);
            let whole = whole_answer("planned stop", TOKENS);
            assert_eq!((&*tokens, end), (&whole, StreamEnd::Done), "{leaving:?}");
        }
        drop(streams);
        assert!(process.wait_for_end().success(), "{leaving:?}");
    }
}

/// Callers that send jobs and streams until they are told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    /// Where callers send their next request.
    entry: Arc<std::sync::Mutex<SocketAddr>>,
    callers: Vec<JoinHandle<Vec<String>>>,
    sent: Arc<AtomicU64>,
    progress: Arc<Notify>,
}

impl Load {
    fn start(deployment: &Deployment, callers: u64) -> Self {
        let mut load = Self {
            stop: Arc::default(),
            entry: Arc::new(std::sync::Mutex::new(deployment.entry(0))),
            callers: Vec::new(),
            sent: Arc::default(),
            progress: Arc::default(),
        };
        for caller in 0..callers {
            let (stop, entry) = (Arc::clone(&load.stop), Arc::clone(&load.entry));
            let (sent, progress) = (Arc::clone(&load.sent), Arc::clone(&load.progress));
            load.callers.push(deployment.runtime.spawn(async move {
                let mut jobs = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let job = format!("job {caller}-{}", jobs.len());
                    let address = *entry.lock().expect("no caller panics with the lock");
                    exchange(address, &job).await;
                    jobs.push(job);
                    sent.fetch_add(1, Ordering::Relaxed);
                    progress.notify_waiters();
                }
                jobs
            }));
        }
        load
    }

    /// Waits until the callers have done this many more rounds.
    async fn rounds(&self, more: u64) {
        let until = self.sent.load(Ordering::Relaxed) + more;
        loop {
            let changed = self.progress.notified();
            if self.sent.load(Ordering::Relaxed) >= until {
                return;
            }
            changed.await;
        }
    }
}

/// A job and a stream, whose answers must be whole.
async fn exchange(address: SocketAddr, job: &str) {
    let reply = Call::job(new_key(), job).send_until_run(address).await;
    let reply = reply.unwrap_or_else(|error| panic!("{job}: {error}"));
    assert_eq!((reply.status, &reply.json()["executions"]), (200, &1.into()), "{job}: {reply:?}");
    let events = Call::stream(job, 20).events(address).await;
    let mut events = events.unwrap_or_else(|error| panic!("stream of {job}: {error}"));
    let (tokens, end) = events.rest().await;
    assert_eq!((tokens, end), (whole_answer(job, 20), StreamEnd::Done), "stream of {job}");
}

/// Invariants 2, 4 and 6. All processes are replaced, one after the other, under load: no request is
/// lost, none is cut, and none runs twice.
#[test]
fn a_rolling_replacement_loses_and_doubles_nothing() {
    let mut deployment = Deployment::start(1, 2, 2);
    deployment.set_engine_faults(|faults| faults.token_interval_ms = 10);
    let load = Load::start(&deployment, 4);
    deployment.wait(load.rounds(8));
    for index in 0..2 {
        let (instance, backend) =
            (format!("new-engine-{index}"), deployment.engines[index].backend.address());
        let daemon = deployment.start_engine_daemon(&instance, backend);
        let old = std::mem::replace(&mut deployment.engines[index].daemon, daemon);
        deployment.leave(old);
        let (instance, backend) =
            (format!("new-service-{index}"), deployment.services[index].backend.address());
        let daemon = deployment.start_service_daemon(&instance, backend);
        let old = std::mem::replace(&mut deployment.services[index].daemon, daemon);
        deployment.leave(old);
        deployment.wait(load.rounds(8));
    }
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    *load.entry.lock().expect("no caller panics with the lock") = deployment.entry(1);
    let old = deployment.entries.remove(0);
    deployment.leave(old);
    deployment.wait(load.rounds(8));
    load.stop.store(true, Ordering::Relaxed);
    for caller in load.callers {
        let jobs = deployment.runtime.block_on(caller).expect("a caller got what it asked for");
        for job in jobs {
            assert_eq!(deployment.executions_of(&job), 1, "{job}");
        }
    }
}
