//! The running time of a process that is stopped now and then.

use lycheewood::{RunningTime, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

/// Guards against the time for which a process was stopped counting as the time for which a call got no reply.
#[test]
fn a_pause_is_not_running_time() {
    const INTERVAL_MS: u64 = 200;
    // Times of ticks, the time at which the running time is read, and the least and the greatest result, in milliseconds.
    let cases: [(&[u64], u64, u64, u64); 5] = [
        (&[200, 400, 600, 800], 1_000, 1_000, 1_000),
        // Ticks that are a little late.
        (&[210, 425, 640], 850, 850, 850),
        // Stopped from 800 ms to 4,800 ms: before and after the first tick that follows.
        (&[200, 400, 600, 800], 4_800, 800, 1_050),
        (&[200, 400, 600, 800, 4_800], 4_900, 900, 1_150),
        // Stopped twice.
        (&[200, 900, 1_100, 1_800], 2_000, 1_000, 1_150),
    ];
    for (ticks, read_at, least_ms, greatest_ms) in cases {
        let mut running = RunningTime::new(INTERVAL_MS, at(0));
        let mut last_ms = 0;
        for tick in ticks {
            running.tick(at(*tick));
            assert!(running.running_ms(at(*tick)) >= last_ms, "{ticks:?}");
            last_ms = running.running_ms(at(*tick));
        }
        let running_ms = running.running_ms(at(read_at));
        assert!((least_ms..=greatest_ms).contains(&running_ms), "{ticks:?}: {running_ms}");
    }
}
