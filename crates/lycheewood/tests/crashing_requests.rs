//! Requests that crash the engines that run them and are retried by their callers.

#[path = "support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use deployment::{
    Backend, DOCUMENT, Deployment, code_of, completion, expected_text, request, retry_after_ms,
    send, text_of,
};
use lycheewood::{Clock, Offset, QuarantineEntry, QuarantineRecord, RequestKey};
use stand_ins::engine::{Engine, EngineFaults, EngineSettings, token};
use stand_ins::faults::Outage;
use tokio::time::{sleep, timeout};

/// Nothing goes silent in these tests, so the times after which something counts as silent are ones that a busy machine
/// keeps. An append that is given up earlier may be in the log, and an entry that is cut off misses reports.
const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 20000, long_poll_ms: 500, platform_reply_ms: 20000, \
claim_wait_ms: 20000, backend_idle_ms: 20000, load_report_ms: 50, clock_skew_ms: 10, \
reconnect_max_ms: 100}
";
const POISON: &str = "poison";
const WAIT_MS: u64 = 20_000;
/// Maximum number of sends of one caller; more than any request in these tests needs.
const MAX_SENDS: usize = 200;
/// Delay between two sends of a caller, shorter than the `Retry-After` of a refusal may be.
const CALLER_PAUSE_MS: u64 = 50;

/// Crashes on the prompt `POISON`. The restart is late enough that the daemon sees its engine down.
fn crash_faults() -> EngineFaults {
    EngineFaults {
        crash_on: POISON.to_owned(),
        restart_after_ms: 1_000,
        token_interval_ms: 10,
        ..EngineFaults::default()
    }
}

fn document(quarantine_ms: u64) -> String {
    let document = DOCUMENT.replace("default_ms: 20000", "default_ms: 4000");
    format!("{document}quarantine_ms: {quarantine_ms}\n")
}

fn deployment(engines: usize, entries: usize, quarantine_ms: u64) -> Deployment {
    let mut deployment = Deployment::platform(TIMING);
    deployment.publish(&document(quarantine_ms), None);
    deployment.add_engines(engines, &crash_faults());
    deployment.serve_with(entries);
    deployment
}

fn count(deployment: &Deployment, accept: impl Fn(&QuarantineEntry) -> bool) -> usize {
    let records = deployment.log.records("quarantine");
    let entries = records.iter().filter_map(|record| {
        serde_json::from_str::<QuarantineRecord>(&record.payload).ok().map(|record| record.entry)
    });
    entries.filter(accept).count()
}

fn report_count(deployment: &Deployment) -> usize {
    count(deployment, |entry| matches!(entry, QuarantineEntry::Suspects(_)))
}

fn trial_count(deployment: &Deployment) -> usize {
    count(deployment, |entry| matches!(entry, QuarantineEntry::Trial { .. }))
}

/// Sends a prompt repeatedly, through each entry in turn and with a new key each time, until `accept` holds
/// for the answer. Returns the answer and the number of sends.
async fn send_until(
    entries: &[SocketAddr],
    prompt: &str,
    tokens: u32,
    accept: impl Fn(u16, &str) -> bool,
) -> ((u16, String), usize) {
    let mut last = (0, String::new());
    for sent in 1..=MAX_SENDS {
        let entry = entries[sent % entries.len()];
        let key = RequestKey::generate(Clock::system().now());
        let body = completion(prompt, tokens);
        last = send(request(entry, "/v1/completions", Some(key), &body)).await;
        if accept(last.0, &last.1) {
            return (last, sent);
        }
        sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
    }
    panic!("no accepted answer after {MAX_SENDS} sends; the last one was {last:?}");
}

fn is_quarantined(status: u16, body: &str) -> bool {
    // A request whose crash report is not in the log yet is refused with the same code.
    status == 503 && code_of(body) == "quarantined"
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.entries.iter().map(lycheewood::Entry::caller_address).collect()
}

/// Guards against a request that crashes one endpoint after the other, because its caller or the entry itself
/// retries it before the entry has applied the crash reports.
#[test]
fn a_crashing_request_takes_down_at_most_two_endpoints() {
    let deployment = deployment(4, 2, 600_000);
    let entries = addresses(&deployment);
    deployment.runtime.block_on(async {
        let mut codes = Vec::new();
        // Long enough for the trial, its crash, the restarts and the refusals after them.
        for sent in 0..40 {
            let body = completion(POISON, 4);
            let key = RequestKey::generate(Clock::system().now());
            let entry = entries[sent % entries.len()];
            let (status, body) = send(request(entry, "/v1/completions", Some(key), &body)).await;
            assert!(status == 503 || status == 504, "{status} {body}");
            codes.push(code_of(&body));
            sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
        }
        assert_eq!(codes.last().map(String::as_str), Some("quarantined"), "{codes:?}");
    });
    let runs = deployment.engine_runs();
    assert!((1..=2).contains(&runs), "the request ran {runs} times");
    assert_eq!(report_count(&deployment) as u64, runs, "each crash is reported once");
}

/// Guards against requests that stay refused because they were in flight when another request crashed the
/// engine, and against a suspect that is not cleared when it completes alone.
#[test]
fn innocent_requests_beside_a_crash_are_answered_in_the_end() {
    const UNRELATED_REQUESTS: usize = 6;
    const TOKENS: u32 = 20;
    let deployment = deployment(2, 2, 600_000);
    let entries = addresses(&deployment);
    let engines: Vec<_> = deployment.engines().collect();
    deployment.runtime.block_on(async {
        let callers: Vec<_> = (0..UNRELATED_REQUESTS)
            .map(|caller| {
                let entries = entries.clone();
                tokio::spawn(async move {
                    let prompt = format!("innocent {caller}");
                    let is_answered = |status: u16, _: &str| status == 200;
                    let (answer, _) = send_until(&entries, &prompt, TOKENS, is_answered).await;
                    assert_eq!(text_of(&answer.1), expected_text(&prompt, u64::from(TOKENS)));
                })
            })
            .collect();
        for engine in &engines {
            engine.wait_for_load(|load| load.running >= 1).await;
        }
        let (answer, _) = send_until(&entries, POISON, 4, |status, body| {
            is_quarantined(status, body) && retry_after_ms(body) > 500_000
        })
        .await;
        assert_eq!(answer.0, 503);
        for caller in callers {
            let answered = timeout(Duration::from_millis(WAIT_MS), caller).await;
            answered.expect("an unrelated request stays refused").expect("the caller");
        }
    });
    // A cleared request runs without a trial as soon as the entry has read the clearance. How soon that is depends on the
    // machine.
    let runs_without_trial = |prompt: &str| {
        let before = trial_count(&deployment);
        let ask = request(entries[0], "/v1/completions", None, &completion(prompt, TOKENS));
        let (status, _) = deployment.runtime.block_on(async {
            sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
            send(ask).await
        });
        status == 200 && trial_count(&deployment) == before
    };
    for caller in 0..UNRELATED_REQUESTS {
        let prompt = format!("innocent {caller}");
        let started = Instant::now();
        while !runs_without_trial(&prompt) {
            let is_late = started.elapsed() >= Duration::from_millis(WAIT_MS);
            assert!(!is_late, "{prompt} is still a suspect");
        }
    }
}

/// Guards against a suspect that stays refused for the whole deadline of a trial, because the endpoint chosen
/// for the trial was busy and refused it.
#[test]
fn a_trial_that_never_ran_does_not_hold_up_the_next() {
    // The long idle timeout keeps the stalled request in the engine until the test clears the fault. The long
    // load report interval makes the second entry choose the busy engine as if it were idle.
    let timing = TIMING
        .replace("backend_idle_ms: 20000", "backend_idle_ms: 60000")
        .replace("load_report_ms: 50", "load_report_ms: 1500");
    let mut deployment = Deployment::platform(&timing);
    // A trial holds until the deadline of its request, which must be longer than this test waits.
    let document = DOCUMENT.replace("default_ms: 20000", "default_ms: 120000");
    deployment.publish(&document, None);
    deployment.add_engines(1, &crash_faults());
    deployment.serve_with(2);
    let entries = addresses(&deployment);
    let engine = deployment.engines().next().expect("an engine");
    let send_prompt = |prompt: &str, tokens| {
        tokio::spawn(send(request(
            entries[0],
            "/v1/completions",
            None,
            &completion(prompt, tokens),
        )))
    };
    deployment.runtime.block_on(async {
        engine.set_faults(|faults| faults.stall_after_tokens = Some(2));
        let suspect = send_prompt("suspect", 4);
        engine.wait_for_load(|load| load.running == 1).await;
        engine.crash().await;
        suspect.await.expect("the caller");
        deployment.log.wait_for_records("quarantine", 1).await;
        engine.restart().await;
        let busy = |status: u16, body: &str| {
            status == 503 && ["endpoint_refused", "no_endpoint"].contains(&&*code_of(body))
        };
        let other = async {
            // The other request runs as soon as the daemon has seen the engine up again.
            let is_answered = |status: u16, _: &str| status == 200;
            send_until(&entries[..1], "other", 4, is_answered).await
        };
        let suspect = async {
            engine.wait_for_load(|load| load.running == 1).await;
            send_until(&entries[1..], "suspect", 4, busy).await;
            engine.set_faults(|faults| faults.stall_after_tokens = None);
            send_until(&entries[1..], "suspect", 4, |status, _| status == 200).await
        };
        let both = timeout(Duration::from_millis(WAIT_MS), async { tokio::join!(other, suspect) });
        both.await.expect("the suspect stays refused");
    });
}

/// Guards against a suspect that stays refused for the whole deadline of its trial although it has completed it,
/// because the log was unavailable for a moment when the clearance was appended.
#[test]
fn a_completed_trial_clears_its_suspect_after_a_failed_append() {
    let mut deployment = Deployment::platform(TIMING);
    // A trial holds until the deadline of its request, which must be longer than this test waits.
    let document = DOCUMENT.replace("default_ms: 20000", "default_ms: 120000");
    deployment.publish(&document, None);
    deployment.add_engines(1, &crash_faults());
    deployment.serve_with(1);
    let entries = addresses(&deployment);
    let engine = deployment.engines().next().expect("an engine");
    let is_answered = |status: u16, _: &str| status == 200;
    deployment.runtime.block_on(async {
        engine.set_faults(|faults| faults.stall_after_tokens = Some(2));
        let ask = request(entries[0], "/v1/completions", None, &completion("suspect", 4));
        let suspect = tokio::spawn(send(ask));
        engine.wait_for_load(|load| load.running == 1).await;
        engine.crash().await;
        suspect.await.expect("the caller");
        deployment.log.wait_for_records("quarantine", 1).await;
        engine.restart().await;
        let trial = send_until(&entries, "suspect", 4, is_answered);
        let outage = async {
            engine.wait_for_load(|load| load.running == 1).await;
            deployment.log.set_faults(|faults| faults.common.outage = Outage::Unavailable);
            engine.set_faults(|faults| faults.stall_after_tokens = None);
        };
        let both = timeout(Duration::from_millis(WAIT_MS), async { tokio::join!(trial, outage) });
        both.await.expect("the trial completes");
        let trials = trial_count(&deployment);
        // The append of the clearance fails before another request has been answered.
        send_until(&entries, "other", 4, is_answered).await;
        deployment.log.set_faults(|faults| faults.common.outage = Outage::None);
        let cleared = send_until(&entries, "suspect", 4, is_answered);
        let cleared = timeout(Duration::from_millis(WAIT_MS), cleared).await;
        cleared.expect("the suspect stays refused");
        assert_eq!(trial_count(&deployment), trials, "the suspect ran another trial");
    });
}

/// Guards against a crash that is not reported, because the load report shows the engine down before the
/// attempt on it fails.
#[test]
fn a_crash_that_the_load_report_shows_first_is_reported() {
    let mut deployment = Deployment::platform(TIMING);
    // The request must not end before its attempt is cut.
    let document = document(600_000).replace("default_ms: 4000", "default_ms: 120000");
    deployment.publish(&document, None);
    let engine = deployment.engine(EngineFaults { restart_after_ms: 0, ..crash_faults() });
    engine.set_faults(|faults| faults.stall_after_tokens = Some(2));
    let forwarder = deployment.forwarder(engine.address());
    deployment.add_slot("engines", "version: v1\n", forwarder.address(), Backend::Engine(engine));
    deployment.serve_with(1);
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    let entry = deployment.entries[0].caller_address();
    deployment.runtime.block_on(async {
        let ask = request(entry, "/v1/completions", None, &completion("stalled", 4));
        let answer = tokio::spawn(send(ask));
        engine.wait_for_load(|load| load.running == 1).await;
        // The response stream does not end at the crash.
        forwarder.silence();
        engine.crash().await;
        // Each load report opens a connection, so the one before the last has shown the crash.
        let opened = forwarder.opened();
        forwarder.wait_for_opened_above(opened + 2).await;
        forwarder.cut();
        let (status, body) = answer.await.expect("the caller");
        assert_eq!(status, 504, "{body}");
        let reported = deployment.log.wait_for_records("quarantine", 1);
        let reported = timeout(Duration::from_millis(WAIT_MS), reported).await;
        reported.expect("the crash was not reported");
    });
    assert_eq!(report_count(&deployment), 1);
}

/// Guards against a request that crashes more endpoints because its report cannot be appended to the log, and
/// against other requests that wait for the log.
#[test]
fn a_crash_while_the_log_is_down_is_bounded_too() {
    let deployment = deployment(4, 2, 600_000);
    let entries = addresses(&deployment);
    deployment.log.set_faults(|faults| faults.common.outage = Outage::Unavailable);
    deployment.runtime.block_on(async {
        for sent in 0..10 {
            let entry = entries[sent % entries.len()];
            let ask = request(entry, "/v1/completions", None, &completion(POISON, 4));
            let (status, body) = send(ask).await;
            assert!(status == 503 || status == 504, "{status} {body}");
            sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
        }
        let is_answered = |status: u16, _: &str| status == 200;
        send_until(&entries, "another prompt", 4, is_answered).await;
    });
    let runs = deployment.engine_runs() - 1;
    assert!((1..=2).contains(&runs), "the crashing request ran {runs} times");
}

/// Guards against a quarantine that continues for a new version, though the request crashed only the old one.
#[test]
fn quarantine_ends_with_a_new_version() {
    let mut deployment = deployment(3, 1, 600_000);
    let entries = addresses(&deployment);
    let refused =
        |status: u16, body: &str| is_quarantined(status, body) && retry_after_ms(body) > 500_000;
    deployment.runtime.block_on(async {
        // Suspects, trial, suspects: after these records the request is refused by the quarantine table, not
        // for an unread report, for which it is refused before its trial as well.
        let has_run_alone = |_: u16, _: &str| deployment.log.records("quarantine").len() >= 3;
        send_until(&entries, POISON, 4, has_run_alone).await;
        send_until(&entries, POISON, 4, refused).await;
    });
    let engine = {
        let _runtime = deployment.runtime.enter();
        Engine::start(EngineSettings { version: "v2".to_owned(), ..EngineSettings::default() })
            .expect("start an engine")
    };
    let address = engine.address();
    deployment.add_slot("engines", "version: v2\n", address, Backend::Engine(engine));
    deployment.announce();
    deployment.wait_until_ready();
    deployment.publish(&document(600_000).replace("name: v1", "name: v2"), Some(Offset(0)));
    let (answer, _) =
        deployment.runtime.block_on(send_until(&entries, POISON, 4, |status, _| status == 200));
    let text: String = (0..4).map(|index| token("v2", POISON, index)).collect();
    assert_eq!(text_of(&answer.1), text);
}

/// Guards against a quarantine that does not expire.
#[test]
fn quarantine_ends_by_time() {
    const QUARANTINE_MS: u64 = 6_000;
    let deployment = deployment(3, 1, QUARANTINE_MS);
    let entries = addresses(&deployment);
    deployment.runtime.block_on(async {
        let (refused, _) = send_until(&entries, POISON, 4, is_quarantined).await;
        assert!(retry_after_ms(&refused.1) <= QUARANTINE_MS, "{}", refused.1);
        for engine in deployment.engines() {
            engine.set_faults(|faults| faults.crash_on = String::new());
        }
        let (answer, _) = send_until(&entries, POISON, 4, |status, _| status == 200).await;
        assert_eq!(text_of(&answer.1), expected_text(POISON, 4));
    });
}
