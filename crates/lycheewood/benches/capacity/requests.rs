//! What one request costs in the decisions: routing by candidates. Placement by size of a group.

use lycheewood::{
    ChangeCosts, EndpointEstimate, ExpertMap, FailureDomain, InstanceId, Load, LoadForecast,
    LoadReport, Objective, PlacementPolicy, PlacementView, RouteCandidate, RouteRequest,
    RoutingPolicy, Timestamp, choose_endpoint, decide_placement,
};

use crate::{time, to_f64};

const NOW: Timestamp = Timestamp::from_unix_ms(1_700_000_000_000);

pub(crate) fn run() {
    for candidates in [15, 100, 1_000, 3_700] {
        route(candidates);
    }
    for layers in [15, 30, 61] {
        place(layers);
    }
}

fn route(count: usize) {
    let ids: Vec<InstanceId> =
        (0..count).map(|i| InstanceId::new(&format!("endpoint-{i:04}"))).collect();
    let domain = FailureDomain::new("fd-1");
    let estimate = EndpointEstimate::default();
    let load = Load { running: 2, queued: 0, capacity: 8, reported: NOW };
    let candidates: Vec<RouteCandidate<'_>> = ids
        .iter()
        .map(|endpoint| RouteCandidate {
            endpoint,
            failure_domain: &domain,
            estimate: &estimate,
            report: Some(&load),
            cached_share: 0.0,
            draining: false,
            silent: false,
            reserved: false,
        })
        .collect();
    let policy = RoutingPolicy::default();
    for (what, prefix) in [("route", None), ("route_with_prefix", Some(17))] {
        let request = RouteRequest { prefix, run_alone: false, tried: &[] };
        time(what, count, (100_000 / count).clamp(2, 1_000), |index| {
            let random = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            choose_endpoint(&policy, &candidates, &request, NOW, random)
        });
    }
}

/// One decision for a group of 32 ranks with 256 experts in each layer.
fn place(layers: usize) {
    const RANKS: usize = 32;
    const EXPERTS: usize = 256;
    const PERIOD_MS: u64 = 5_000;
    let map = ExpertMap::round_robin(RANKS, EXPERTS / RANKS + 1, EXPERTS, layers);
    let speeds = vec![1.0; RANKS];
    let mut forecast = LoadForecast::new();
    // Popularity falls with the rank of the expert and drifts between the reports.
    for period in 0..6 {
        let layer = |l: usize| -> Vec<f64> {
            (0..EXPERTS).map(|e| 1e5 / to_f64(1 + (e + l + period) % EXPERTS)).collect()
        };
        let tokens: Vec<Vec<f64>> = (0..layers).map(layer).collect();
        let ended = Timestamp::from_unix_ms(NOW.unix_ms() + period as u64 * PERIOD_MS);
        forecast.observe(&LoadReport { ended, tokens: &tokens, speeds: &speeds });
    }
    let policy =
        PlacementPolicy { objective: Objective::Skew, max_moves: 64, min_interval_ms: 30_000 };
    let costs = ChangeCosts { load_ms: 5.0, stall_ms: 150.0, horizon_ms: 300_000.0 };
    let now = Timestamp::from_unix_ms(NOW.unix_ms() + 6 * PERIOD_MS);
    let view = PlacementView {
        now,
        map: &map,
        forecast: &forecast,
        policy: &policy,
        costs: &costs,
        last_changed: None,
    };
    time("placement_decision", layers, 1, |_| decide_placement(&view));
}
