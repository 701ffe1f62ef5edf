//! Publication: all nodes agree on the document in force, from whatever state they start.
//!
//! A model of the log and its nodes runs random histories. Every reply is checked against a reference
//! fold that saw every record.

use lycheewood::publication::{
    Change, FoldState, Folded, Merge, Page, Publication, PublisherView, Record, RecordView,
    RefusedBecause, Snapshot, SnapshotView, Start, Verdict, choose_start, encode_record, is_faulty,
    merge, snapshot_due, verdict,
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

/// A change that differs for each publication, so that two documents in force never look alike. Its
/// decimal fractions must come back from a snapshot bit for bit.
fn patch(number: u32) -> Change {
    let rate_per_s = f64::from(number + 1) / 17.0;
    Change::Patch(json!({"workspaces": {"reports": {"rate_per_s": rate_per_s}}}))
}

/// A log whose oldest records expire, with the reference state after each record.
struct Log {
    payloads: Vec<String>,
    first: usize,
    reference: Vec<FoldState>,
    folded: Vec<Folded>,
}

impl Log {
    fn new() -> Self {
        Self { payloads: vec![], first: 0, reference: vec![FoldState::default()], folded: vec![] }
    }

    fn append(&mut self, payload: String) {
        self.payloads.push(payload);
        let mut state = self.reference.last().unwrap().clone();
        let folded = state.fold(&self.record(self.payloads.len() - 1)).unwrap();
        self.reference.push(state);
        self.folded.push(folded);
    }

    fn record(&self, index: usize) -> RecordView<'_> {
        let offset = index as u64;
        let appended = Timestamp::from_unix_ms(1_000 * offset);
        RecordView { offset: Offset(offset), appended, payload: &self.payloads[index] }
    }

    /// Reads one page into the node as the document controller does.
    fn serve(&self, node: &mut Option<FoldState>, max: usize) {
        let records: Vec<_> =
            (self.first..self.payloads.len()).map(|index| self.record(index)).collect();
        let page = Page {
            first_offset: Offset(self.first as u64),
            end_offset: Offset(self.payloads.len() as u64),
            records: &records,
        };
        assert!(!is_faulty(node.as_ref(), Offset(0), &page));
        match choose_start(node.as_ref(), &page) {
            Start::Continue => {}
            Start::Replace(state) => *node = Some(state),
            Start::Unavailable => return,
        }
        let state = node.as_mut().unwrap();
        let next = state.next();
        for record in records.iter().filter(|record| record.offset >= next).take(max) {
            state.fold(record).unwrap();
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A publisher edits what is in force by a node that reads to the end, and appends copies.
    Publish {
        node: usize,
        copies: usize,
    },
    /// A publisher pauses after it has read its base.
    Prepare {
        node: usize,
        valid: bool,
    },
    /// A paused publisher's record is appended, perhaps again; 0 is the latest publisher.
    Resume(usize),
    /// A node writes a snapshot, but pauses before the append.
    PrepareSnapshot(usize),
    ResumeSnapshot(usize),
    Garbage(usize),
    Expire(usize),
    Read {
        node: usize,
        max: usize,
    },
    Restart(usize),
    TakeFromPeer {
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
        2 => (node.clone(), node).prop_map(|(node, peer)| Step::TakeFromPeer { node, peer }),
    ]
}

fn run(steps: &[Step]) {
    let mut log = Log::new();
    log.append(encode_record(&publication("first", None, Change::Document(document()))));
    let mut nodes: Vec<Option<FoldState>> = vec![None; NODES];
    let (mut prepared, mut snapshots): (Vec<Publication>, Vec<Snapshot>) = (vec![], vec![]);
    let mut published = 0_u32;
    for step in steps {
        let before = nodes.clone();
        let mut restarted = None;
        match step {
            Step::Publish { node, .. } | Step::Prepare { node, .. } => {
                published += 1;
                if matches!(step, Step::Publish { .. }) {
                    log.serve(&mut nodes[*node], usize::MAX);
                }
                let base = nodes[*node].as_ref().and_then(FoldState::version);
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
                snapshots.extend(nodes[*node].as_ref().and_then(FoldState::to_snapshot));
            }
            Step::ResumeSnapshot(index) if !snapshots.is_empty() => {
                let snapshot = snapshots.iter().rev().cycle().nth(*index).unwrap().clone();
                log.append(encode_record(&Record::Snapshot(snapshot)));
            }
            Step::Garbage(index) => log.append(GARBAGE[*index].to_owned()),
            Step::Expire(count) => log.first = (log.first + count).min(log.payloads.len()),
            Step::Read { node, max } => log.serve(&mut nodes[*node], *max),
            Step::Restart(node) => {
                nodes[*node] = None;
                restarted = Some(*node);
            }
            Step::TakeFromPeer { node, peer } => {
                if let Some(offered) = nodes[*peer].as_ref().and_then(FoldState::to_snapshot)
                    && let Merge::Take(state) = merge(nodes[*node].as_ref(), &offered)
                {
                    nodes[*node] = Some(state);
                }
            }
            Step::Resume(_) | Step::ResumeSnapshot(_) => {}
        }
        for (index, (node, before)) in nodes.iter().zip(&before).enumerate() {
            let Some(state) = node else { continue };
            let next = usize::try_from(state.next().0).unwrap();
            assert_eq!(state, &log.reference[next], "node {index} disagrees at offset {next}");
            if let Some(before) = before.as_ref().filter(|_| restarted != Some(index)) {
                assert!(before.next() <= state.next(), "node {index} went back");
                assert!(before.version() <= state.version(), "node {index} reverted");
            }
        }
    }
    check_winners(&log, &prepared);
}

/// Each base has one winner, each id wins once, and every publisher gets the matching verdict.
fn check_winners(log: &Log, publications: &[Publication]) {
    let mut wins = Vec::new();
    wins.extend(log.folded.iter().filter_map(|folded| match folded {
        Folded::Accepted(win) => Some(win),
        _ => None,
    }));
    for (index, win) in wins.iter().enumerate() {
        let others = &wins[index + 1..];
        assert!(others.iter().all(|other| other.base != win.base), "two winners of one base");
        assert!(others.iter().all(|other| other.id != win.id), "published twice");
    }
    let state = log.reference.last().unwrap();
    for Publication { id, base, .. } in publications {
        let expected = match wins.iter().find(|win| win.base == *base) {
            Some(win) if &win.id == id => Verdict::Accepted { version: win.version },
            Some(win) => Verdict::Refused(RefusedBecause::Lost((*win).clone())),
            None => Verdict::NotYetKnown,
        };
        let publisher = PublisherView { id, base: *base, folded: None };
        assert_eq!(verdict(state, &publisher), expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6c79_6368),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against nodes that disagree, go back, accept two edits of one version, or publish
    /// twice after a lost reply, whatever expires and whoever pauses.
    #[test]
    fn nodes_agree(steps in prop::collection::vec(step(), 1..120)) {
        run(&steps);
    }
}

/// Guards against a snapshot, written late by a paused process, that hides an accepted edit: the
/// edit's record has expired, but the snapshot from before it is readable.
#[test]
fn late_snapshot_is_no_start_once_later_records_expired() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    let late = log.reference[1].to_snapshot().unwrap();
    log.append(encode_record(&publication("b", Some(0), patch(1))));
    log.append(encode_record(&Record::Snapshot(late)));
    let mut fresh = None;
    log.first = 1;
    log.serve(&mut fresh, 9);
    assert_eq!(fresh.unwrap().version(), Some(Offset(1)), "the edit is folded");
    let mut fresh = None;
    log.first = 2;
    log.serve(&mut fresh, 9);
    assert_eq!(fresh, None, "the edit is no longer readable, so there is no start");
}

/// Guards against a fold that skips records when the log's start moves after the choice of a start.
#[test]
fn moving_start_is_a_gap() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    log.append(encode_record(&publication("b", Some(0), patch(1))));
    log.append(encode_record(&publication("c", Some(1), patch(2))));
    let mut state = log.reference[1].clone();
    assert_eq!(state.fold(&log.record(2)).unwrap_err().expected, Offset(1));
    assert_eq!(state, log.reference[1]);
    log.first = 2;
    let mut behind = Some(state);
    log.serve(&mut behind, 9);
    assert_eq!(behind.as_ref(), Some(&log.reference[1]), "the document stays in force");
}

/// Guards against a log that comes back without its latest records.
#[test]
fn lower_end_is_faulty() {
    let page =
        |first, end| Page { first_offset: Offset(first), end_offset: Offset(end), records: &[] };
    assert!(is_faulty(None, Offset(5), &page(0, 4)));
    assert!(!is_faulty(None, Offset(5), &page(5, 5)));
    assert!(is_faulty(None, Offset(0), &page(3, 2)));
    let mut state = FoldState::default();
    let record = RecordView { offset: Offset(0), appended: Timestamp::default(), payload: "" };
    state.fold(&record).unwrap();
    assert!(is_faulty(Some(&state), Offset(0), &page(0, 0)));
}

/// Guards against a quiet log whose only snapshot expires, and against a late snapshot that puts
/// off the next one.
#[test]
fn snapshot_is_due_by_the_oldest_record_needed() {
    let due = |state: &FoldState, now_ms| {
        let view = SnapshotView { state, retention_ms: 90_000, jitter_ms: 1_000 };
        snapshot_due(&view, Timestamp::from_unix_ms(now_ms))
    };
    let fold = |state: &mut FoldState, appended_ms, payload: &str| {
        let appended = Timestamp::from_unix_ms(appended_ms);
        state.fold(&RecordView { offset: state.next(), appended, payload }).unwrap();
    };
    let mut state = FoldState::default();
    assert!(!due(&state, 1_000_000));
    let first = encode_record(&publication("a", None, Change::Document(document())));
    fold(&mut state, 10_000, &first);
    let late = encode_record(&Record::Snapshot(state.to_snapshot().unwrap()));
    fold(&mut state, 20_000, "");
    assert!(!due(&state, 40_999));
    assert!(due(&state, 41_000));
    fold(&mut state, 41_000, &late);
    assert!(due(&state, 41_000), "the late snapshot needs the record of 20 000");
    let fresh = encode_record(&Record::Snapshot(state.to_snapshot().unwrap()));
    fold(&mut state, 42_000, &fresh);
    assert!(!due(&state, 72_999));
    assert!(due(&state, 73_000));
}

/// Guards against a verdict that a later record could turn: an invalid result stays refused, and a
/// base that was never a version is no reason to wait.
#[test]
fn verdicts_are_final() {
    let mut log = Log::new();
    log.append(encode_record(&publication("a", None, Change::Document(document()))));
    log.append(encode_record(&publication("b", Some(0), Change::Patch(json!({"no": 1})))));
    let state = &log.reference[2];
    let ask = |id: &str, base: u64, folded| {
        let id = PublicationId::new(id);
        verdict(state, &PublisherView { id: &id, base: Some(Offset(base)), folded })
    };
    assert!(matches!(
        ask("b", 0, Some(&log.folded[1])),
        Verdict::Refused(RefusedBecause::Invalid(_))
    ));
    assert_eq!(ask("c", 1, None), Verdict::Refused(RefusedBecause::Base));
    assert_eq!(ask("c", 2, None), Verdict::NotYetKnown);
    assert_eq!(ask("a", 0, None), Verdict::Accepted { version: Offset(0) });
}

/// Guards against a wrong verdict on a base that is no longer remembered, against a state that grows
/// with every publication, and against rates that change in the last digit on their way.
#[test]
fn old_bases_are_forgotten() {
    let mut state = FoldState::default();
    let mut fold = |record: &Record| {
        let (offset, payload) = (state.next(), &encode_record(record));
        state.fold(&RecordView { offset, appended: Timestamp::default(), payload }).unwrap();
    };
    fold(&publication("0", None, Change::Document(document())));
    for number in 1..=257_u32 {
        fold(&publication(&number.to_string(), Some(u64::from(number) - 1), patch(number)));
    }
    let ask = |id: &str, base| {
        let id = PublicationId::new(id);
        verdict(&state, &PublisherView { id: &id, base, folded: None })
    };
    assert_eq!(state.published().unwrap().raw["workspaces"][1]["rate_per_s"], 258.0 / 17.0);
    assert_eq!(ask("0", None), Verdict::Forgotten);
    assert_eq!(ask("1", Some(Offset(0))), Verdict::Forgotten);
    assert_eq!(ask("2", Some(Offset(1))), Verdict::Accepted { version: Offset(2) });
    let snapshot = state.to_snapshot().unwrap();
    assert_eq!(snapshot.wins.len(), 256);
    assert_eq!(FoldState::from_snapshot(&snapshot).unwrap(), state);
}
