//! Faults over separate processes. Each test names the invariant that it checks and counts what ran at
//! the fakes.

#[path = "support/caller.rs"]
mod caller;
#[path = "support/processes.rs"]
mod processes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use caller::{Call, DEADLINE, Reply, StreamEnd, new_key, whole_answer};
use lycheewood::RetryPolicy;
use processes::Deployment;
use stand_ins::faults::Outage;
use stand_ins::log::LogFaults;
use tokio::sync::Notify;
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

/// Invariants 2 and 4. The entry is killed after the service has run the call and before the caller has
/// the answer; the caller sends it again elsewhere, before or after the service has replied.
#[test]
fn a_retry_after_the_entry_died_gets_the_first_answer() {
    for replied_before_retry in [true, false] {
        let mut deployment = Deployment::start(2, 0, 1);
        let call = Call::job(new_key(), JOB);
        let first = deployment.spawn_held(&call, 0);
        deployment.entries[0].kill();
        assert!(deployment.finish(first).is_err(), "the first entry is gone");
        if replied_before_retry {
            deployment.release_replies();
        }
        let retry = deployment.spawn(&call, 1);
        deployment.release_replies();
        let reply = deployment.finish(retry).expect("the second entry replies");
        assert_eq!((reply.status, &reply.json()["executions"]), (200, &1.into()), "{reply:?}");
        assert_eq!(deployment.executions_of(JOB), 1);
    }
}

/// Invariant 4. The endpoint daemon is killed while a call that may not repeat runs, and is or is not
/// replaced: nobody can tell the outcome any more, and nobody runs the call again.
#[test]
fn a_call_whose_daemon_died_stays_unknown() {
    for replaced in [false, true] {
        let mut deployment = Deployment::start(2, 0, 2);
        deployment.services[1].backend.set_faults(|faults| faults.hold_replies = true);
        let call = Call::job(new_key(), JOB).deadline_ms(4_000);
        deployment.services[0].backend.set_faults(|faults| faults.hold_replies = true);
        let first = deployment.spawn(&call, 0);
        let [one, other] = [0, 1].map(|i| &deployment.services[i].backend);
        let ran = deployment.wait(async {
            tokio::select! {
                () = one.wait_for_executions_of(JOB.as_bytes(), 1) => 0,
                () = other.wait_for_executions_of(JOB.as_bytes(), 1) => 1,
            }
        });
        deployment.services[ran].daemon.kill();
        if replaced {
            let instance = deployment.services[ran].daemon.instance.clone();
            let backend = deployment.services[ran].backend.address();
            let daemon = deployment.start_service_daemon(&instance, backend);
            deployment.services[ran].daemon = daemon;
            deployment.announce();
        }
        for slot in &deployment.services {
            slot.backend.set_faults(|faults| faults.hold_replies = false);
        }
        let first = deployment.finish(first).expect("the entry replies");
        assert!(first.is_unknown(), "{first:?}");
        for entry in [0, 1] {
            let retry = deployment.reply(&call, entry);
            assert!(retry.is_unknown(), "{retry:?}");
        }
        assert_eq!(deployment.executions_of(JOB), 1);
    }
}

/// Invariants 3 and 4. The endpoint daemon is frozen before the call is sent to it and wakes up after
/// the deadline, with its connection closed as silent or still open: it does not run the old order.
#[test]
fn a_daemon_that_wakes_up_after_the_deadline_runs_no_old_order() {
    for silence_ms in [1_000, 20_000] {
        wake_up_after_the_deadline(&Deployment::start_with_silence(silence_ms));
    }
}

fn wake_up_after_the_deadline(deployment: &Deployment) {
    // Longer than the first estimate of a call, so that the entry does not refuse it early.
    let call = Call::job(new_key(), JOB).deadline_ms(4_000);
    deployment.services[0].daemon.freeze();
    let first = deployment.spawn(&call, 0);
    // Without its claim the order would never have been sent, and the test would show nothing.
    deployment.wait(deployment.log.wait_for_records("claims", 1));
    let first = deployment.finish(first).expect("the entry replies");
    assert!(first.is_unknown() || first.is_not_run(), "{first:?}");
    deployment.services[0].daemon.resume();
    deployment.wait_until_ready();
    let key = call.headers.iter().find(|(name, _)| *name == "idempotency-key").expect("has a key");
    let question = Call::new("GET", &format!("/v1/requests/{}", key.1), "");
    let answer = deployment.reply(&question, 1);
    // The endpoint has replied or promised by now, so a late run would show as a second one below.
    let executions = deployment.executions_of(JOB);
    assert_eq!(executions, 0, "the old order ran; {first:?} and then {answer:?}");
    assert!(answer.is_unknown() || answer.is_not_run() || answer.status == 404, "{answer:?}");
    if answer.is_unknown() {
        return;
    }
    let retry = deployment.reply_once_run(&call.deadline_ms(10_000), 1);
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(deployment.executions_of(JOB), 1);
}

/// Invariant 4. An entry is frozen between its claim and its order, another entry gets the same key, and
/// the first one wakes up and goes on.
#[test]
fn an_entry_frozen_after_its_claim_runs_nothing_twice() {
    let deployment = Deployment::start(2, 0, 1);
    let documents = deployment.log.records("documents").len();
    for job in 0..documents {
        let warm_up = deployment.reply(&Call::job(new_key(), &format!("warm up {job}")), 0);
        assert_eq!(warm_up.status, 200, "{warm_up:?}");
    }
    let hidden = u64::try_from(documents).expect("a small number");
    assert_eq!(deployment.log.records("claims").len(), documents, "one record for each call");
    // Appends succeed, but no reader sees the next claim: the entry cannot go on.
    deployment.log.set_faults(move |faults| faults.report_end = Some(hidden));
    let call = Call::job(new_key(), JOB);
    let first = deployment.spawn(&call, 0);
    deployment.wait(deployment.log.wait_for_records("claims", hidden + 1));
    deployment.entries[0].freeze();
    deployment.log.set_faults(|faults| faults.report_end = None);
    let second = deployment.reply_once_run(&call, 1);
    assert_eq!(second.status, 200, "{second:?}");
    deployment.entries[0].resume();
    let first = deployment.finish(first).expect("the first entry wakes up");
    let same = first.status == 200 && first.body == second.body;
    assert!(same || first.is_not_run() || first.is_unknown(), "{first:?}");
    let third = deployment.reply_once_run(&call, 0);
    assert_eq!((third.status, &third.body), (200, &second.body));
    assert_eq!(deployment.executions_of(JOB), 1);
}

/// Invariants 3 and 4. While the log is down, in each way, a call that may not repeat is refused as not
/// run, and completions go on.
#[test]
fn without_the_log_only_calls_that_may_not_repeat_are_refused() {
    type Fault = fn(&mut LogFaults);
    let table: [(&str, Fault); 3] = [
        ("unavailable", |faults| faults.common.outage = Outage::Unavailable),
        ("dropped", |faults| faults.common.outage = Outage::Dropped),
        ("stalled", |faults| faults.common.stall = true),
    ];
    for (name, fault) in table {
        let deployment = Deployment::start(1, 1, 1);
        deployment.log.set_faults(fault);
        let call = Call::job(new_key(), JOB);
        let refused = deployment.reply(&call, 0);
        assert!(refused.is_not_run(), "{name}: {refused:?}");
        assert_eq!(deployment.executions_of(JOB), 0, "{name}");
        let (tokens, end) = deployment.runtime.block_on(async {
            let stream = Call::stream("the log is down", 5).events(deployment.entry(0)).await;
            stream.expect("the stream opens").rest().await
        });
        assert_eq!((tokens, end), (whole_answer("the log is down", 5), StreamEnd::Done), "{name}");
        deployment.log.set_faults(|faults| {
            faults.common.outage = Outage::None;
            faults.common.stall = false;
        });
        let reply = deployment.reply_once_run(&call, 0);
        assert_eq!(reply.status, 200, "{name}: {reply:?}");
        assert_eq!(deployment.executions_of(JOB), 1, "{name}");
    }
}

/// Invariant 4. The reply to the append of a claim is lost after it took effect.
#[test]
fn a_lost_reply_of_the_log_costs_no_second_run() {
    let deployment = Deployment::start(2, 0, 1);
    deployment.log.set_faults(|faults| faults.common.lose_next_replies = 1);
    let call = Call::job(new_key(), JOB);
    for entry in [0, 1] {
        let reply = deployment.reply_once_run(&call, entry);
        assert_eq!((reply.status, &reply.json()["executions"]), (200, &1.into()), "{reply:?}");
    }
    assert_eq!(deployment.executions_of(JOB), 1);
}

/// Invariant 2. A stream goes on without a gap or a repeated token when the daemon that serves it dies,
/// or its engine cuts it.
#[test]
fn an_interrupted_stream_goes_on_from_the_next_token() {
    for daemon_dies in [true, false] {
        let mut deployment = Deployment::start(1, 2, 0);
        let prompt = "interrupted";
        deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(10));
        let call = Call::stream(prompt, TOKENS);
        let mut events =
            deployment.runtime.block_on(call.events(deployment.entry(0))).expect("a stream");
        let mut tokens = deployment.runtime.block_on(events.tokens(10));
        let busy = deployment.busy_engine();
        if daemon_dies {
            deployment.engines[busy].daemon.kill();
        } else {
            deployment.engines[busy]
                .backend
                .set_faults(|faults| faults.cut_after_tokens = Some(10));
        }
        // The tokens come as they are produced, not with the end of the answer.
        deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(20));
        tokens.extend(deployment.runtime.block_on(events.tokens(10)));
        deployment.set_engine_faults(|faults| {
            faults.stall_after_tokens = None;
            faults.cut_after_tokens = None;
        });
        let (rest, end) = deployment.runtime.block_on(events.rest());
        tokens.extend(rest);
        let whole = (whole_answer(prompt, TOKENS), StreamEnd::Done);
        assert_eq!((tokens, end), whole, "daemon_dies={daemon_dies}");
    }
}

/// Runs of one attempt on its engine: the endpoint daemon continues a cut stream twice.
const RUNS_OF_AN_ATTEMPT: u64 = 3;

/// Invariant 2, and the bound on attempts. A stream that no engine can continue says so, after as many
/// attempts as the retry policy allows for a request, beside the one that gave its tokens.
#[test]
fn a_stream_that_cannot_go_on_ends_as_an_error() {
    let deployment = Deployment::start(1, 2, 0);
    deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(10));
    let call = Call::stream("cut", TOKENS);
    let mut events =
        deployment.runtime.block_on(call.events(deployment.entry(0))).expect("a stream");
    let mut tokens = deployment.runtime.block_on(events.tokens(10));
    deployment.set_engine_faults(|faults| {
        faults.stall_after_tokens = None;
        faults.cut_after_tokens = Some(10);
    });
    let (rest, end) = deployment.runtime.block_on(events.rest());
    tokens.extend(rest);
    assert_eq!(end, StreamEnd::Error);
    // The engine sends the token that it stalled at before it looks for the next fault, and the cut may
    // overtake that token.
    assert!((10..=11).contains(&tokens.len()), "{tokens:?}");
    assert!(whole_answer("cut", TOKENS).starts_with(&tokens), "{tokens:?}");
    let runs: u64 = deployment.engines.iter().map(|slot| slot.backend.runs()).sum();
    let attempts = 1 + u64::from(RetryPolicy::default().max_attempts);
    assert!(runs <= attempts * RUNS_OF_AN_ATTEMPT, "{runs} runs");
}

/// Invariant 7. An entry that starts while the log is down gets the document from the other processes
/// and serves.
#[test]
fn a_new_entry_serves_without_the_log() {
    let mut deployment = Deployment::start(1, 1, 0);
    deployment.log.set_faults(|faults| faults.common.outage = Outage::Dropped);
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let (tokens, end) = deployment.runtime.block_on(async {
        let stream = Call::stream("new entry", 5).events(deployment.entry(1)).await;
        stream.expect("the stream opens").rest().await
    });
    assert_eq!((tokens, end), (whole_answer("new entry", 5), StreamEnd::Done));
}

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
