//! Rate limits, admission control and retries.

use lycheewood::{
    AdmissionPolicy, AdmissionRequest, AdmissionState, Brownout, EntryDemand, NotRunCode,
    RateGrant, RateLimit, RetryBudget, RetryPolicy, SharePolicy, TargetLoad, Timestamp,
    TokenBucket, Workspace, WorkspaceName, admit, allocate_shares, backoff_ms, entry_rate,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const NOW: Timestamp = Timestamp::from_unix_ms(1_000_000);

/// A runner with a fixed seed and without regression files.
fn runner() -> TestRunner {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

fn workspace(name: &str, weight: u32) -> Workspace {
    Workspace {
        name: WorkspaceName::new(name),
        token_digests: Vec::new(),
        rate_per_s: 100.0,
        burst: 20,
        weight,
        max_priority: 9,
    }
}

/// Guards against a bucket that admits more requests in some interval than its rate and burst allow.
#[test]
fn bucket_never_exceeds_rate_and_burst() {
    let gaps = prop::collection::vec(0_u64..400, 1..40);
    runner()
        .run(&(0.1_f64..100.0, 1.0_f64..30.0, gaps), |(per_s, burst, gaps)| {
            let rate = RateLimit { per_s, burst };
            let mut bucket = TokenBucket::full(rate, NOW);
            let mut now = NOW;
            let mut admitted: Vec<Timestamp> = Vec::new();
            for gap in gaps {
                now = now.plus_ms(gap);
                while bucket.try_acquire(rate, now).is_ok() {
                    admitted.push(now);
                }
            }
            for (first, start) in admitted.iter().enumerate() {
                let mut count = 0.0;
                for end in &admitted[first..] {
                    count += 1.0;
                    let span = std::time::Duration::from_millis(end.ms_since(*start));
                    prop_assert!(count <= burst + per_s * span.as_secs_f64() + 1e-6);
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a retry delay that is too short, so that the caller would be refused again.
#[test]
fn token_is_there_after_the_stated_wait() {
    for per_s in [0.3, 1.0, 7.0, 333.0] {
        let rate = RateLimit { per_s, burst: 1.0 };
        let mut bucket = TokenBucket::full(rate, NOW);
        assert_eq!(bucket.try_acquire(rate, NOW), Ok(()));
        let wait_ms = bucket.try_acquire(rate, NOW).unwrap_err();
        assert!(bucket.try_acquire(rate, NOW.plus_ms(wait_ms - 1)).is_err());
        assert_eq!(bucket.try_acquire(rate, NOW.plus_ms(wait_ms)), Ok(()));
    }
}

fn demands() -> impl Strategy<Value = Vec<EntryDemand>> {
    let entry = (0.0_f64..300.0, any::<bool>(), 0.0_f64..5.0, any::<bool>());
    prop::collection::vec(entry, 1..20).prop_map(|entries| {
        let count = u32::try_from(entries.len()).unwrap();
        let entry = |(demand_per_s, reachable, share, expired): (f64, bool, f64, bool)| {
            let expires = if expired { NOW } else { NOW.plus_ms(1_000) };
            // The grants of one allocation sum to at most the limit of 100.
            let last_grant = Some(RateGrant { per_s: share * 20.0 / f64::from(count), expires });
            EntryDemand { demand_per_s, last_grant, reachable }
        };
        entries.into_iter().map(entry).collect()
    })
}

/// Guards against shares whose sum exceeds the limit and against an entry without any share.
#[test]
fn shares_sum_to_at_most_the_limit_and_keep_the_floor() {
    let policy = SharePolicy::default();
    runner()
        .run(&demands(), |entries| {
            let grants = allocate_shares(&policy, 100.0, &entries, NOW);
            let granted: f64 = grants.iter().flatten().map(|g| g.per_s).sum();
            let unreachable = entries.iter().filter(|e| !e.reachable);
            let unexpired: f64 = unreachable
                .filter_map(|e| e.last_grant)
                .filter(|g| NOW < g.expires)
                .map(|g| g.per_s)
                .sum();
            prop_assert!(granted + unexpired <= 100.0 + 1e-6);
            let reachable = u32::try_from(grants.iter().flatten().count()).unwrap();
            let floor = (100.0 - unexpired) / f64::from(reachable.max(1)) * policy.floor;
            prop_assert!(grants.iter().flatten().all(|g| g.per_s >= floor - 1e-6));
            Ok(())
        })
        .unwrap();
}

/// Guards against exceeding the limit by more than the documented bound while entries are partitioned from
/// the allocator.
#[test]
fn overshoot_while_parted_is_bounded() {
    let workspace = workspace("w", 1);
    for partitioned in 0..=8_u32 {
        let entry = |i: u32| EntryDemand {
            demand_per_s: 90.0,
            last_grant: Some(RateGrant { per_s: 12.5, expires: NOW }),
            reachable: i >= partitioned,
        };
        let entries: Vec<EntryDemand> = (0..8).map(entry).collect();
        let grants = allocate_shares(&SharePolicy::default(), 100.0, &entries, NOW);
        let rates = grants.iter().map(|g| entry_rate(&workspace, g.as_ref(), 8, NOW).per_s);
        let sum: f64 = rates.sum();
        assert!(sum <= 100.0 + 100.0 * f64::from(partitioned) / 8.0 + 1e-6, "{partitioned}: {sum}");
        if partitioned == 8 {
            assert!(sum <= 100.0 + 1e-6, "all partitioned: {sum}");
        }
    }
}

/// Guards against the use of an expired grant.
#[test]
fn expired_grant_falls_back_to_an_even_part() {
    let workspace = workspace("w", 1);
    let grant = RateGrant { per_s: 60.0, expires: NOW.plus_ms(10) };
    let rate = |now| entry_rate(&workspace, Some(&grant), 4, now);
    assert_eq!(rate(NOW), RateLimit { per_s: 60.0, burst: 12.0 });
    assert_eq!(rate(NOW.plus_ms(10)), RateLimit { per_s: 25.0, burst: 5.0 });
}

const LOAD: TargetLoad =
    TargetLoad { capacity: 8, reported_requests: 0, reported_at: NOW, entries: 1 };

fn request(workspace: &Workspace, priority: u8, deadline_ms: u64) -> AdmissionRequest<'_> {
    AdmissionRequest {
        workspace,
        mean_weight: 1.0,
        priority,
        first_sent: NOW,
        deadline: NOW.plus_ms(deadline_ms),
    }
}

/// Admission state with a mean slot holding time of 500 ms and `count` requests of `name` in flight.
fn state(name: &str, count: u32) -> AdmissionState {
    let policy = AdmissionPolicy::default();
    let mut state = AdmissionState::default();
    let workspace = workspace(name, 1);
    let first = admit(&policy, &state, &LOAD, &request(&workspace, 5, 9_000), NOW, 0).unwrap();
    state.on_admitted(&workspace.name, NOW);
    state.on_end(&workspace.name, &first, 500, true, NOW);
    for _ in 0..count {
        state.on_admitted(&workspace.name, NOW);
    }
    state
}

/// Guards against admitting a request that cannot meet its deadline, and against a refusal without a usable
/// retry delay.
#[test]
fn unreachable_deadline_is_refused_early_with_a_wait() {
    let policy = AdmissionPolicy::default();
    let small = workspace("small", 1);
    let state = state("large", 16);
    let admit =
        |deadline_ms| admit(&policy, &state, &LOAD, &request(&small, 5, deadline_ms), NOW, 1 << 63);
    let refused = admit(800).unwrap_err();
    assert_eq!(refused.code, NotRunCode::DeadlineUnreachable);
    assert!(refused.retry_after_ms >= 50);
    assert!(admit(5_000).is_ok());
    assert_eq!(admit(0).unwrap_err().code, NotRunCode::DeadlineUnreachable);
}

/// Guards against an entry that refuses every request for good after a slow one: its mean slot holding time changes only
/// when a request completes.
#[test]
fn an_idle_entry_admits_a_request_although_earlier_ones_were_slow() {
    let policy = AdmissionPolicy::default();
    let workspace = workspace("w", 1);
    let mut state = AdmissionState::default();
    let first = admit(&policy, &state, &LOAD, &request(&workspace, 5, 4_000), NOW, 0).unwrap();
    state.on_admitted(&workspace.name, NOW);
    state.on_end(&workspace.name, &first, 3_000, true, NOW);
    // Past the time over which changes of the load are averaged.
    let now = NOW.plus_ms(10_000);
    let ask = AdmissionRequest { first_sent: now, ..request(&workspace, 5, 14_000) };
    assert!(admit(&policy, &state, &LOAD, &ask, now, 0).is_ok());
    // One such request at a time finds out whether the endpoints are faster now.
    state.on_admitted(&workspace.name, now);
    let refused = admit(&policy, &state, &LOAD, &ask, now, 0).unwrap_err();
    assert_eq!(refused.code, NotRunCode::DeadlineUnreachable);
}

/// Guards against an entry that admits everything because it starts during a load peak.
#[test]
fn entry_without_measurements_bounds_what_it_admits() {
    let policy = AdmissionPolicy::default();
    let workspace = workspace("w", 1);
    let mut state = AdmissionState::default();
    let mut admitted = 0;
    for _ in 0..200 {
        if admit(&policy, &state, &LOAD, &request(&workspace, 5, 60_000), NOW, 0).is_ok() {
            state.on_admitted(&workspace.name, NOW);
            admitted += 1;
        }
    }
    // 8 slots and as many queued requests, because queue_ms equals the assumed slot holding time.
    assert!((8..=16).contains(&admitted), "{admitted}");
}

/// Guards against a large workspace that fills the queue and shuts out a small one.
#[test]
fn small_workspace_finds_room_beside_a_large_one() {
    let policy = AdmissionPolicy::default();
    let (large, small) = (workspace("large", 1), workspace("small", 1));
    let state = state("large", 14);
    let admit = |w: &Workspace| admit(&policy, &state, &LOAD, &request(w, 5, 9_000), NOW, 0);
    assert_eq!(admit(&large).unwrap_err().code, NotRunCode::Overloaded);
    assert!(admit(&small).is_ok());
}

/// Guards against starvation of low priorities during a long overload.
#[test]
fn ageing_ends_starvation_under_brownout() {
    let policy = AdmissionPolicy::default();
    let low = workspace("low", 1);
    let load = TargetLoad { capacity: 1, ..LOAD };
    let mut state = state("low", 1);
    for _ in 0..40 {
        state.on_offered(&policy, &load, NOW);
    }
    assert_eq!(state.brownout(), Brownout::ShedLow);
    let wide = TargetLoad { capacity: 100, ..LOAD };
    let admit = |waited_ms: u64, priority| {
        let first_sent = Timestamp::from_unix_ms(NOW.unix_ms() - waited_ms);
        let request = AdmissionRequest { first_sent, ..request(&low, priority, 60_000) };
        admit(&policy, &state, &wide, &request, NOW, 0)
    };
    let refused = admit(0, 0).unwrap_err();
    assert_eq!(refused.code, NotRunCode::Overloaded);
    for priority in 0..=3_u8 {
        let waited_ms = policy.ageing_ms * u64::from(4 - priority);
        assert!(admit(waited_ms - 1, priority).is_err());
        assert!(admit(waited_ms, priority).is_ok());
    }
    assert!(admit(0, 4).is_ok());
}

/// Guards against brownout steps in the wrong order and against flapping at a threshold.
#[test]
fn brownout_rises_in_steps_and_falls_with_hysteresis() {
    let policy = AdmissionPolicy::default();
    let mut state = state("w", 0);
    let mut steps = vec![Brownout::Off];
    // Each request adds 0.5 requests/s to the measured demand; each holds the only slot for 500 ms.
    let load = TargetLoad { capacity: 1, ..LOAD };
    for _ in 0..12 {
        state.on_offered(&policy, &load, NOW);
        if steps.last() != Some(&state.brownout()) {
            steps.push(state.brownout());
        }
    }
    let all = [Brownout::Off, Brownout::NoRetries, Brownout::ShedLowest, Brownout::ShedLow];
    assert_eq!(steps, all);
    state.on_offered(&policy, &load, NOW.plus_ms(400));
    assert_eq!(state.brownout(), Brownout::ShedLow);
    state.on_offered(&policy, &load, NOW.plus_ms(20_000));
    assert_eq!(state.brownout(), Brownout::Off);
}

/// Guards against retry storms: the number of retries is bounded by the reserve plus a share of the requests.
#[test]
fn retry_budget_bounds_the_retries() {
    let policy = RetryPolicy::default();
    let steps = prop::collection::vec((any::<bool>(), any::<bool>(), any::<u64>()), 1..300);
    runner()
        .run(&steps, |steps| {
            let mut budget = RetryBudget::full(&policy);
            let (mut requests, mut retries) = (0.0, 0.0);
            for (is_request, is_caller_retry, random) in steps {
                if is_request {
                    budget.on_request(&policy, is_caller_retry);
                    requests += if is_caller_retry { 0.0 } else { 1.0 };
                } else if budget.try_retry(&policy, 1, 60_000, random).is_some() {
                    retries += 1.0;
                }
                prop_assert!(retries <= policy.reserve + policy.share * requests + 1e-6);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against delays beyond the maximum, retries after the deadline and unlimited attempts.
#[test]
fn backoff_is_bounded_and_stops() {
    let policy = RetryPolicy::default();
    runner()
        .run(&(1_u32..100, any::<u64>()), |(attempts, random)| {
            let delay_ms = backoff_ms(&policy, attempts, random);
            prop_assert!(delay_ms > 0 && delay_ms <= policy.max_ms);
            let mut budget = RetryBudget::full(&policy);
            prop_assert_eq!(budget.try_retry(&policy, attempts, delay_ms, random), None);
            prop_assert_eq!(budget.try_retry(&policy, policy.max_attempts, 9_000, random), None);
            Ok(())
        })
        .unwrap();
    assert!(backoff_ms(&policy, 1, 0) < backoff_ms(&policy, 3, 0));
}
