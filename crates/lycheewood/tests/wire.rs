//! The protocol between the system's own processes, and its rules for old and new versions.

use std::fmt::Write;
use std::net::SocketAddr;

use bytes::Bytes;
use ciborium::Value;
use lycheewood::{
    Ask, AttemptId, Chunk, DocumentAsk, End, Failed, Frame, Head, Heartbeat, HeartbeatExtension,
    Hello, Incarnation, InstanceId, Load, Offset, RankCall, RankOrder, Recover, Refused,
    RefusedReason, RequestKey, Role, Start, Suspects, TargetName, Timestamp, VersionName, Work,
    common_version, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::{Deserialize, Serialize};

const ATTEMPT: AttemptId = AttemptId { incarnation: Incarnation(7), sequence: 3 };

fn start(work: Work) -> Frame {
    Frame::Start(Box::new(Start {
        attempt: ATTEMPT,
        endpoint_incarnation: Incarnation(9),
        fingerprint: [1; 16],
        key: RequestKey::try_from("01890a5d-ac96-774b-bcce-b302099a8057").ok(),
        claim_offset: Some(Offset(12)),
        deadline: Timestamp::from_unix_ms(1_000),
        priority: 5,
        run_alone: false,
        work,
        traceparent: None,
    }))
}

/// One frame of each kind.
fn frames() -> Vec<(&'static str, Frame)> {
    let hello = Hello {
        protocol_min: 1,
        protocol_max: 1,
        incarnation: Incarnation(7),
        instance: InstanceId::new("entry-1"),
        role: Role::Entry,
        endpoint_kind: None,
        version: None,
        admin_address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
    };
    let model = Work::Model {
        model: TargetName::new("draft"),
        version: VersionName::new("v1"),
        prompt: "p".into(),
        max_tokens: 2,
        resume_from_token: 1,
    };
    let service = Work::Service {
        service: TargetName::new("jobs"),
        method: "POST".into(),
        path: "/jobs".into(),
        content_type: "text/plain".into(),
        body: b"x".to_vec(),
    };
    let suspects = Suspects {
        incarnation: Incarnation(9),
        sequence: 1,
        ran_alone: true,
        version: None,
        quarantine_ms: 5,
        fingerprints: vec![[2; 16]],
    };
    let chunk = Chunk { attempt: ATTEMPT, index: 4, bytes: Bytes::from_static(b"tok") };
    let load = Load { running: 1, queued: 2, capacity: 3, reported: Timestamp::from_unix_ms(4) };
    let head = Head { attempt: ATTEMPT, status: 200, content_type: "text/plain".into() };
    vec![
        ("hello", Frame::Hello(hello)),
        ("heartbeat", Frame::Heartbeat(5)),
        ("start model", start(model)),
        ("start service", start(service)),
        ("cancel", Frame::Cancel(ATTEMPT)),
        ("ask", Frame::Ask(Ask { attempt: ATTEMPT, from_chunk: 4 })),
        (
            "recover",
            Frame::Recover(Recover { attempt: ATTEMPT, endpoint_incarnation: Incarnation(9) }),
        ),
        ("accepted", Frame::Accepted(ATTEMPT)),
        ("refused", Frame::Refused(Refused { attempt: ATTEMPT, reason: RefusedReason::Draining })),
        ("head", Frame::Head(head)),
        ("chunk", Frame::Chunk(chunk)),
        ("end", Frame::End(End { attempt: ATTEMPT, chunks: 5 })),
        ("failed", Frame::Failed(Failed { attempt: ATTEMPT, engine_died: true })),
        ("load", Frame::Load(load)),
        ("draining", Frame::Draining),
        ("suspects", Frame::Suspects(suspects)),
        ("document ask", Frame::DocumentAsk(DocumentAsk { upto: Some(Offset(3)) })),
    ]
}

/// Guards against a frame that its own side cannot read back, and against a change of the bytes on the
/// wire that processes of the present version would not understand.
#[test]
fn frames_keep_their_form() {
    let mut table = String::new();
    for (name, frame) in frames() {
        let bytes = encode(&frame);
        assert_eq!(decode(&bytes).expect(name), frame);
        let value: Value = ciborium::from_reader(&bytes[..]).expect("CBOR");
        let _ = writeln!(table, "{name} ({} bytes): {value:?}", bytes.len());
    }
    insta::assert_snapshot!("frames", table);
}

/// Guards against an old process that breaks off a connection over something new.
#[test]
fn what_a_newer_version_adds_is_ignored() {
    let to_bytes = |value: &Value| {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).expect("write CBOR");
        bytes
    };
    let unknown = Value::Array(vec![99.into(), Value::Map(vec![("new".into(), 1.into())])]);
    assert_eq!(decode(&to_bytes(&unknown)).expect("unknown kind"), Frame::Unknown(99));
    for (name, frame) in frames() {
        let mut value: Value = ciborium::from_reader(&encode(&frame)[..]).expect("CBOR");
        let Value::Array(envelope) = &mut value else { panic!("{name} is no array") };
        match &mut envelope[1] {
            Value::Map(fields) => fields.push(("new field".into(), 1.into())),
            Value::Array(elements) => elements.push("new element".into()),
            _ => {}
        }
        envelope.push("new part".into());
        assert_eq!(decode(&to_bytes(&value)).expect(name), frame, "{name}");
    }
}

/// Guards against peers that settle on a version which one of them does not speak.
#[test]
fn peers_settle_on_the_highest_common_version() {
    let table = [
        ((1, 1), (1, 1), Some(1)),
        ((1, 3), (2, 5), Some(3)),
        ((2, 5), (1, 3), Some(3)),
        ((1, 1), (2, 3), None),
        ((4, 5), (1, 3), None),
    ];
    for (ours, theirs, expected) in table {
        assert_eq!(common_version(ours, theirs), expected, "{ours:?} {theirs:?}");
    }
}

/// Guards against a reader that panics, or allocates without bound, on bytes that are no frame.
#[test]
fn arbitrary_bytes_are_an_error_or_a_frame() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cut_and_noise = (0..frames().len(), any::<usize>(), any::<u8>(), any::<Vec<u8>>());
    runner
        .run(&cut_and_noise, |(index, position, byte, noise)| {
            let _ = decode(&noise);
            let mut bytes = encode(&frames()[index].1).to_vec();
            let position = position % bytes.len();
            let _ = decode(&bytes[..position]);
            bytes[position] = byte;
            let _ = decode(&bytes);
            Ok(())
        })
        .expect("no panic");
}

/// A heartbeat as a build without the extension reads it.
type OlderHeartbeat = (Value, u64, u64, bool, Value, Option<u64>, u64, bool, Vec<(u32, u32)>);

/// Guards against a rolling update in which instances cannot read each other's heartbeats: builds without the
/// extension expect nine elements, and builds with more fields send some that this one does not know.
#[test]
fn heartbeats_of_builds_with_and_without_an_extension_are_read() {
    let heartbeat = Heartbeat {
        about: None,
        incarnation: Incarnation(4),
        sequence: 9,
        is_ready: true,
        leading: None,
        route_version: Some(3),
        endpoints_next: Offset(7),
        reads: false,
        in_flight: vec![(1, 2)],
        extension: HeartbeatExtension::default(),
    };
    let elements = |heartbeat: &Heartbeat| {
        let mut bytes = Vec::new();
        ciborium::into_writer(heartbeat, &mut bytes).expect("write CBOR");
        let value: Value = ciborium::from_reader(&bytes[..]).expect("CBOR");
        value.into_array().expect("an array")
    };
    let read = |elements: Vec<Value>| -> Heartbeat {
        let mut bytes = Vec::new();
        ciborium::into_writer(&Value::Array(elements), &mut bytes).expect("write CBOR");
        ciborium::from_reader(&bytes[..]).expect("a heartbeat")
    };
    let plain = elements(&heartbeat);
    assert_eq!(plain.len(), 9, "an empty extension is left out");
    assert_eq!(read(plain.clone()), heartbeat);

    let work_ms = vec![(1, 30)];
    let extension = HeartbeatExtension { work_ms, ..HeartbeatExtension::default() };
    let extended = Heartbeat { extension, ..heartbeat };
    let mut newer = elements(&extended);
    let Some(Value::Map(fields)) = newer.last_mut() else { panic!("an extension") };
    fields.push((Value::from("unknown"), Value::from(1)));
    newer.push(Value::from("a further element"));
    assert_eq!(read(newer.clone()), extended);

    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Array(newer), &mut bytes).expect("write CBOR");
    let older: OlderHeartbeat =
        ciborium::from_reader(&bytes[..]).expect("a tuple of nine elements");
    assert_eq!((older.1, older.8), (4, vec![(1, 2)]));
}

/// The call of an order as builds before `reads_status` write and read it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OlderRankCall {
    Order { epoch: u64, order: RankOrder },
}

/// Guards against a rolling update in which an agent cannot read the orders of a holder of another build.
#[test]
fn orders_of_builds_with_and_without_a_status_are_read() {
    let older = OlderRankCall::Order { epoch: 3, order: RankOrder::Hold { step: 7 } };
    let newer = |reads_status| RankCall::Order {
        epoch: 3,
        order: RankOrder::Hold { step: 7 },
        reads_status,
    };
    let bytes = |call: &RankCall| {
        let mut bytes = Vec::new();
        ciborium::into_writer(call, &mut bytes).expect("write CBOR");
        bytes
    };
    let read: OlderRankCall = ciborium::from_reader(&bytes(&newer(true))[..]).expect("a call");
    assert_eq!(read, older);
    let mut older_bytes = Vec::new();
    ciborium::into_writer(&older, &mut older_bytes).expect("write CBOR");
    assert_eq!(bytes(&newer(false)), older_bytes, "a call that reads no status keeps its form");
    let read: RankCall = ciborium::from_reader(&older_bytes[..]).expect("a call");
    assert_eq!(read, newer(false));
}
