//! Quarantine at gateways: prompt parts, reports merged from several gateways, and entries in any order.

use lycheewood::{
    AttemptId, Fingerprint, Incarnation, InstanceId, QuarantineDecision, QuarantineEntry,
    QuarantineSettings, QuarantineTable, ReportId, SuspectReport, Timestamp,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const QUARANTINE_MS: u64 = 60_000;

fn ms(unix_ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(unix_ms)
}

fn attempt(gateway: u64, sequence: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(gateway), sequence }
}

fn fingerprint(n: u8) -> Fingerprint {
    Fingerprint::from([n; 16])
}

fn table() -> QuarantineTable {
    QuarantineTable::new(QuarantineSettings {
        clock_skew_ms: 0,
        max_trial_ms: 10_000,
        max_quarantine_ms: 600_000,
        max_suspects: 100,
    })
}

/// The crash of endpoint `endpoint`, with these requests and prompt parts in flight.
fn crash(endpoint: &str, started_ms: u64, requests: &[u8], parts: &[u8]) -> QuarantineEntry {
    QuarantineEntry::Suspects(SuspectReport {
        report: ReportId::of_incarnation(&InstanceId::new(endpoint), started_ms),
        fingerprints: requests.iter().copied().map(fingerprint).collect(),
        prompt_parts: parts.iter().copied().map(fingerprint).collect(),
        ran_alone: false,
        version: None,
        quarantine_ms: QUARANTINE_MS,
    })
}

fn decide(table: &QuarantineTable, fingerprints: &[u8], at_ms: u64) -> QuarantineDecision {
    let fingerprints: Vec<_> = fingerprints.iter().copied().map(fingerprint).collect();
    table.decide_all(&fingerprints, None, attempt(1, 1), ms(at_ms))
}

/// Guards against a prompt part that crashes a second endpoint at once, under another request, and against one that
/// is refused for good.
#[test]
fn a_prompt_part_is_refused_after_its_first_crash() {
    let mut table = table();
    table.apply_unordered(crash("e1", 0, &[1], &[7]), ms(0));
    let first_end = QUARANTINE_MS / 2;
    assert_eq!(decide(&table, &[2, 7], 1), QuarantineDecision::RefuseUntil(ms(first_end)));
    assert_eq!(decide(&table, &[2], 1), QuarantineDecision::Run);
    // The whole request may be tried elsewhere, if its parts are no suspects.
    assert_eq!(decide(&table, &[1], 1), QuarantineDecision::NeedsTrial);
    assert_eq!(decide(&table, &[2, 7], first_end), QuarantineDecision::NeedsTrial);
    table.apply_unordered(crash("e2", 0, &[2], &[7]), ms(first_end));
    let second_end = first_end + QUARANTINE_MS;
    assert_eq!(
        decide(&table, &[3, 7], first_end + 1),
        QuarantineDecision::RefuseUntil(ms(second_end))
    );
    assert_eq!(decide(&table, &[3, 7], 10 * QUARANTINE_MS), QuarantineDecision::Run);
}

/// Guards against requests that are left out because another gateway has reported the same crash first, against
/// counting one crash twice, and against taking the next crash of an endpoint with the same identifier for it.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut table = table();
    assert!(table.apply_unordered(crash("e1", 5, &[1], &[]), ms(0)));
    assert!(table.apply_unordered(crash("e1", 5, &[2], &[]), ms(1)));
    assert!(!table.apply_unordered(crash("e1", 5, &[1, 2], &[]), ms(2)));
    assert_eq!(decide(&table, &[1], 3), QuarantineDecision::NeedsTrial);
    assert_eq!(decide(&table, &[2], 3), QuarantineDecision::NeedsTrial);
    assert!(table.apply_unordered(crash("e1", 9, &[1], &[]), ms(4)));
    assert!(matches!(decide(&table, &[1], 5), QuarantineDecision::RefuseUntil(_)));
}

/// Guards against refusing requests whose part endpoints have sent output for at another gateway.
#[test]
fn a_completion_clears_a_suspect() {
    let mut table = table();
    table.apply_unordered(crash("e1", 0, &[1], &[7]), ms(0));
    table.apply_unordered(QuarantineEntry::Completed { fingerprint: fingerprint(7) }, ms(1));
    assert_eq!(decide(&table, &[2, 7], 2), QuarantineDecision::Run);
    // A copy of the report that comes late changes nothing.
    assert!(!table.apply_unordered(crash("e1", 0, &[1], &[7]), ms(3)));
    assert_eq!(decide(&table, &[2, 7], 4), QuarantineDecision::Run);
}

/// Guards against a request that waits for a trial although it is quarantined, and against one that is refused at once
/// although only a trial of another attempt keeps it from running.
#[test]
fn only_a_trial_of_another_attempt_is_waited_for() {
    let mut table = table();
    let (own, other) = (attempt(1, 1), attempt(2, 1));
    let trial = |n| QuarantineEntry::Trial {
        fingerprint: fingerprint(n),
        attempt: other,
        version: None,
        duration_ms: 500,
    };
    let end = |table: &QuarantineTable, requests: &[u8], attempt, at_ms| {
        let fingerprints: Vec<_> = requests.iter().copied().map(fingerprint).collect();
        table.trial_end(&fingerprints, None, attempt, ms(at_ms))
    };
    table.apply_unordered(crash("e1", 0, &[1, 2], &[7]), ms(0));
    assert_eq!(end(&table, &[1], own, 1), None, "no trial runs");
    table.apply_unordered(trial(1), ms(1));
    assert_eq!(end(&table, &[1], own, 2), Some(ms(501)));
    assert_eq!(end(&table, &[1, 2], own, 2), Some(ms(501)));
    assert_eq!(end(&table, &[1], other, 2), None, "its own trial");
    assert_eq!(end(&table, &[1, 7], own, 2), None, "the prompt part is quarantined");
    assert_eq!(end(&table, &[1], own, 501), None, "the trial is over");
    table.apply_unordered(crash("e2", 0, &[1], &[]), ms(502));
    assert_eq!(end(&table, &[1], own, 503), None, "the request is quarantined");
}

/// Guards against a prompt part that crashes endpoints without bound while entries are late, lost or repeated.
///
/// Each gateway knows its own reports at once. Others get them late or only by a repetition. Within one period of
/// quarantine a gateway therefore crashes at most one endpoint.
#[test]
fn late_and_lost_reports_cost_at_most_one_endpoint_a_gateway() {
    const GATEWAYS: usize = 3;
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[18; 32]);
    // The gateway that gets the next request, whether its report is lost, and the pause before it.
    let steps = prop::collection::vec((0..GATEWAYS, any::<bool>(), 1..2_000_u64), 10..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut tables = vec![table(); GATEWAYS];
            let mut in_transit: Vec<(u64, usize, QuarantineEntry)> = Vec::new();
            let (mut now, mut crashes) = (0, 0);
            for (number, (gateway, is_lost, pause_ms)) in steps.into_iter().enumerate() {
                now += pause_ms;
                let (due, later): (Vec<_>, Vec<_>) =
                    in_transit.into_iter().partition(|(at_ms, ..)| *at_ms <= now);
                in_transit = later;
                for (at_ms, to, entry) in due {
                    tables[to].apply_unordered(entry, ms(at_ms));
                }
                let request = u8::try_from(10 + number).expect("few steps");
                if matches!(
                    decide(&tables[gateway], &[request, 7], now),
                    QuarantineDecision::RefuseUntil(_)
                ) {
                    continue;
                }
                crashes += 1;
                let report = crash(&format!("e{number}"), 0, &[request], &[7]);
                tables[gateway].apply_unordered(report.clone(), ms(now));
                let delay_ms = if is_lost { 1_800 } else { 5 };
                let others = (0..GATEWAYS).filter(|other| *other != gateway);
                in_transit.extend(others.map(|other| (now + delay_ms, other, report.clone())));
            }
            let periods = 1 + now / (QUARANTINE_MS / 2);
            let bound = GATEWAYS as u64 * periods;
            prop_assert!(crashes <= bound, "{} endpoints lost in {} ms", crashes, now);
            Ok(())
        })
        .unwrap();
}
