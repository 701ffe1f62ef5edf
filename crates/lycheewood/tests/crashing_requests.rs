//! Requests that crash the engines that run them, sent again by their callers.

#[path = "support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{
    Backend, DOCUMENT, Deployment, code_of, completion, expected_text, request, retry_after_ms,
    send, text_of,
};
use lycheewood::{Clock, Offset, QuarantineEntry, QuarantineRecord, RequestKey};
use stand_ins::engine::{Engine, EngineFaults, EngineSettings, token};
use stand_ins::faults::Outage;
use tokio::time::{sleep, timeout};

const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 1000, long_poll_ms: 500, platform_reply_ms: 300, \
backend_idle_ms: 400, load_report_ms: 50, clock_skew_ms: 10, reconnect_max_ms: 100}
";
const POISON: &str = "poison";
const WAIT_MS: u64 = 20_000;
/// Sends of one caller; more than a request of its kind could need.
const MAX_SENDS: usize = 200;
/// Between two sends of a caller that was refused. A refusal may name a much later time.
const CALLER_PAUSE_MS: u64 = 50;

/// The restart is late enough that the daemon sees its engine down.
fn fragile() -> EngineFaults {
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
    deployment.add_engines(engines, &fragile());
    deployment.serve_with(entries);
    deployment
}

fn count(deployment: &Deployment, wanted: impl Fn(&QuarantineEntry) -> bool) -> usize {
    let records = deployment.log.records("quarantine");
    let entries = records.iter().filter_map(|record| {
        serde_json::from_str::<QuarantineRecord>(&record.payload).ok().map(|record| record.entry)
    });
    entries.filter(wanted).count()
}

fn reports(deployment: &Deployment) -> usize {
    count(deployment, |entry| matches!(entry, QuarantineEntry::Suspects(_)))
}

fn trials(deployment: &Deployment) -> usize {
    count(deployment, |entry| matches!(entry, QuarantineEntry::Trial { .. }))
}

/// Sends a prompt again and again, through each entry in turn and with a new key each time, until
/// `wanted` holds for the answer. Gives the answer and the number of sends.
async fn send_until(
    entries: &[SocketAddr],
    prompt: &str,
    tokens: u32,
    wanted: impl Fn(u16, &str) -> bool,
) -> ((u16, String), usize) {
    let mut last = (0, String::new());
    for sent in 1..=MAX_SENDS {
        let entry = entries[sent % entries.len()];
        let key = RequestKey::generate(Clock::system().now());
        let body = completion(prompt, tokens);
        last = send(request(entry, "/v1/completions", Some(key), &body)).await;
        if wanted(last.0, &last.1) {
            return (last, sent);
        }
        sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
    }
    panic!("no wanted answer after {MAX_SENDS} sends; the last one was {last:?}");
}

fn is_quarantined(status: u16, body: &str) -> bool {
    // A request whose report is not in the log yet is refused with the same code.
    status == 503 && code_of(body) == "quarantined"
}

fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.entries.iter().map(lycheewood::Entry::caller_address).collect()
}

/// Guards against a request that takes down one endpoint after the other, because its caller or the
/// entry itself sends it again before the entry looks at the reports.
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
    assert!((1..=2).contains(&runs), "it ran {runs} times");
    assert_eq!(reports(&deployment) as u64, runs, "each crash is reported once");
}

/// Guards against innocent requests that stay refused because they ran beside one that crashes, and
/// against a suspect that is not cleared when it completes alone.
#[test]
fn innocent_requests_beside_a_crash_are_answered_in_the_end() {
    const INNOCENTS: usize = 6;
    const TOKENS: u32 = 20;
    let deployment = deployment(2, 2, 600_000);
    let entries = addresses(&deployment);
    let engines: Vec<_> = deployment.engines().collect();
    deployment.runtime.block_on(async {
        let callers: Vec<_> = (0..INNOCENTS)
            .map(|caller| {
                let entries = entries.clone();
                tokio::spawn(async move {
                    let prompt = format!("innocent {caller}");
                    let whole = |status: u16, _: &str| status == 200;
                    let (answer, _) = send_until(&entries, &prompt, TOKENS, whole).await;
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
            answered.expect("an innocent request stays refused").expect("the caller");
        }
    });
    // A cleared request needs no trial any more, once its clearance has been read.
    let runs_without_trial = |prompt: &str| {
        let before = trials(&deployment);
        let ask = request(entries[0], "/v1/completions", None, &completion(prompt, TOKENS));
        let (status, _) = deployment.runtime.block_on(async {
            sleep(Duration::from_millis(CALLER_PAUSE_MS)).await;
            send(ask).await
        });
        status == 200 && trials(&deployment) == before
    };
    for caller in 0..INNOCENTS {
        let prompt = format!("innocent {caller}");
        assert!((0..20).any(|_| runs_without_trial(&prompt)), "{prompt} is still a suspect");
    }
}

/// Guards against a suspect that stays refused for the whole deadline of a trial, because the endpoint
/// chosen for the trial had other work and refused it.
#[test]
fn a_trial_that_never_ran_does_not_hold_up_the_next() {
    // The stalled request must stay in the engine until it is let go.
    // Load reports are rare, so that the second entry takes the engine for idle.
    let timing = TIMING
        .replace("backend_idle_ms: 400", "backend_idle_ms: 60000")
        .replace("load_report_ms: 50", "load_report_ms: 1500");
    let mut deployment = Deployment::platform(&timing);
    // A trial counts as long as its request may take.
    let document = DOCUMENT.replace("default_ms: 20000", "default_ms: 120000");
    deployment.publish(&document, None);
    deployment.add_engines(1, &fragile());
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
            // The prompt of the other request runs once the daemon has seen its engine again.
            let whole = |status: u16, _: &str| status == 200;
            send_until(&entries[..1], "other", 4, whole).await
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

/// Guards against a crash that nobody reports, because the load report shows the engine down before
/// the attempt on it fails.
#[test]
fn a_crash_that_the_load_report_shows_first_is_reported() {
    let mut deployment = Deployment::platform(TIMING);
    deployment.publish(&document(600_000), None);
    let engine = deployment.engine(EngineFaults { restart_after_ms: 0, ..fragile() });
    engine.set_faults(|faults| faults.stall_after_tokens = Some(2));
    let near = deployment.forwarder(engine.address());
    deployment.add_slot("engines", "version: v1\n", near.address(), Backend::Engine(engine));
    deployment.serve_with(1);
    let Backend::Engine(engine) = &deployment.slots[0].backend else { unreachable!() };
    let entry = deployment.entries[0].caller_address();
    deployment.runtime.block_on(async {
        let ask = request(entry, "/v1/completions", None, &completion("stalled", 4));
        let answer = tokio::spawn(send(ask));
        engine.wait_for_load(|load| load.running == 1).await;
        // The stream sees nothing of the crash; the next load report does.
        near.silence();
        engine.crash().await;
        let (status, body) = answer.await.expect("the caller");
        assert_eq!(status, 504, "{body}");
        let reported = deployment.log.wait_for_records("quarantine", 1);
        let reported = timeout(Duration::from_millis(WAIT_MS), reported).await;
        reported.expect("the crash was not reported");
    });
    assert_eq!(reports(&deployment), 1);
}

/// Guards against a request that crashes more endpoints because the log cannot take the report, and
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
        let whole = |status: u16, _: &str| status == 200;
        send_until(&entries, "another prompt", 4, whole).await;
    });
    let poison = deployment.engine_runs() - 1;
    assert!((1..=2).contains(&poison), "it ran {poison} times");
}

/// Guards against a quarantine that outlasts the version that the request crashed.
#[test]
fn quarantine_ends_with_a_new_version() {
    let mut deployment = deployment(3, 1, 600_000);
    let entries = addresses(&deployment);
    let refused =
        |status: u16, body: &str| is_quarantined(status, body) && retry_after_ms(body) > 500_000;
    deployment.runtime.block_on(async {
        send_until(&entries, POISON, 4, refused).await;
        // Suspects, trial, suspects: it is refused by its case, not by an unread report.
        deployment.log.wait_for_records("quarantine", 3).await;
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

/// Guards against a quarantine that never ends by time.
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
