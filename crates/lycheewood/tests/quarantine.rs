//! Quarantine of requests that crash endpoints: limits on crashed endpoints and on refusals.

use std::cell::Cell;

use lycheewood::{
    AttemptId, Fingerprint, Incarnation, QuarantineDecision, QuarantineEntry, QuarantineRecord,
    QuarantineSettings, QuarantineTable, ReportId, SuspectReport, Timestamp, VersionName,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const QUARANTINE_MS: u64 = 10_000;
const SETTINGS: QuarantineSettings = QuarantineSettings {
    clock_skew_ms: 100,
    max_trial_ms: 2_000,
    max_quarantine_ms: QUARANTINE_MS,
    max_suspects: 100,
};

fn ms(unix_ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(unix_ms)
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(1), sequence }
}

fn request(n: u8) -> Fingerprint {
    Fingerprint::from([n; 16])
}

fn report(crash: u64, requests: &[u8], ran_alone: bool, version: Option<&str>) -> SuspectReport {
    SuspectReport {
        report: ReportId { incarnation: Incarnation(crash), sequence: 1 },
        fingerprints: requests.iter().map(|n| request(*n)).collect(),
        prompt_parts: Vec::new(),
        ran_alone,
        version: version.map(VersionName::new),
        quarantine_ms: QUARANTINE_MS,
    }
}

fn apply(table: &mut QuarantineTable, at_ms: u64, entry: QuarantineEntry) -> bool {
    table.apply(table.next_offset(), ms(at_ms), &QuarantineRecord::new(entry).to_json())
}

fn trial(sequence: u64, version: Option<&str>) -> QuarantineEntry {
    let (attempt, version) = (attempt(sequence), version.map(VersionName::new));
    QuarantineEntry::Trial { fingerprint: request(1), attempt, version, duration_ms: 2_000 }
}

fn cleared(sequence: u64) -> QuarantineEntry {
    QuarantineEntry::Cleared { fingerprint: request(1), attempt: attempt(sequence) }
}

fn decide(
    table: &QuarantineTable,
    at_ms: u64,
    sequence: u64,
    v: Option<&str>,
) -> QuarantineDecision {
    let version = v.map(VersionName::new);
    table.decide(&request(1), version.as_ref(), attempt(sequence), ms(at_ms))
}

/// Guards against two concurrent trials of one suspect, and against a trial that runs past its end.
#[test]
fn one_trial_at_a_time() {
    let mut table = QuarantineTable::new(SETTINGS);
    apply(&mut table, 0, QuarantineEntry::Suspects(report(1, &[1, 2], false, None)));
    assert_eq!(decide(&table, 0, 1, None), QuarantineDecision::NeedsTrial);
    assert!(apply(&mut table, 0, trial(1, None)) && !apply(&mut table, 1, trial(2, None)));
    let alone = QuarantineDecision::RunAlone { latest_deadline: ms(1_900) };
    assert_eq!(decide(&table, 1, 1, None), alone);
    assert_eq!(decide(&table, 1, 2, None), QuarantineDecision::RefuseUntil(ms(2_000)));
    // The next trial starts when the first has expired without a result; a late result has no effect.
    assert!(apply(&mut table, 2_000, trial(2, None)) && !apply(&mut table, 2_001, cleared(1)));
    assert!(apply(&mut table, 2_002, cleared(2)));
    assert_eq!(decide(&table, 2_002, 3, None), QuarantineDecision::Run);
}

/// Guards against a report that is applied twice, or that makes a cleared request a suspect again, when it
/// arrives repeatedly or late.
#[test]
fn a_repeated_report_counts_once() {
    let mut table = QuarantineTable::new(SETTINGS);
    let first = report(1, &[1, 2], false, None);
    table.add_direct_report(&first, ms(0));
    assert_eq!(decide(&table, 0, 1, None), QuarantineDecision::RefuseUntil(ms(QUARANTINE_MS)));
    assert!(apply(&mut table, 1, QuarantineEntry::Suspects(first.clone())));
    assert!(!apply(&mut table, 2, QuarantineEntry::Suspects(first.clone())));
    assert_eq!(decide(&table, 2, 1, None), QuarantineDecision::NeedsTrial);
    apply(&mut table, 3, trial(1, None));
    apply(&mut table, 4, cleared(1));
    apply(&mut table, 5, QuarantineEntry::Suspects(first.clone()));
    table.add_direct_report(&first, ms(5));
    assert_eq!(decide(&table, 5, 1, None), QuarantineDecision::Run);
}

/// Guards against a quarantine that outlasts its duration or applies to a new version.
#[test]
fn a_quarantine_ends_by_time_or_version() {
    let (mut table, old, new) = (QuarantineTable::new(SETTINGS), Some("v1"), Some("v2"));
    apply(&mut table, 0, QuarantineEntry::Suspects(report(1, &[1], true, old)));
    assert_eq!(decide(&table, 9_999, 1, old), QuarantineDecision::RefuseUntil(ms(10_000)));
    assert_eq!(decide(&table, 10_000, 1, old), QuarantineDecision::NeedsTrial);
    assert_eq!(decide(&table, 20_000, 1, old), QuarantineDecision::Run);
    assert!(!apply(&mut table, 1, trial(1, old)) && apply(&mut table, 1, trial(2, new)));
    assert!(apply(&mut table, 2, cleared(2)));
    assert_eq!(decide(&table, 3, 3, new), QuarantineDecision::Run);
    assert_eq!(decide(&table, 3, 3, old), QuarantineDecision::RefuseUntil(ms(10_000)));
}

/// Guards against a request that crashes a third endpoint, and against one that is refused permanently.
///
/// Request 1 crashes every endpoint that runs it; request 2 is innocent. Copies of both start before the
/// first crash. Each crash is reported directly at once, and through the log late or repeatedly. No other
/// request starts in between. Each further quarantine period may crash one more endpoint.
#[test]
fn at_most_two_endpoints_are_lost_and_the_innocent_runs() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0..4u8, any::<bool>(), 1..1_500u64), 10..80);
    let quarantined = Cell::new(0);
    TestRunner::new_with_rng(config, rng)
        .run(&(1..4u64, steps), |(copies, steps)| {
            let mut table = QuarantineTable::new(SETTINGS);
            let (mut now, mut crashes, mut started) = (0, copies, 0);
            // Copies that run when the first report arrives crash at the same time.
            let mut reports: Vec<_> =
                (1..=copies).map(|c| report(c, &[1, 2], false, None)).collect();
            for report in &reports {
                table.add_direct_report(report, ms(now));
            }
            for (action, is_last_copy, wait_ms) in steps {
                now += wait_ms;
                match (action, decide(&table, now, started, None)) {
                    (0, _) if !reports.is_empty() => {
                        let entry = QuarantineEntry::Suspects(reports[0].clone());
                        apply(&mut table, now, entry);
                        if is_last_copy {
                            reports.remove(0);
                        }
                    }
                    (1, QuarantineDecision::NeedsTrial) => {
                        started += 1;
                        apply(&mut table, now, trial(started, None));
                    }
                    (_, QuarantineDecision::RunAlone { latest_deadline })
                        if ms(now) < latest_deadline =>
                    {
                        crashes += 1;
                        let crash = report(100 + crashes, &[1], true, None);
                        table.add_direct_report(&crash, ms(now));
                        reports.push(crash);
                    }
                    // Suspicion has expired, or a report did not reach the log for a whole period.
                    (_, QuarantineDecision::Run) if now >= QUARANTINE_MS => break,
                    (_, QuarantineDecision::Run) => crashes += 100,
                    _ => {}
                }
                let bound = copies.max(2) + now / QUARANTINE_MS;
                prop_assert!(crashes <= bound, "{} endpoints lost at {} ms", crashes, now);
                quarantined.set(quarantined.get() + u32::from(crashes > copies));
            }
            let later = ms(now + 2 * QUARANTINE_MS);
            let innocent = table.decide(&request(2), None, attempt(0), later);
            prop_assert_eq!(innocent, QuarantineDecision::Run);
            Ok(())
        })
        .unwrap();
    assert!(quarantined.get() > 0);
}
