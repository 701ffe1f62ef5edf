//! Ranks: lock-step, grants, maps and fencing numbers.

use serde_json::{Value, json};
use stand_ins::engine::{Engine, EngineSettings};

use crate::client::call;

fn start(checks_fencing_numbers: bool) -> Engine {
    let settings = EngineSettings { ranks: 3, checks_fencing_numbers, ..EngineSettings::default() };
    Engine::start(settings).unwrap()
}

async fn tell(engine: &Engine, rank: usize, action: &str, body: Value) -> u16 {
    let path = format!("/ranks/{rank}/{action}");
    call(engine.address(), "POST", &path, &body.to_string()).await.unwrap().0
}

/// Guards against a rank that runs a step that it, or another rank of its group, was not granted.
#[tokio::test]
async fn no_rank_runs_past_the_lowest_grant() {
    let engine = start(true);
    for (rank, until_step) in [9, 4, 7].into_iter().enumerate() {
        assert_eq!(tell(&engine, rank, "grant", json!({ "until_step": until_step })).await, 200);
    }
    engine.wait_for_step(3).await;
    assert_eq!(engine.steps().len(), 12);
    assert_eq!(tell(&engine, 1, "grant", json!({ "until_step": 5 })).await, 200);
    engine.wait_for_step(4).await;
    let steps: Vec<_> = engine.steps().iter().map(|event| (event.step, event.rank)).collect();
    let expected: Vec<_> = (0..5).flat_map(|step| (0..3).map(move |rank| (step, rank))).collect();
    assert_eq!(steps, expected);
}

/// Guards against a staged map that is used early, without a decision, or after an abort.
#[tokio::test]
async fn a_staged_map_is_used_from_its_step_if_committed() {
    for (commit, maps) in [(Some(true), [0, 0, 5, 5]), (Some(false), [0; 4]), (None, [0; 4])] {
        let engine = start(true);
        for rank in 0..3 {
            let stage = json!({ "fencing_number": 1, "map_version": 5, "step": 2 });
            assert_eq!(tell(&engine, rank, "stage", stage).await, 200);
            if let Some(commit) = commit {
                let body = json!({ "fencing_number": 1, "map_version": 5, "commit": commit });
                assert_eq!(tell(&engine, rank, "decide", body).await, 200);
            }
        }
        for rank in 0..3 {
            assert_eq!(tell(&engine, rank, "grant", json!({ "until_step": 4 })).await, 200);
        }
        engine.wait_for_step(3).await;
        let rank_1 = engine.steps().into_iter().filter(|event| event.rank == 1);
        let used: Vec<_> = rank_1.map(|event| event.map_version).collect();
        assert_eq!(used, maps, "{commit:?}");
    }
}

/// Guards against an engine that obeys a paused lease holder, and against a fake that checks
/// although it stands for an engine that does not.
#[tokio::test]
async fn an_old_fencing_number_is_refused_only_where_it_is_checked() {
    for (checks, refused) in [(true, 409), (false, 200)] {
        let engine = start(checks);
        let order = |number: u64| json!({ "fencing_number": number, "version": "v2" }).to_string();
        for (number, status) in [(4, 200), (4, 200), (3, refused)] {
            let reply = call(engine.address(), "POST", "/orders", &order(number)).await.unwrap();
            assert_eq!(reply.0, status, "checks {checks}, number {number}");
            assert_eq!(status == 409, reply.1["highest"] == 4);
        }
        assert_eq!(engine.load().version, "v2");
        let stage = |number| json!({ "fencing_number": number, "map_version": 1, "step": 9 });
        assert_eq!(tell(&engine, 0, "stage", stage(7)).await, 200);
        assert_eq!(tell(&engine, 0, "stage", stage(6)).await, refused);
        assert_eq!(tell(&engine, 1, "stage", stage(6)).await, 200);
    }
}

/// Guards against a straggler or stalled rank that does not hold back its group.
#[tokio::test]
async fn a_straggler_shows_in_its_step_times() {
    let engine = start(true);
    engine.set_faults(|faults| {
        faults.step_ms = 2;
        faults.straggler_rank = Some(2);
        faults.straggler_percent = 300;
        faults.stalled_rank = Some(0);
    });
    for rank in 0..3 {
        assert_eq!(tell(&engine, rank, "grant", json!({ "until_step": 1 })).await, 200);
    }
    assert!(engine.steps().is_empty());
    engine.set_faults(|faults| faults.stalled_rank = None);
    engine.wait_for_step(0).await;
    let times: Vec<_> = engine.steps().iter().map(|event| event.duration_ms).collect();
    assert_eq!(times, [2, 2, 6]);
}
