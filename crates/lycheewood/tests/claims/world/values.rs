//! Keys, records and messages of the simulation.

use lycheewood::{
    AttemptId, ClaimKey, ClaimRecord, Fingerprint, Incarnation, InstanceId, RequestKey, Start,
    TargetName, Timestamp, Work, WorkspaceName,
};

/// Version 7 UUID as a key created at `created`; `n` makes it unique.
pub(crate) fn key(created: Timestamp, n: usize) -> RequestKey {
    let time = format!("{:012x}", created.unix_ms());
    RequestKey::try_from(format!("{}-{}-7000-8000-{n:012x}", &time[..8], &time[8..])).unwrap()
}

pub(crate) fn claim_key(key: &RequestKey) -> ClaimKey {
    ClaimKey::new(&WorkspaceName::new("night"), key)
}

pub(crate) fn record(
    key: ClaimKey,
    attempt: AttemptId,
    target: Incarnation,
    endpoint_index: usize,
) -> ClaimRecord {
    let (endpoint, fingerprint) =
        (InstanceId::new(&endpoint_index.to_string()), Fingerprint::from([0; 16]));
    ClaimRecord { key, attempt, endpoint, endpoint_incarnation: target, fingerprint }
}

pub(crate) fn start(attempt: AttemptId, target: Incarnation, deadline: Timestamp) -> Start {
    let (method, path) = ("POST".into(), "/next".into());
    let (content_type, body) = (String::new(), Vec::new());
    let service = TargetName::new("serials");
    Start {
        attempt,
        endpoint_incarnation: target,
        fingerprint: [0; 16],
        key: None,
        claim_offset: None,
        deadline,
        priority: 0,
        run_alone: false,
        work: Work::Service { service, method, path, content_type, body },
        traceparent: None,
    }
}
