//! Claims: bytes of a batch, and time and memory to apply it.

use lycheewood::{
    AttemptId, ClaimBatch, ClaimEntry, ClaimKey, ClaimRecord, ClaimSettings, ClaimTable,
    Fingerprint, Incarnation, InstanceId, Offset, RequestKey, Timestamp, WorkspaceName,
};

use crate::{row, rss_kib, to_f64};

const START_MS: u64 = 1_700_000_000_000;
const SETTINGS: ClaimSettings =
    ClaimSettings { key_window_ms: 6 * 3_600_000, clock_skew_ms: 60_000, max_keys: 1 << 20 };

pub(crate) fn run() -> Vec<ClaimTable> {
    for size in [1, 8, 64] {
        row("claim_batch_bytes", size, 1, to_f64(batch(0, size).len()), "bytes");
    }
    [10_000, 40_000, 160_000].map(|claims| apply(claims, 8)).into()
}

fn batch(first: usize, size: usize) -> String {
    let now = Timestamp::from_unix_ms(START_MS + first as u64);
    let claims = (first..first + size).map(|index| {
        let key = RequestKey::generate(now);
        ClaimEntry::Claim(ClaimRecord {
            key: ClaimKey::new(&WorkspaceName::new("workspace-00001"), &key),
            attempt: AttemptId { incarnation: Incarnation::random(), sequence: index as u64 },
            endpoint: InstanceId::new("endpoint-0001"),
            endpoint_incarnation: Incarnation::random(),
            fingerprint: Fingerprint::from([7; 16]),
        })
    });
    ClaimBatch::new(claims.collect()).to_json()
}

fn apply(claims: usize, size: usize) -> ClaimTable {
    let mut table = ClaimTable::new(SETTINGS);
    let before = rss_kib();
    let mut elapsed_us = 0.0;
    for number in 0..claims / size {
        // Times only the call to `apply`; payloads are dropped so that they do not count as memory.
        let payload = batch(number * size, size);
        let appended = Timestamp::from_unix_ms(START_MS + (number * size) as u64);
        let started = std::time::Instant::now();
        table.apply(Offset(number as u64), appended, &payload);
        elapsed_us += started.elapsed().as_secs_f64() * 1e6;
    }
    assert_eq!(table.len(), claims, "each claim has a key of its own");
    row("claim_fold", size, claims, elapsed_us / to_f64(claims), "us");
    row("claim_memory", size, claims, (rss_kib() - before) * 1024.0 / to_f64(claims), "bytes");
    table
}
