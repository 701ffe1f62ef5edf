//! Outages of the endpoint list, and other times in which nobody reads it.

use lycheewood::{ListOutage, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

/// Guards against an instance that keeps removed endpoints because another one reports an outage that it alone had, and
/// against one that loses the endpoints whose entries expired in an outage for all.
#[test]
fn an_outage_is_one_for_all_readers() {
    // Time in which no instance reads the list, and the grace that is left at 10,000 ms, in milliseconds.
    let cases = [
        ("read always", 0..0, 0),
        // A reader that pauses or is cut off: another one takes over.
        ("taken over", 9_000..9_500, 0),
        ("outage", 7_000..9_000, 500),
        ("long ago", 1_000..8_000, 0),
        ("lasting", 8_000..20_000, 1_500),
        ("just started", 0..20_000, 0),
    ];
    for (case, unread, grace_ms) in cases {
        let mut outage = ListOutage::default();
        for ms in (0..=10_000).step_by(100) {
            outage.update(!unread.contains(&ms), at(ms));
        }
        assert_eq!(outage.grace_left_ms(at(10_000)), grace_ms, "{case}");
    }
}
