//! The decisions that the choice by work rests on.

use lycheewood::{About, FailureDomain, Incarnation, InstanceId};
use lycheewood::{
    AnswerTable, EndpointPace, EndpointWork, EngineProfile, Heartbeat, HeartbeatExtension,
    LengthHint, PaceChange, PeerTracker, RequestCost, RequestFacts, RequestWork, ServicePace,
    Timestamp, TokenUsage, WorkspaceName, estimate_cost, total_work_ms,
};

use super::scenarios;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn engine() -> EngineProfile {
    scenarios::HEAVY_TAILS.profile()
}

fn cost(usage: &str, hint: Option<&str>, answers: &AnswerTable, now: Timestamp) -> RequestCost {
    let engine = engine();
    let profile = engine.cost.expect("a cost profile");
    let facts = RequestFacts {
        usage: TokenUsage::try_from(usage).expect("token counts"),
        hint: hint.map(|hint| LengthHint::try_from(hint).expect("a hint")),
        events_received: 0,
    };
    let answer = answers.estimate("r", None, profile.typical_answer_tokens, now);
    estimate_cost(&engine, &profile, &facts, &answer)
}

/// Guards against a request that is refused, or that outweighs all others, because of absurd figures in its headers.
#[test]
fn absurd_token_counts_are_ignored_or_clamped() {
    for text in ["", "x", "-5,3", "0,3", "1e9", "NaN,1", "inf", ",5", "+4", "\u{661}"] {
        assert!(TokenUsage::try_from(text).is_err(), "{text:?}");
        assert!(LengthHint::try_from(text).is_err(), "{text:?}");
    }
    let usage = TokenUsage::try_from(" 812 , 256 ").expect("token counts");
    assert_eq!((usage.prompt_tokens, usage.max_answer_tokens), (812, Some(256)));
    let usage = TokenUsage::try_from("99999999999999999999,-1").expect("token counts");
    assert_eq!((usage.prompt_tokens, usage.max_answer_tokens), (1 << 20, None));
    let absurd = cost("99999999999999999999", Some("99999999999"), &AnswerTable::default(), at(0));
    assert!(absurd.total_ms().is_finite());
}

/// Guards against a request of unknown length that counts as a mean one, and against a hint beyond the limit of the
/// answer.
#[test]
fn unknown_and_limited_answers_are_estimated_with_care() {
    let (answers, engine) = (AnswerTable::default(), engine());
    let typical = RequestCost::typical(&engine, &engine.cost.expect("a cost profile"));
    assert!(cost("800,4096", None, &answers, at(0)).events > typical.events);
    assert!(cost("800,70", Some("4000"), &answers, at(0)).events <= 10.0);
    let (short, long) =
        (cost("800", Some("20"), &answers, at(0)), cost("800", Some("400"), &answers, at(0)));
    assert!(short.events < typical.events && typical.events < long.events);
}

/// Guards against estimates that follow a few absurd samples, never learn that hints are wrong, or outlive what they
/// were learned from.
#[test]
fn answers_are_learned_robustly() {
    let mut answers = AnswerTable::default();
    let before = cost("800", Some("50"), &answers, at(0)).events;
    for sample in 0..30 {
        let tokens = if sample % 6 == 0 { 1e12 } else { 150.0 };
        answers.record("r", None, tokens, Some(50.0), at(sample * 100));
    }
    let learned = cost("800", Some("50"), &answers, at(3_000)).events * 7.0;
    assert!((100.0..250.0).contains(&learned), "{learned}");
    let stale = cost("800", Some("50"), &answers, at(500_000)).events;
    assert!((stale - before).abs() < 1e-9, "{stale} {before}");
}

/// Guards against memory that grows with the number of routes and workspaces, and an estimate of one workspace that is
/// taken from another.
#[test]
fn learned_answers_take_bounded_memory() {
    let mut answers = AnswerTable::default();
    let (long, short) = (WorkspaceName::new("long"), WorkspaceName::new("short"));
    for key in 0..3_000_u64 {
        let workspace = WorkspaceName::new(&format!("w{key}"));
        answers.record(&format!("r{key}"), Some(&workspace), 100.0, None, at(key));
    }
    for sample in 0..40 {
        answers.record("r", Some(&long), 800.0, None, at(4_000 + sample));
        answers.record("r", Some(&short), 20.0, None, at(4_000 + sample));
    }
    let estimate = |workspace| {
        answers.estimate("r", Some(workspace), 160.0, at(5_000)).expected_tokens(None, 0.0)
    };
    assert!(estimate(&long) > 500.0 && estimate(&short) < 100.0);
    assert!(format!("{answers:?}").len() < 600_000, "too many samples are kept");
}

/// Guards against work that is left over when requests end, and against a stream beyond its estimate that counts as
/// done.
#[test]
fn remaining_work_shrinks_with_events_and_ends_with_the_request() {
    let cost = cost("1000,2048", Some("70"), &AnswerTable::default(), at(0));
    let (mut endpoint, mut request) = (EndpointWork::default(), RequestWork::new(cost));
    endpoint.add(&request);
    let whole = endpoint.left_ms();
    assert!((whole - cost.total_ms()).abs() < 1e-9);
    for event in 0..200 {
        let before = request.left_ms();
        request.record_event();
        endpoint.update(before, request.left_ms());
        assert!(event > 0 || endpoint.left_ms() <= whole - cost.prompt_ms);
        assert!(endpoint.left_ms() > 0.0);
    }
    endpoint.remove(&request);
    assert_eq!((endpoint.left_ms().to_bits(), endpoint.requests()), (0, 0));
    let typical = RequestCost::typical(&engine(), &engine().cost.expect("a cost profile"));
    assert!(total_work_ms(&endpoint, 5.0, 1, &typical) > typical.total_ms());
}

/// Guards against an engine that keeps its share for over a second after it turned slow, gets it back because time has
/// passed, or gets several probes at once.
#[test]
fn a_slow_engine_is_probed_until_its_pace_is_usual() {
    let (mut reference, mut pace) = (ServicePace::default(), EndpointPace::default());
    for gap in 0..20 {
        reference.record_gap(80, at(gap * 80));
    }
    pace.record_sent(4, at(1_000));
    pace.record_first_event(50.0, &reference, at(1_100));
    pace.record_gap(80, &reference, at(1_180));
    // The other endpoints go on, this one is silent.
    for gap in 0..8 {
        reference.record_gap(80, at(1_600 + gap * 50));
    }
    assert_eq!(pace.check_silence(&reference, at(1_950)), Some(PaceChange::Slow));
    pace.record_end(true);
    assert!(pace.is_slow() && pace.slowdown() > 2.0 && !pace.is_probe_due(0, at(1_960)));
    assert!(pace.is_probe_due(0, at(2_300)) && !pace.is_probe_due(1, at(2_300)));
    pace.record_sent(4, at(2_300));
    assert!(!pace.is_probe_due(0, at(2_400)), "one probe at a time");
    assert!(pace.is_slow() && pace.is_probe_due(0, at(60_000)), "time alone shows nothing");
    for gap in 0..20 {
        reference.record_gap(80, at(60_000 + gap * 10));
    }
    assert_eq!(pace.record_gap(80, &reference, at(60_200)), None);
    assert_eq!(pace.record_gap(90, &reference, at(60_290)), Some(PaceChange::Usual));
    assert!(!pace.is_slow());
}

/// Guards against a pause of a whole group that makes each of its ranks count as slow.
#[test]
fn a_pause_of_all_ranks_makes_none_slow() {
    let (mut reference, mut pace) = (ServicePace::default(), EndpointPace::default());
    for gap in 0..20 {
        reference.record_gap(80, at(gap * 80));
    }
    pace.record_sent(1, at(1_400));
    pace.record_first_event(50.0, &reference, at(1_520));
    assert_eq!(pace.check_silence(&reference, at(2_500)), None);
}

/// Guards against work of other instances that is lost, counted twice, or kept after its instance fell silent, and
/// against requests of builds that do not tell their work counting as none.
#[test]
fn the_work_of_other_instances_is_summed() {
    let endpoint = InstanceId::new("e");
    let mut tracker = PeerTracker::default();
    let tag = 7;
    for (port, work_ms) in [(1_u16, vec![(tag, 40)]), (2, vec![(tag, 2)]), (3, Vec::new())] {
        let address = format!("127.0.0.1:{port}").parse().expect("an address");
        let heartbeat = Heartbeat {
            about: Some(About {
                instance: endpoint.clone(),
                failure_domain: FailureDomain::new("a"),
                caller_address: address,
                processor_millicores: 0,
            }),
            incarnation: Incarnation::random(),
            sequence: 1,
            is_ready: true,
            leading: None,
            route_version: None,
            endpoints_next: lycheewood::Offset(0),
            reads: true,
            in_flight: vec![(tag, 3)],
            extension: HeartbeatExtension { work_ms, ..HeartbeatExtension::default() },
        };
        assert!(tracker.apply(address, heartbeat, at(0)));
    }
    let sums = |now| {
        let work = tracker.table(now).work_of_tag(tag);
        (work.work_ms, work.unestimated)
    };
    assert_eq!(sums(at(100)), (42, 3));
    assert_eq!(sums(at(10_000)), (0, 0));
}
