//! Engine: streams, capacity, crashes.

use serde_json::{Value, json};
use stand_ins::engine::{CacheChange, CacheEvent, Engine, EngineFaults, EngineSettings, token};

use crate::client::{call, events, send};

fn request(id: &str, prompt: &str, resume_from_token: u64) -> String {
    let fields = json!({
        "request_id": id, "model": "m", "version": "v1", "prompt": prompt, "max_tokens": 6,
        "priority": 1, "resume_from_token": resume_from_token,
    });
    fields.to_string()
}

async fn complete(engine: &Engine, body: &str) -> (Vec<String>, bool) {
    events(send(engine.address(), "POST", "/v1/completions", body).await.unwrap()).await
}

/// Guards against a resumed stream whose tokens differ from those of an uninterrupted one.
#[tokio::test]
async fn a_resumed_stream_continues_the_same_tokens() {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let (whole, _) = complete(&engine, &request("a", "p", 0)).await;
    let (resumed, _) = complete(&engine, &request("b", "p", 4)).await;
    assert_eq!(whole.len(), 8);
    assert_eq!(resumed, whole[4..]);
    let fourth: Value = serde_json::from_str(&whole[4]).unwrap();
    assert_eq!(fourth, json!({ "index": 4, "token": token("v1", "p", 4) }));
    assert_eq!(whole[6..], ["{\"total\":6}", "[DONE]"]);
}

/// Guards against a cut or crashed stream that looks like a complete one.
#[tokio::test]
async fn a_broken_stream_has_no_end() {
    type Fault = fn(&mut EngineFaults);
    let table: [(Fault, bool); 2] = [
        (|faults| faults.cut_after_tokens = Some(2), true),
        (
            |faults| {
                "p".clone_into(&mut faults.crash_on);
                faults.crash_after_tokens = 2;
            },
            false,
        ),
    ];
    for (row, (fault, up)) in table.into_iter().enumerate() {
        let engine = Engine::start(EngineSettings::default()).unwrap();
        engine.set_faults(fault);
        let (events, whole) = complete(&engine, &request("a", "p", 0)).await;
        assert!(!whole && events.len() <= 2, "row {row}: {events:?}");
        assert_eq!(engine.runs_of("a"), 1, "row {row}");
        assert_eq!(call(engine.address(), "GET", "/load", "").await.is_some(), up, "row {row}");
    }
}

/// Guards against an engine that stays down, or keeps load from before the crash.
#[tokio::test]
async fn a_restarted_engine_is_idle() {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    engine.set_faults(|faults| faults.stall_after_tokens = Some(0));
    let held = send(engine.address(), "POST", "/v1/completions", &request("a", "p", 0)).await;
    engine.wait_for_load(|load| load.running == 1).await;
    engine.crash().await;
    assert!(!events(held.unwrap()).await.1);
    assert_eq!(call(engine.address(), "GET", "/load", "").await, None);
    engine.restart().await;
    let (_, load) = call(engine.address(), "GET", "/load", "").await.unwrap();
    assert_eq!((&load["running"], &load["version"]), (&json!(0), &json!("v1")));
}

/// Guards against a cancel that leaves a place taken, and a queue that ignores priorities.
#[tokio::test]
async fn a_cancel_starts_the_waiting_request_of_highest_priority() {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    engine.set_faults(|faults| {
        faults.capacity = 1;
        faults.stall_after_tokens = Some(0);
    });
    let mut held = Vec::new();
    for (queued, (id, priority)) in [("first", 1), ("low", 2), ("high", 9)].into_iter().enumerate()
    {
        let body =
            json!({ "request_id": id, "prompt": "p", "max_tokens": 1, "priority": priority });
        held.push(send(engine.address(), "POST", "/v1/completions", &body.to_string()).await);
        engine.wait_for_load(move |load| load.queued == queued as u64).await;
    }
    let (_, reply) = call(engine.address(), "DELETE", "/v1/requests/first", "").await.unwrap();
    assert_eq!(reply, json!({ "cancelled": 1 }));
    engine.wait_for_load(|load| load.queued == 1).await;
    assert_eq!(["first", "low", "high"].map(|id| engine.runs_of(id)), [1, 0, 1]);
}

/// Guards against cache events that show no use, no eviction, or no gap.
#[tokio::test]
async fn cache_events_tell_what_is_cached_but_for_their_gaps() {
    for (gap_every, offsets) in [(0, vec![0, 1, 2]), (2, vec![0, 2])] {
        let engine = Engine::start(EngineSettings::default()).unwrap();
        engine.set_faults(move |faults| {
            faults.cache_entries = 1;
            faults.cache_gap_every = gap_every;
        });
        for (id, prompt) in [("a", "p"), ("b", "p"), ("c", "q")] {
            complete(&engine, &request(id, prompt, 0)).await;
        }
        let (_, reply) = call(engine.address(), "GET", "/cache-events?from=0", "").await.unwrap();
        let events: Vec<CacheEvent> = serde_json::from_value(reply["events"].clone()).unwrap();
        assert_eq!(events.iter().map(|event| event.offset).collect::<Vec<_>>(), offsets);
        let stored_by = |change| events.iter().rfind(|event| event.change == change);
        assert_eq!(events[0].request_id, "a");
        if gap_every == 0 {
            assert_eq!(stored_by(CacheChange::Stored).unwrap().request_id, "c");
            assert_eq!(stored_by(CacheChange::Evicted).unwrap().request_id, "a");
        }
    }
}

/// Guards against a load report that hides its age.
#[tokio::test]
async fn a_late_load_report_shows_an_earlier_load() {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    engine.set_faults(|faults| {
        faults.stall_after_tokens = Some(0);
        faults.load_lag_ms = 3_600_000;
    });
    let _held = send(engine.address(), "POST", "/v1/completions", &request("a", "p", 0)).await;
    let (_, load) = call(engine.address(), "GET", "/load", "").await.unwrap();
    assert_eq!((&load["running"], engine.load().running), (&json!(0), 1));
    assert!(load["reported_unix_ms"].as_u64().unwrap() <= engine.load().reported_unix_ms);
}

/// Guards against a crash that is never followed by the planned restart, or by a new crash of the
/// same prompt.
#[tokio::test]
async fn a_prompt_that_crashes_the_engine_does_so_again_after_the_restart() {
    let engine = Engine::start(EngineSettings::default()).unwrap();
    engine.set_faults(|faults| {
        "bad".clone_into(&mut faults.crash_on);
        faults.restart_after_ms = 1;
    });
    for crashes in 1..=2 {
        let body = request("a", "bad", 0);
        let response = send(engine.address(), "POST", "/v1/completions", &body).await;
        if let Some(response) = response {
            assert!(!events(response).await.1);
        }
        engine.wait_for_restarts(crashes).await;
        assert_eq!(engine.runs_of("a"), crashes);
    }
    assert!(complete(&engine, &request("b", "good", 0)).await.1);
}
