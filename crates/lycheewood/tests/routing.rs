//! Routing: selection of the endpoint, the estimates behind it, and selection of the model version.

use lycheewood::{
    EndpointEstimate, FailureDomain, InstanceId, Load, Model, ModelVersion, NoEndpoint,
    RouteCandidate, RouteRequest, RoutingPolicy, TargetName, Timestamp, VersionName,
    choose_endpoint, choose_version,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const NOW: Timestamp = Timestamp::from_unix_ms(1_000_000);
const LOAD_BOUND: f64 = 1.25;

/// A runner with a fixed seed and without regression files.
fn runner() -> TestRunner {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Owned data of the [`RouteCandidate`] views.
struct Endpoint {
    id: InstanceId,
    domain: FailureDomain,
    estimate: EndpointEstimate,
    report: Option<Load>,
    cached_share: f64,
    draining: bool,
    silent: bool,
    reserved: bool,
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: InstanceId::new(&format!("endpoint-{index}")),
        domain: FailureDomain::new(&format!("domain-{}", index % 3)),
        estimate: EndpointEstimate::default(),
        report: None,
        cached_share: 0.0,
        draining: false,
        silent: false,
        reserved: false,
    }
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

fn choose(
    endpoints: &[Endpoint],
    request: &RouteRequest<'_>,
    random: u64,
) -> Result<usize, NoEndpoint> {
    let candidates: Vec<RouteCandidate<'_>> = endpoints
        .iter()
        .map(|e| RouteCandidate {
            endpoint: &e.id,
            failure_domain: &e.domain,
            estimate: &e.estimate,
            report: e.report.as_ref(),
            cached_share: e.cached_share,
            draining: e.draining,
            silent: e.silent,
            reserved: e.reserved,
        })
        .collect();
    let policy = RoutingPolicy { load_bound: LOAD_BOUND, ..RoutingPolicy::default() };
    choose_endpoint(&policy, &candidates, request, NOW, random)
}

fn report(running: u32, age_ms: u64) -> Load {
    let reported = Timestamp::from_unix_ms(NOW.unix_ms() - age_ms);
    Load { running, queued: 0, capacity: 8, reported }
}

/// How often each endpoint is chosen in 1,000 requests without a prefix.
fn counts(endpoints: &[Endpoint]) -> Vec<u32> {
    let mut counts = vec![0; endpoints.len()];
    for word in 0..1_000_u64 {
        let random = word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        counts[choose(endpoints, &RouteRequest::default(), random).unwrap()] += 1;
    }
    counts
}

/// Guards against routing to an endpoint that is draining, unreachable or reserved for a suspect request.
#[test]
fn unusable_endpoints_are_never_chosen() {
    let flags = prop::collection::vec((any::<[bool; 3]>(), 0_u32..20, 0_u64..6_000), 1..12);
    let input = (flags, any::<Option<u64>>(), any::<u64>(), any::<bool>());
    runner()
        .run(&input, |(flags, prefix, random, run_alone)| {
            let mut all = endpoints(flags.len());
            for (e, ([draining, silent, reserved], running, age_ms)) in all.iter_mut().zip(flags) {
                (e.draining, e.silent, e.reserved) = (draining, silent, reserved);
                e.report = Some(report(running, age_ms));
                e.cached_share = 1.0;
            }
            let usable = |e: &Endpoint| !e.draining && !e.silent && !e.reserved;
            match choose(&all, &RouteRequest { prefix, run_alone, tried: &[] }, random) {
                Ok(index) => prop_assert!(usable(&all[index])),
                Err(NoEndpoint::NoneLive) => prop_assert!(!all.iter().any(usable)),
                Err(NoEndpoint::NoneIdle) => prop_assert!(run_alone),
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a popular prefix overloading the endpoint that caches it.
#[test]
fn prefix_is_followed_only_below_the_load_bound() {
    let loads = prop::collection::vec(0_u32..40, 2..12);
    runner()
        .run(&(loads, any::<u64>(), any::<u64>()), |(loads, prefix, random)| {
            let mut all = endpoints(loads.len());
            for (e, running) in all.iter_mut().zip(&loads) {
                e.report = Some(report(*running, 0));
            }
            all[0].cached_share = 1.0;
            let request = RouteRequest { prefix: Some(prefix), ..RouteRequest::default() };
            let chosen = choose(&all, &request, random).unwrap();
            let count = u32::try_from(loads.len()).unwrap();
            let mean = f64::from(loads.iter().sum::<u32>()) / f64::from(count);
            let below = |load: u32| f64::from(load) < LOAD_BOUND * mean + 1.0;
            prop_assert!(below(loads[chosen]), "load {} at mean {mean}", loads[chosen]);
            prop_assert_eq!(chosen == 0, below(loads[0]) || chosen == 0);
            Ok(())
        })
        .unwrap();
}

/// Guards against an entry that sends too many of its own requests to one endpoint while reports are outdated.
#[test]
fn own_requests_keep_the_bound_when_reports_are_old() {
    let mut all = endpoints(4);
    for e in &mut all {
        e.report = Some(report(30, 5_000));
    }
    all[0].cached_share = 1.0;
    let mut most = 0;
    for sent in 0..40_u64 {
        let request = RouteRequest { prefix: Some(9), ..RouteRequest::default() };
        let chosen = choose(&all, &request, sent.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap();
        all[chosen].estimate.on_start(NOW);
        most = most.max(all[chosen].estimate.in_flight().count());
    }
    // 40 requests over 4 endpoints, times the bound of 1.25, rounded up.
    assert!(most <= 13, "{most} of 40 requests on one of 4 endpoints");
}

/// Guards against spreading requests with equal prefixes over endpoints although all are idle.
#[test]
fn entries_agree_on_the_home_of_a_prefix() {
    let all = endpoints(12);
    for prefix in 0..50 {
        let request = RouteRequest { prefix: Some(prefix), ..RouteRequest::default() };
        let first = choose(&all, &request, 1).unwrap();
        assert!((2..20).all(|random| choose(&all, &request, random) == Ok(first)));
    }
}

/// Guards against an endpoint that attracts requests because it fails fast.
#[test]
fn endpoint_that_answers_errors_fast_gets_less() {
    let mut all = endpoints(4);
    for e in &mut all {
        e.estimate.on_start(NOW);
        e.estimate.on_first_token(NOW, 200);
        e.estimate.on_end(NOW);
    }
    for _ in 0..3 {
        all[1].estimate.on_start(NOW);
        all[1].estimate.on_error(NOW, 2, 1_900, false);
    }
    let counts = counts(&all);
    assert!(counts[1] < 50, "{counts:?}");
    let request = RouteRequest { prefix: Some(3), ..RouteRequest::default() };
    all[1].cached_share = 1.0;
    assert!((0..50).all(|random| choose(&all, &request, random) != Ok(1)));
}

/// Guards against an endpoint that looks idle because it returns neither responses nor errors.
#[test]
fn endpoint_that_owes_answers_gets_less() {
    let mut all = endpoints(4);
    let before = Timestamp::from_unix_ms(NOW.unix_ms() - 1_500);
    for e in &mut all {
        e.estimate.on_start(before);
        if e.id.as_str() != "endpoint-2" {
            e.estimate.on_first_token(before, 100);
        }
    }
    let counts = counts(&all);
    assert!(counts[2] < 50, "{counts:?}");
}

/// Guards against a retry on the endpoint that failed the previous attempt.
#[test]
fn tried_endpoints_come_last() {
    let mut all = endpoints(3);
    let ids: Vec<InstanceId> = all.iter().map(|e| e.id.clone()).collect();
    let request = RouteRequest { prefix: Some(1), run_alone: false, tried: &[&ids[0], &ids[2]] };
    assert!((0..50).all(|random| choose(&all, &request, random) == Ok(1)));
    all[1].silent = true;
    assert!(choose(&all, &request, 5).is_ok());
}

/// Guards against running a suspect request together with others.
#[test]
fn suspect_runs_only_on_an_idle_endpoint() {
    let mut all = endpoints(3);
    all[0].estimate.on_start(NOW);
    all[1].report = Some(report(1, 100));
    let request = RouteRequest { run_alone: true, ..RouteRequest::default() };
    assert!((0..50).all(|random| choose(&all, &request, random) == Ok(2)));
    all[2].report = Some(report(1, 100));
    assert_eq!(choose(&all, &request, 1), Err(NoEndpoint::NoneIdle));
}

/// Guards against a herd effect: all entries choosing the endpoint that looked idle seconds ago.
#[test]
fn old_report_of_an_idle_endpoint_draws_no_herd() {
    let share = |age_ms: u64| {
        let mut all = endpoints(6);
        for (index, e) in all.iter_mut().enumerate() {
            e.report = Some(report(if index == 0 { 0 } else { 12 }, age_ms));
        }
        counts(&all)[0]
    };
    // The endpoint is among the two random candidates in a third of the choices; an even share is 167.
    assert!(share(5_000) <= 350);
    assert!(share(100) > 250);
}

/// Guards against selecting a version that is not loaded and against ignoring the weights.
#[test]
fn versions_follow_weights_among_loaded_ones() {
    let version = |name: &str, weight| ModelVersion { name: VersionName::new(name), weight };
    let versions = vec![version("a", 3), version("b", 1), version("c", 6), version("d", 0)];
    let model = Model { name: TargetName::new("m"), versions, priority: 5 };
    let choose = |loaded: &[&str], random: u64| {
        let chosen = choose_version(&model, |v| loaded.contains(&v.as_str()), random);
        chosen.map(|v| v.name.as_str())
    };
    let words: Vec<u64> = (0..1_000).map(|i| i * (u64::MAX / 1_000) + u64::MAX / 2_000).collect();
    let count =
        |loaded: &[&str], name| words.iter().filter(|w| choose(loaded, **w) == Some(name)).count();
    assert_eq!(count(&["a", "b", "d"], "a"), 750);
    assert_eq!(count(&["a", "b", "d"], "d"), 0);
    assert_eq!(count(&["a", "b", "c", "d"], "c"), 600);
    assert_eq!(choose(&["d"], 1), None);
    assert_eq!(choose(&[], 1), None);
}
