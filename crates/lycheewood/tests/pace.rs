//! Batches that keep streams on time while the demand on experts keeps shifting.

use lycheewood::{
    CostProfile, EngineProfile, ExpectedShift, ImbalanceTracker, Timestamp, max_batch,
    planned_batch,
};

/// Gaps of a group with four places for every five experts, whose maps settle at 1.35.
const ENGINE: EngineProfile = EngineProfile {
    slots: 10,
    step_ms: 4.84,
    per_request_ms: 0.435,
    tokens_per_event: 7,
    prefill_tokens_per_s: 74_800.0,
    typical_prompt_tokens: 868.0,
    cost: Some(CostProfile {
        context_ms_per_k: 0.0132,
        pairs_ms_per_m: 0.232,
        chunk_tokens: Some(512.0),
        typical_answer_tokens: 158.0,
    }),
    expert_share: 0.85,
};
const GAP_MS: u64 = 120;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

fn shift(peak_percent: u32, interval_ms: u32) -> ExpectedShift {
    ExpectedShift { group: "g".to_owned(), peak_percent, interval_ms }
}

/// The longest gap of a pass in which each rank runs `batch` requests, with copies of weights.
fn gap_ms(batch: f64, imbalance: f64) -> f64 {
    let slowest = 0.15 + 0.85 * imbalance;
    let prompts = 868.0 / 74.8;
    let tokens = 7.0 * (4.84 + 0.435 * batch * slowest);
    1.15 * (tokens + prompts * (0.15 * 1.5 + 0.85 * imbalance * batch / (158.0 / 7.0)))
}

/// Guards against a batch that fits the settled map only: after each shift of demand all running streams were late,
/// although their first events were on time.
#[test]
fn streams_stay_on_time_while_demand_keeps_shifting() {
    let limit = max_batch(&ENGINE, GAP_MS);
    let batch = planned_batch(&ENGINE, GAP_MS, limit, &shift(330, 4_000));
    assert!(gap_ms(f64::from(limit), 3.3) > 120.0, "the former batch is late after a shift");
    assert!(gap_ms(batch, 3.3) <= 120.5, "{batch}");
    assert!(batch >= 5.0, "{batch}");
}

/// Guards against giving up a part of the capacity where it does not pay: shifts are rare, a shift hardly matters, no
/// batch is on time during a shift, or the length of answers is not known.
#[test]
fn the_batch_stays_where_a_smaller_one_serves_callers_worse() {
    let limit = max_batch(&ENGINE, GAP_MS);
    let planned = |engine: &EngineProfile, shift| planned_batch(engine, GAP_MS, limit, &shift);
    let same = f64::from(limit);
    assert!((planned(&ENGINE, shift(330, 29_000)) - same).abs() < 1e-9);
    assert!((planned(&ENGINE, shift(160, 4_000)) - same).abs() < 1e-9);
    assert!((planned(&ENGINE, shift(2_000, 4_000)) - same).abs() < 1e-9);
    let unknown = EngineProfile { cost: None, ..ENGINE };
    assert!((planned(&unknown, shift(330, 4_000)) - same).abs() < 1e-9);
}

/// Records a settled map, and a shift every 4 s that lasts 400 ms and rises in two readings.
fn shifts(tracker: &mut ImbalanceTracker, count: u64) -> u64 {
    let mut now_ms = 0;
    for _ in 0..count {
        for reading in 0..40 {
            let imbalance = match reading {
                10 => 2.4,
                11..=13 => 3.4,
                14..=18 => 1.7,
                _ => 1.35,
            };
            tracker.record(imbalance, at(now_ms));
            now_ms += 100;
        }
    }
    now_ms
}

/// Guards against shifts that are counted twice because the estimate of demand follows in steps, and against planning
/// for a single one.
#[test]
fn shifts_are_expected_after_they_have_come_twice() {
    let mut tracker = ImbalanceTracker::default();
    let now_ms = shifts(&mut tracker, 1);
    assert_eq!(tracker.expected_shift("g", at(now_ms)), None);
    let mut tracker = ImbalanceTracker::default();
    let now_ms = shifts(&mut tracker, 3);
    assert_eq!(tracker.expected_shift("g", at(now_ms)), Some(shift(340, 4_000)));
}

/// Guards against a smaller batch long after demand has become steady, and against drift that is taken for a shift.
#[test]
fn steady_demand_is_planned_for_without_shifts() {
    let mut tracker = ImbalanceTracker::default();
    let now_ms = shifts(&mut tracker, 3);
    for reading in 0..140 {
        tracker.record(1.35, at(now_ms + reading * 100));
    }
    assert_eq!(tracker.expected_shift("g", at(now_ms + 14_000)), None);
    let mut tracker = ImbalanceTracker::default();
    for reading in 0..200_u32 {
        tracker.record(1.3 + f64::from(reading % 4) * 0.1, at(u64::from(reading) * 100));
    }
    assert_eq!(tracker.expected_shift("g", at(20_000)), None);
}
