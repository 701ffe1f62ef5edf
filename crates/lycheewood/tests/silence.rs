//! Connections that go silent permanently while new ones work. Each kind of connection must detect this in
//! bounded time and continue in-flight work on a new connection without repeating any of it.

#[path = "support/deployment.rs"]
mod deployment;

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use deployment::{
    Backend, DOCUMENT, Deployment, TOKEN, completion, expected_text, request, send, text_of,
};
use lycheewood::{Clock, Offset, RequestKey};
use stand_ins::engine::{Engine, EngineFaults};
use stand_ins::forwarder::Forwarder;
use stand_ins::service::Service;
use tokio::time::timeout;

/// Timings that let each silence be detected within a few seconds. Those after which something counts as silent are the
/// defaults, or at least 2 s: a busy machine keeps a thread from running for hundreds of milliseconds.
const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 2000, long_poll_ms: 500, platform_reply_ms: 2000, \
backend_idle_ms: 2000, load_report_ms: 100, entries_valid_ms: 10, entry_linger_ms: 20, \
entry_refuse_ms: 10, drain_notice_ms: 10}
bounds: {caller_stall_ms: 2000}
";
/// The same where the platform does not go silent: a call whose claim takes longer than these times is refused as not run.
const PATIENT_TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 2000, long_poll_ms: 500, platform_reply_ms: 20000, \
claim_wait_ms: 20000, load_report_ms: 100, entries_valid_ms: 10, entry_linger_ms: 20, \
entry_refuse_ms: 10, drain_notice_ms: 10}
";
const TOKENS: u32 = 40;
const WAIT_MS: u64 = 20_000;

/// Faults of an engine slow enough for its connection to go silent in the middle of an answer.
fn slow_engine() -> EngineFaults {
    EngineFaults { token_interval_ms: 25, ..EngineFaults::default() }
}

/// Starts a platform and publishes the document.
fn platform(timing: &str) -> Deployment {
    let deployment = Deployment::platform(timing);
    deployment.publish(DOCUMENT, None);
    deployment
}

/// Requests a completion, silences the connections of `forwarder` in the middle of the answer, and checks
/// that the caller still receives all of it.
fn assert_whole_answer(deployment: &Deployment, forwarder: &Forwarder, prompt: &str) {
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    let entry = deployment.entries[0].caller_address();
    let completion_request = request(entry, "/v1/completions", None, &completion(prompt, TOKENS));
    let answer = deployment.runtime.block_on(async {
        let answer = tokio::spawn(send(completion_request));
        engine.wait_for_load(|load| load.running == 1).await;
        forwarder.silence();
        answer.await.expect("the caller")
    });
    assert_eq!(answer.0, 200, "{}", answer.1);
    assert_eq!(text_of(&answer.1), expected_text(prompt, u64::from(TOKENS)));
}

/// Guards against an answer that hangs, loses a token or runs twice when the connection between entry
/// and endpoint daemon goes silent.
#[test]
fn an_answer_survives_a_silent_connection_to_its_endpoint() {
    let mut deployment = platform(TIMING);
    deployment.add_engine(slow_engine());
    deployment.add_entry();
    let daemon = deployment.forwarder(deployment.slots[0].daemon.peer_address());
    deployment.announce_at(|_, _| daemon.address());
    deployment.wait_until_ready();
    assert_whole_answer(&deployment, &daemon, "silent endpoint");
    assert!(daemon.opened() >= 2, "the entry has opened another connection");
}

/// Guards against a non-idempotent call being sent again when its connection goes silent.
#[test]
fn a_call_runs_once_when_its_connection_goes_silent() {
    let mut deployment = platform(PATIENT_TIMING);
    let service = {
        let _runtime = deployment.runtime.enter();
        Service::start().expect("start a service")
    };
    service.set_faults(|faults| faults.common.delay_ms = 800);
    let address = service.address();
    deployment.add_slot("jobs", "", address, Backend::Service(service));
    deployment.add_entry();
    let daemon = deployment.forwarder(deployment.slots[0].daemon.peer_address());
    deployment.announce_at(|_, _| daemon.address());
    deployment.wait_until_ready();
    let key = RequestKey::generate(Clock::system().now());
    let entry = deployment.entries[0].caller_address();
    let call = request(entry, "/v1/services/jobs/jobs", Some(key), "job 1");
    let opened = daemon.opened();
    let (answer, reconnected) = deployment.runtime.block_on(async {
        let answer = tokio::spawn(send(call));
        // The claim appears in the log just before the call is sent.
        let claims = deployment.log_client();
        let page = claims.read("claims", Offset(0), WAIT_MS).await;
        if !page.is_ok_and(|page| !page.records.is_empty()) {
            let (status, body) = answer.await.expect("the caller");
            panic!("no claim in the log; the caller received {status}: {body}");
        }
        daemon.silence();
        let reconnected = daemon.wait_for_opened_above(opened);
        let reconnected = timeout(Duration::from_millis(WAIT_MS), reconnected).await;
        (answer.await.expect("the caller"), reconnected)
    });
    assert!(reconnected.is_ok(), "the entry opened no other connection");
    let Backend::Service(service) = &deployment.slots[0].backend else { unreachable!() };
    assert!(service.executions_of(b"job 1") <= 1, "the call ran twice");
    // The status must match whether the call ran, whether the silence came before or after it was sent.
    match answer.0 {
        200 => assert_eq!(service.executions_of(b"job 1"), 1),
        503 => assert_eq!(service.executions_of(b"job 1"), 0, "{}", answer.1),
        status => panic!("status {status}: {}", answer.1),
    }
}

/// Settings of endpoints that run one attempt at a time.
const ONE_ATTEMPT: &str = "\
timing: {heartbeat_ms: 50, long_poll_ms: 500, load_report_ms: 100, entries_valid_ms: 10, entry_linger_ms: 20, \
entry_refuse_ms: 10, drain_notice_ms: 10}
bounds: {max_attempts: 1}
";

/// Guards against an answer that ends because its endpoint is cut off for a moment and the only other one is full: the
/// endpoint still holds it.
#[test]
fn an_answer_waits_for_its_endpoint_while_the_other_one_is_full() {
    const FAILED_CONNECTIONS: u64 = 6;
    let mut deployment = platform(ONE_ATTEMPT);
    deployment.add_engines(2, &slow_engine());
    deployment.add_entry();
    let forwarders: Vec<Forwarder> = (0..2)
        .map(|index| deployment.forwarder(deployment.slots[index].daemon.peer_address()))
        .collect();
    deployment.announce_at(|index, _| forwarders[index].address());
    deployment.wait_until_ready();
    let entry = deployment.entries[0].caller_address();
    let completion =
        |prompt: &str, tokens| request(entry, "/v1/completions", None, &completion(prompt, tokens));
    let engines: Vec<&Engine> = deployment.engines().collect();
    let answer = deployment.runtime.block_on(async {
        let other = tokio::spawn(send(completion("other", 1_000)));
        let own = tokio::select! {
            () = engines[0].wait_for_load(|load| load.running == 1) => 1,
            () = engines[1].wait_for_load(|load| load.running == 1) => 0,
        };
        let answer = tokio::spawn(send(completion("watched", TOKENS)));
        engines[own].wait_for_load(|load| load.running == 1).await;
        forwarders[own].cut();
        // The entry asks the full endpoint after the first failed connection.
        let opened = forwarders[own].opened() + FAILED_CONNECTIONS;
        forwarders[own].wait_for_opened_above(opened).await;
        forwarders[own].restore();
        let answer = answer.await.expect("the caller");
        other.abort();
        answer
    });
    assert_eq!(answer.0, 200, "{}", answer.1);
    assert_eq!(text_of(&answer.1), expected_text("watched", u64::from(TOKENS)));
    assert_eq!(deployment.engine_runs(), 2);
}

/// Guards against a daemon that mistakes a silent connection to its engine for a crashed engine.
#[test]
fn an_answer_survives_a_silent_connection_to_its_engine() {
    let mut deployment = platform(TIMING);
    let engine = deployment.engine(slow_engine());
    let forwarder = deployment.forwarder(engine.address());
    deployment.add_slot("engines", "version: v1\n", forwarder.address(), Backend::Engine(engine));
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    assert_whole_answer(&deployment, &forwarder, "silent engine");
}

/// Guards against a node that waits indefinitely on a silent connection to the log or the instance list.
#[test]
fn nodes_follow_the_platform_over_silent_connections() {
    let mut deployment = platform(TIMING);
    let log = deployment.forwarder(deployment.log_address);
    let list = deployment.forwarder(deployment.list_address);
    (deployment.log_address, deployment.list_address) = (log.address(), list.address());
    deployment.add_engine(EngineFaults::default());
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    log.silence();
    list.silence();
    let version = deployment.publish(DOCUMENT, Some(Offset(0)));
    assert!(
        deployment.entries[0].wait_until_version(version, WAIT_MS),
        "the entry did not read the log"
    );
    deployment.add_engine(EngineFaults::default());
    deployment.announce();
    deployment.wait_until_ready();
}

/// Guards against a caller that stops reading and thereby blocks its answer, and a planned stop,
/// indefinitely.
#[test]
fn a_caller_that_reads_nothing_does_not_hold_up_a_stop() {
    let mut deployment = platform(TIMING);
    deployment.add_engine(EngineFaults { token_interval_ms: 0, ..EngineFaults::default() });
    deployment.add_entry();
    deployment.announce();
    deployment.wait_until_ready();
    let entry = deployment.entries.remove(0);
    let body = r#"{"model": "draft", "prompt": "unread", "max_tokens": 65536, "stream": true}"#;
    let mut caller = TcpStream::connect(entry.caller_address()).expect("connect");
    write!(
        caller,
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\nx-deadline-ms: 600000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("send the request");
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    deployment.runtime.block_on(engine.wait_for_load(|load| load.running == 1));
    let (ended, end) = mpsc::channel();
    let stop = thread::spawn(move || {
        entry.shutdown();
        ended.send(())
    });
    assert!(end.recv_timeout(Duration::from_millis(WAIT_MS)).is_ok(), "the entry did not stop");
    assert!(stop.join().is_ok());
    drop(caller);
}
