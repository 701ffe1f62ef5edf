//! Publication: all nodes agree on the document in force, whichever state they start from.
//!
//! A simulated log and its nodes run random histories. After each step, the state of every node is compared
//! with a reference state to which every record was applied.

use lycheewood::publication::{
    Change, OfferDecision, PageView, Publication, PublicationState, PublicationStatus,
    PublisherView, Record, RecordEffect, RecordView, RefusalReason, Snapshot, SnapshotView,
    StartPoint, choose_start, decide_offer, encode_record, is_inconsistent_page, is_snapshot_due,
    publication_status,
};
use lycheewood::{Offset, PublicationId, RawDocument, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn document() -> Value {
    let (raw, _) = RawDocument::from_yaml(include_str!("data/document.yaml")).unwrap();
    raw.to_value()
}

fn publication(id: &str, base: Option<u64>, change: Change) -> Record {
    let id = PublicationId::new(id);
    Record::Publication(Publication { id, base: base.map(Offset), change })
}

/// A different change for each publication, so that no two documents in force are equal. Its decimal
/// fractions must survive a snapshot bit for bit.
fn patch(number: u32) -> Change {
    let rate_per_s = f64::from(number + 1) / 17.0;
    Change::Patch(json!({"workspaces": {"reports": {"rate_per_s": rate_per_s}}}))
}

/// Log whose oldest records expire, with the reference state after each record.
struct Log {
    payloads: Vec<String>,
    first: usize,
    reference: Vec<PublicationState>,
    effect: Vec<RecordEffect>,
}

impl Log {
    fn new() -> Self {
        Self {
            payloads: vec![],
            first: 0,
            reference: vec![PublicationState::default()],
            effect: vec![],
        }
    }

    fn append(&mut self, payload: String) {
        self.payloads.push(payload);
        let mut state = self.reference.last().unwrap().clone();
        let effect = state.apply(&self.record(self.payloads.len() - 1)).unwrap();
        self.reference.push(state);
        self.effect.push(effect);
    }

    fn record(&self, index: usize) -> RecordView<'_> {
        let offset = index as u64;
        let appended = Timestamp::from_unix_ms(1_000 * offset);
        RecordView { offset: Offset(offset), appended, payload: &self.payloads[index] }
    }

    /// Applies up to `max` records of one page to the node, as the document controller does.
    fn read_into(&self, node: &mut Option<PublicationState>, max: usize) {
        let records: Vec<_> =
            (self.first..self.payloads.len()).map(|index| self.record(index)).collect();
        let page = PageView {
            first_offset: Offset(self.first as u64),
            end_offset: Offset(self.payloads.len() as u64),
            records: &records,
        };
        assert!(!is_inconsistent_page(node.as_ref(), Offset(0), &page));
        match choose_start(node.as_ref(), &page) {
            StartPoint::Continue => {}
            StartPoint::Replace(state) => *node = Some(state),
            StartPoint::Unavailable => return,
        }
        let state = node.as_mut().unwrap();
        let next = state.next_offset();
        for record in records.iter().filter(|record| record.offset >= next).take(max) {
            state.apply(record).unwrap();
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A publisher edits the document in force on a node that has read to the end, and appends copies.
    Publish {
        node: usize,
        copies: usize,
    },
    /// A publisher reads its base, then pauses.
    Prepare {
        node: usize,
        valid: bool,
    },
    /// The record of a publisher is appended, possibly again; 0 is the latest publisher.
    Resume(usize),
    /// A node creates a snapshot, then pauses before the append.
    PrepareSnapshot(usize),
    ResumeSnapshot(usize),
    Garbage(usize),
    Expire(usize),
    Read {
        node: usize,
        max: usize,
    },
    Restart(usize),
    AdoptFromPeer {
        node: usize,
        peer: usize,
    },
}

const NODES: usize = 4;
const GARBAGE: [&str; 4] = ["", "[1]", r#"{"schema":2,"publication":{}}"#, r#"{"schema":1}"#];

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        4 => (node.clone(), 1..3_usize).prop_map(|(node, copies)| Step::Publish { node, copies }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, valid)| Step::Prepare { node, valid }),
        2 => (0..6_usize).prop_map(Step::Resume),
        3 => node.clone().prop_map(Step::PrepareSnapshot),
        3 => (0..3_usize).prop_map(Step::ResumeSnapshot),
        1 => (0..GARBAGE.len()).prop_map(Step::Garbage),
        1 => (1..8_usize).prop_map(Step::Expire),
        12 => (node.clone(), 1..16_usize).prop_map(|(node, max)| Step::Read { node, max }),
        1 => node.clone().prop_map(Step::Restart),
        2 => (node.clone(), node).prop_map(|(node, peer)| Step::AdoptFromPeer { node, peer }),
    ]
}

fn run(steps: &[Step]) {
    let mut log = Log::new();
    log.append(encode_record(&publication("first", None, Change::Document(document()))));
    let mut nodes: Vec<Option<PublicationState>> = vec![None; NODES];
    let (mut prepared, mut snapshots): (Vec<Publication>, Vec<Snapshot>) = (vec![], vec![]);
    let mut published = 0_u32;
    for step in steps {
        let before = nodes.clone();
        let mut restarted = None;
        match step {
            Step::Publish { node, .. } | Step::Prepare { node, .. } => {
                published += 1;
                if matches!(step, Step::Publish { .. }) {
                    log.read_into(&mut nodes[*node], usize::MAX);
                }
                let base = nodes[*node].as_ref().and_then(PublicationState::version);
                let invalid = matches!(step, Step::Prepare { valid: false, .. });
                let change =
                    if invalid { Change::Patch(json!({"no": 1})) } else { patch(published) };
                let id = PublicationId::new(&published.to_string());
                let publication = Publication { id, base, change };
                if let Step::Publish { copies, .. } = step {
                    for _ in 0..*copies {
                        log.append(encode_record(&Record::Publication(publication.clone())));
                    }
                }
                prepared.push(publication);
            }
            Step::Resume(index) if !prepared.is_empty() => {
                let publication = prepared.iter().rev().cycle().nth(*index).unwrap().clone();
                log.append(encode_record(&Record::Publication(publication)));
            }
            Step::PrepareSnapshot(node) => {
                snapshots.extend(nodes[*node].as_ref().and_then(PublicationState::to_snapshot));
            }
            Step::ResumeSnapshot(index) if !snapshots.is_empty() => {
                let snapshot = snapshots.iter().rev().cycle().nth(*index).unwrap().clone();
                log.append(encode_record(&Record::Snapshot(snapshot)));
            }
            Step::Garbage(index) => log.append(GARBAGE[*index].to_owned()),
            Step::Expire(count) => log.first = (log.first + count).min(log.payloads.len()),
            Step::Read { node, max } => log.read_into(&mut nodes[*node], *max),
            Step::Restart(node) => {
                nodes[*node] = None;
                restarted = Some(*node);
            }
            Step::AdoptFromPeer { node, peer } => {
                if let Some(offered) = nodes[*peer].as_ref().and_then(PublicationState::to_snapshot)
                    && let OfferDecision::Adopt(state) =
                        decide_offer(nodes[*node].as_ref(), &offered)
                {
                    nodes[*node] = Some(state);
                }
            }
            Step::Resume(_) | Step::ResumeSnapshot(_) => {}
        }
        for (index, (node, before)) in nodes.iter().zip(&before).enumerate() {
            let Some(state) = node else { continue };
            let next = usize::try_from(state.next_offset().0).unwrap();
            assert_eq!(state, &log.reference[next], "node {index} disagrees at offset {next}");
            if let Some(before) = before.as_ref().filter(|_| restarted != Some(index)) {
                assert!(
                    before.next_offset() <= state.next_offset(),
                    "node {index} went back to an earlier offset"
                );
                assert!(
                    before.version() <= state.version(),
                    "node {index} reverted to an older version"
                );
            }
        }
    }
    check_accepted(&log, &prepared);
}

/// Checks that at most one publication of each base is accepted, that each id is accepted at most once and
/// that every publisher gets the matching status.
fn check_accepted(log: &Log, publications: &[Publication]) {
    let mut accepted = Vec::new();
    accepted.extend(log.effect.iter().filter_map(|effect| match effect {
        RecordEffect::Accepted(winner) => Some(winner),
        _ => None,
    }));
    for (index, winner) in accepted.iter().enumerate() {
        let others = &accepted[index + 1..];
        assert!(
            others.iter().all(|other| other.base != winner.base),
            "two publications of one base were accepted"
        );
        assert!(
            others.iter().all(|other| other.id != winner.id),
            "one publication was accepted twice"
        );
    }
    let state = log.reference.last().unwrap();
    for Publication { id, base, .. } in publications {
        let expected = match accepted.iter().find(|winner| winner.base == *base) {
            Some(winner) if &winner.id == id => {
                PublicationStatus::Accepted { version: winner.version }
            }
            Some(winner) => {
                PublicationStatus::Refused(RefusalReason::BaseReplaced((*winner).clone()))
            }
            None => PublicationStatus::Pending,
        };
        let publisher = PublisherView { id, base: *base, effect: None };
        assert_eq!(publication_status(state, &publisher), expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6c79_6368),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that disagree, revert, accept two edits of one version or publish twice after a
    /// lost reply, while records expire and processes pause at any point.
    #[test]
    fn nodes_agree(steps in prop::collection::vec(step(), 1..120)) {
        run(&steps);
    }
}

/// Guards against a snapshot that hides an accepted edit: a paused process appends the snapshot late, so
/// it is readable after the record of a later edit has expired.
#[test]
fn late_snapshot_is_no_start_once_later_records_expired() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    let late = log.reference[1].to_snapshot().unwrap();
    log.append(encode_record(&publication("b", Some(0), patch(1))));
    log.append(encode_record(&Record::Snapshot(late)));
    let mut fresh = None;
    log.first = 1;
    log.read_into(&mut fresh, 9);
    assert_eq!(fresh.unwrap().version(), Some(Offset(1)), "the edit is applied");
    let mut fresh = None;
    log.first = 2;
    log.read_into(&mut fresh, 9);
    assert_eq!(fresh, None, "the edit has expired, so there is no usable start");
}

/// Guards against skipped records when further records expire after the choice of the start.
#[test]
fn moving_start_is_a_gap() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    log.append(encode_record(&publication("b", Some(0), patch(1))));
    log.append(encode_record(&publication("c", Some(1), patch(2))));
    let mut state = log.reference[1].clone();
    assert_eq!(state.apply(&log.record(2)).unwrap_err().expected, Offset(1));
    assert_eq!(state, log.reference[1]);
    log.first = 2;
    let mut behind = Some(state);
    log.read_into(&mut behind, 9);
    assert_eq!(behind.as_ref(), Some(&log.reference[1]), "the document stays in force");
}

/// Guards against a log that loses its latest records.
#[test]
fn lower_end_is_faulty() {
    let page = |first, end| PageView {
        first_offset: Offset(first),
        end_offset: Offset(end),
        records: &[],
    };
    assert!(is_inconsistent_page(None, Offset(5), &page(0, 4)));
    assert!(!is_inconsistent_page(None, Offset(5), &page(5, 5)));
    assert!(is_inconsistent_page(None, Offset(0), &page(3, 2)));
    let mut state = PublicationState::default();
    let record = RecordView { offset: Offset(0), appended: Timestamp::default(), payload: "" };
    state.apply(&record).unwrap();
    assert!(is_inconsistent_page(Some(&state), Offset(0), &page(0, 0)));
}

/// Guards against a log without publications whose only snapshot expires, and against a late snapshot that
/// delays the next one.
#[test]
fn snapshot_is_due_by_the_oldest_record_needed() {
    let due = |state: &PublicationState, now_ms| {
        let view = SnapshotView { state, retention_ms: 90_000, jitter_ms: 1_000 };
        is_snapshot_due(&view, Timestamp::from_unix_ms(now_ms))
    };
    let apply = |state: &mut PublicationState, appended_ms, payload: &str| {
        let appended = Timestamp::from_unix_ms(appended_ms);
        state.apply(&RecordView { offset: state.next_offset(), appended, payload }).unwrap();
    };
    let mut state = PublicationState::default();
    assert!(!due(&state, 1_000_000));
    let first = encode_record(&publication("a", None, Change::Document(document())));
    apply(&mut state, 10_000, &first);
    let late = encode_record(&Record::Snapshot(state.to_snapshot().unwrap()));
    apply(&mut state, 20_000, "");
    assert!(!due(&state, 40_999));
    assert!(due(&state, 41_000));
    apply(&mut state, 41_000, &late);
    assert!(due(&state, 41_000), "the late snapshot needs the record appended at 20 000");
    let fresh = encode_record(&Record::Snapshot(state.to_snapshot().unwrap()));
    apply(&mut state, 42_000, &fresh);
    assert!(!due(&state, 72_999));
    assert!(due(&state, 73_000));
}

/// Guards against a final status that a later record changes: an invalid publication stays refused, and a
/// base that was never a version is refused instead of pending.
#[test]
fn verdicts_are_final() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    log.append(encode_record(&publication("b", Some(0), Change::Patch(json!({"no": 1})))));
    let state = &log.reference[2];
    let ask = |id: &str, base: u64, effect| {
        let id = PublicationId::new(id);
        publication_status(state, &PublisherView { id: &id, base: Some(Offset(base)), effect })
    };
    assert!(matches!(
        ask("b", 0, Some(&log.effect[1])),
        PublicationStatus::Refused(RefusalReason::Invalid(_))
    ));
    assert_eq!(ask("c", 1, None), PublicationStatus::Refused(RefusalReason::BaseNotInForce));
    assert_eq!(ask("c", 2, None), PublicationStatus::Pending);
    assert_eq!(ask("a", 0, None), PublicationStatus::Accepted { version: Offset(0) });
}

/// Guards against a wrong status for a base that the state no longer keeps, against a state that grows with
/// every publication, and against rates whose last digit changes in a snapshot.
#[test]
fn old_bases_are_forgotten() {
    let mut state = PublicationState::default();
    let mut apply = |record: &Record| {
        let (offset, payload) = (state.next_offset(), &encode_record(record));
        state.apply(&RecordView { offset, appended: Timestamp::default(), payload }).unwrap();
    };
    apply(&publication("0", None, Change::Document(document())));
    for number in 1..=257_u32 {
        apply(&publication(&number.to_string(), Some(u64::from(number) - 1), patch(number)));
    }
    let ask = |id: &str, base| {
        let id = PublicationId::new(id);
        publication_status(&state, &PublisherView { id: &id, base, effect: None })
    };
    assert_eq!(state.published().unwrap().raw["workspaces"][1]["rate_per_s"], 258.0 / 17.0);
    assert_eq!(ask("0", None), PublicationStatus::Indeterminate);
    assert_eq!(ask("1", Some(Offset(0))), PublicationStatus::Indeterminate);
    assert_eq!(ask("2", Some(Offset(1))), PublicationStatus::Accepted { version: Offset(2) });
    let snapshot = state.to_snapshot().unwrap();
    assert_eq!(snapshot.accepted.len(), 256);
    assert_eq!(PublicationState::from_snapshot(&snapshot).unwrap(), state);
}
