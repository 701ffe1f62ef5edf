//! Decisions under overload: batches that follow the pace of a group, queued requests, and refusals.

#[path = "support/engine_profile.rs"]
mod engine_profile;

use engine_profile::ENGINE;
use lycheewood::{
    GapAverage, GroupPace, RefusalCause, ResponsePart, Timestamp, come_back_ms, endpoint_batch,
    may_be_queued, paced_batch, startup_wait_ms,
};

const GAP_MS: u64 = 200;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn batch(pace: GroupPace) -> f64 {
    paced_batch(&ENGINE, GAP_MS, 6, &pace)
}

/// Guards against batches at which every event gap is a little too long: on the large site gaps of 221 ms for a target
/// of 200 made all responses late for 20 s, while the first events came in time.
#[test]
fn a_batch_shrinks_until_gaps_fit() {
    let pace = GroupPace { gap_ms: 235.0, batch: 6.0, slowdown: 1.0 };
    let smaller = batch(pace);
    assert!((3.0..5.0).contains(&smaller), "{smaller}");
    // At the smaller batch the gap is within the target.
    let gap_ms = 27.3 + (235.0 - 27.3) / 6.0 * smaller;
    assert!(gap_ms < 200.0, "{gap_ms}");
    // A pace that allows a larger batch does not exceed the limit.
    let fast = GroupPace { gap_ms: 80.0, batch: 3.0, slowdown: 1.0 };
    assert!((batch(fast) - 6.0).abs() < 1e-9);
}

/// Guards against small batches where they bring nothing: a rank so slow that no batch meets the target must not
/// cost throughput as well.
#[test]
fn a_batch_stays_where_no_batch_is_on_time() {
    let slow = GroupPace { gap_ms: 400.0, batch: 6.0, slowdown: 12.0 };
    assert!((batch(slow) - 6.0).abs() < 1e-9);
    // One gap of a second, as when a group is held, must not lead to a batch below one.
    let held = GroupPace { gap_ms: 1_000.0, batch: 2.0, slowdown: 1.0 };
    assert!((batch(held) - 6.0).abs() < 1e-9);
}

/// Guards against limits from one or two old gaps.
#[test]
fn a_mean_gap_needs_recent_gaps() {
    let mut gaps = GapAverage::default();
    assert_eq!(gaps.mean_ms(at(0)), None);
    gaps.record(100, at(0));
    assert_eq!(gaps.mean_ms(at(0)), None);
    gaps.record(200, at(0));
    gaps.record(300, at(0));
    let mean = gaps.mean_ms(at(0)).expect("three gaps");
    assert!((mean - 200.0).abs() < 1e-9);
    assert_eq!(gaps.mean_ms(at(5_000)), None);
}

/// Guards against steps in the batch of a group: with 4.5, half of the ranks run 5 requests, the others 4.
#[test]
fn ranks_share_a_fraction_of_a_batch() {
    let batches = (0..1_000_u64).map(|n| endpoint_batch(4.5, n << 54));
    let sum: u32 = batches.sum();
    assert!((4_400..4_600).contains(&sum), "{sum}");
    assert_eq!((endpoint_batch(0.2, 0), endpoint_batch(6.0, u64::MAX)), (1, 6));
}

/// Guards against callers that are refused together and come back together.
#[test]
fn refused_callers_come_back_at_different_times() {
    for (cause, least_ms) in [(RefusalCause::Full, 1_000), (RefusalCause::Starting, 2_000)] {
        let mut times: Vec<u64> = (0..16_u64).map(|n| come_back_ms(cause, n << 60)).collect();
        assert!(times.iter().all(|ms| (least_ms..=least_ms + 1_000).contains(ms)), "{times:?}");
        times.dedup();
        assert_eq!(times.len(), 16);
    }
}

/// Guards against moving requests from one full endpoint to the next under overload: each move loses the place in the
/// queue, and after the last one the caller got a 502.
#[test]
fn a_request_that_may_be_queued_is_not_stalled() {
    assert!(may_be_queued(ResponsePart::Head, 7, 6));
    assert!(!may_be_queued(ResponsePart::Head, 6, 6));
    assert!(!may_be_queued(ResponsePart::Event, 7, 6));
}

/// Guards against holding requests at an instance that has started for longer than their callers wait.
#[test]
fn requests_wait_at_a_starting_instance_for_part_of_their_time() {
    assert_eq!(startup_wait_ms(None), 1_000);
    assert_eq!(startup_wait_ms(Some(8_000)), 1_000);
    assert_eq!(startup_wait_ms(Some(1_500)), 375);
}
