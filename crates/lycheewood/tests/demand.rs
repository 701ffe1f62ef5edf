//! Shares of a workspace's rate limit that entries compute from the same reports.

use std::collections::BTreeMap;

use lycheewood::{
    DemandReport, DemandTable, Incarnation, RateGrant, SharePolicy, Timestamp, WorkspaceName,
};

const LIMIT_PER_S: f64 = 100.0;

fn workspace() -> WorkspaceName {
    WorkspaceName::new("north")
}

fn at(unix_ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(unix_ms)
}

/// A table that read one report of each entry at `read`, with these request rates.
fn table(demands_per_s: &[f64], read: Timestamp) -> DemandTable {
    let mut table = DemandTable::default();
    for (demand, entry) in demands_per_s.iter().zip(1..) {
        let offered = BTreeMap::from([(workspace(), *demand)]);
        let payload = DemandReport::new(Incarnation(entry), offered).to_json();
        table.apply(&payload, 60_000, read);
    }
    table
}

fn shares(table: &DemandTable, entries: u64, now: Timestamp) -> Vec<Option<f64>> {
    let policy = SharePolicy::default();
    (1..=entries)
        .map(|entry| table.share(&policy, &workspace(), LIMIT_PER_S, Incarnation(entry), now))
        .map(|grant: Option<RateGrant>| grant.map(|grant| grant.per_s))
        .collect()
}

/// Guards against entries that together admit more than the limit, and against a busy entry that is limited
/// to an even share while the other entries are idle.
#[test]
fn shares_follow_demand_within_the_limit() {
    let cases: [&[f64]; 4] = [&[90.0, 5.0], &[200.0, 200.0, 1.0], &[0.5; 16], &[1_000.0]];
    for demands in cases {
        let table = table(demands, at(0));
        let all = shares(&table, demands.len() as u64, at(1_000));
        let sum: f64 = all.iter().map(|share| share.expect("a share")).sum();
        assert!(sum <= LIMIT_PER_S + 1e-6, "{demands:?} sum to {sum}");
    }
    let busy = shares(&table(&[90.0, 5.0], at(0)), 2, at(1_000));
    assert!(busy[0] >= Some(85.0), "the busy entry gets {:?}", busy[0]);
}

/// Guards against a share that is used longer than its report is valid, for instance during a log outage.
#[test]
fn a_share_ends_with_its_report() {
    let table = table(&[90.0, 5.0], at(0));
    let policy = SharePolicy::default();
    let own = Incarnation(1);
    let grant = table.share(&policy, &workspace(), LIMIT_PER_S, own, at(1_000));
    assert_eq!(grant.map(|grant| grant.expires), Some(at(policy.grant_ms)));
    let later = table.share(&policy, &workspace(), LIMIT_PER_S, own, at(policy.grant_ms));
    assert_eq!(later, None);
}

/// Guards against an entry that uses a share which the other entries do not account for.
#[test]
fn an_entry_without_a_report_has_no_share() {
    let table = table(&[90.0], at(0));
    assert_eq!(shares(&table, 2, at(0))[1], None);
}
