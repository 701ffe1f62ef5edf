//! End-to-end tests of expert map changes, with a log, entries, rank daemons and an engine.

mod cluster;
#[path = "../support/deployment.rs"]
mod deployment;
mod faults;
mod superseded_lease;

use cluster::Cluster;

/// Guards against ranks that use different maps in one step while maps change under load.
#[test]
fn maps_change_while_steps_run() {
    let cluster = Cluster::start(2, true);
    let mut change = cluster.wait_for_commit_after(None);
    for expert in 1..4 {
        cluster.make_popular(expert);
        change = cluster.wait_for_commit_after(Some(change));
    }
    cluster.wait_until_used(change);
    assert!(
        cluster.check_maps_of_steps("no fault") >= 4,
        "fewer maps were used than were committed"
    );
    // The group has used the last map, so the daemon of rank 0 has read its commit.
    let admin = cluster.daemons[0].as_ref().expect("rank 0 runs").admin_address();
    let state: serde_json::Value =
        serde_json::from_str(&cluster.read_admin(admin, "/state")).expect("a JSON state");
    let group = &state["groups"]["groups"][0];
    assert_eq!(group["scope"], cluster.scope.as_str());
    assert!(
        group["map"]["change"].as_u64() >= Some(change.0),
        "the state shows an old map: {group}"
    );
    let metrics = cluster.read_admin(admin, "/metrics");
    for name in [
        "map_changes_total{decision=\"committed\"}",
        "weights_moved_total",
        "lease_changes_total{change=\"granted\"}",
    ] {
        let value = metrics.lines().find_map(|l| l.strip_prefix("lycheewood_")?.strip_prefix(name));
        assert!(value.is_some_and(|v| v.trim() != "0"), "{name} is missing or 0: {value:?}");
    }
}
