//! The document by workspaces: memory, time to apply, snapshot, and authentication.

use lycheewood::publication::{
    Change, Publication, PublicationState, Record, RecordView, Snapshot, encode_record,
};
use lycheewood::{Offset, PublicationId, RawDocument, Timestamp};
use serde_json::{Value, json};

use crate::{row, rss_kib, time, to_f64};

const WORKSPACES: [usize; 3] = [10, 310, 3_100];
/// Models at the design size.
const MODELS: usize = 14;

pub(crate) fn run() {
    for workspaces in WORKSPACES {
        measure(workspaces);
    }
}

/// Memory of a document in force; the copies show it above the grain of the allocator.
pub(crate) fn memory() -> Vec<PublicationState> {
    const COPIES: usize = 30;
    let mut kept = Vec::new();
    for workspaces in WORKSPACES {
        let first = publication(0, None, Change::Document(whole(workspaces)));
        let before = rss_kib();
        for _ in 0..COPIES {
            let mut state = PublicationState::default();
            apply(&mut state, 0, &first);
            kept.push(state);
        }
        row("document_memory", workspaces, COPIES, (rss_kib() - before) / to_f64(COPIES), "KiB");
    }
    kept
}

fn name(index: usize) -> String {
    format!("workspace-{index:05}")
}

fn digest(index: usize) -> String {
    format!("{index:064x}")
}

/// A document with so many workspaces, each with one token.
pub(crate) fn yaml(workspaces: usize) -> String {
    let models =
        (0..MODELS).map(|m| format!("  - name: model-{m:02}\n    versions: [{{name: v1}}]\n"));
    let served = (0..MODELS).map(|m| format!("model-{m:02}")).collect::<Vec<_>>().join(", ");
    let spaces = (0..workspaces).map(|w| {
        format!(
            "  - name: {}\n    token_sha256: [\"{}\"]\n    rate_per_s: 10\n    burst: 20\n    max_priority: 5\n",
            name(w),
            digest(w + 1)
        )
    });
    format!(
        "schema: 1\nservice: capacity\nmodels:\n{}endpoints:\n  - {{name: engines, models: [{served}]}}\nworkspaces:\n{}deadlines: {{default_ms: 20000, max_ms: 600000}}\nplacement: {{objective: skew}}\n",
        models.collect::<String>(),
        spaces.collect::<String>()
    )
}

fn whole(workspaces: usize) -> Value {
    let (raw, _) = RawDocument::from_yaml(&yaml(workspaces)).expect("the document is valid");
    raw.to_value()
}

fn publication(id: usize, base: Option<u64>, change: Change) -> String {
    let id = PublicationId::new(&format!("01890a5d-ac96-774b-bcce-{id:012}"));
    encode_record(&Record::Publication(Publication { id, base: base.map(Offset), change }))
}

/// A patch that changes the rate of one workspace.
fn patch(index: usize, workspaces: usize) -> Change {
    let mut changed = serde_json::Map::new();
    changed.insert(name(index % workspaces), json!({ "rate_per_s": 11 + index }));
    Change::Patch(json!({ "workspaces": changed }))
}

fn apply(state: &mut PublicationState, offset: u64, payload: &str) {
    let appended = Timestamp::from_unix_ms(1_000 + offset);
    let view = RecordView { offset: Offset(offset), appended, payload };
    let effect = state.apply(&view).expect("the records are contiguous");
    assert!(
        matches!(effect, lycheewood::publication::RecordEffect::Accepted(_)),
        "a change was not accepted: {effect:?}"
    );
}

fn measure(workspaces: usize) {
    let first = publication(0, None, Change::Document(whole(workspaces)));
    row("whole_publication_bytes", workspaces, 1, to_f64(first.len()), "bytes");
    let change = publication(1, Some(0), patch(0, workspaces));
    row("patch_publication_bytes", workspaces, 1, to_f64(change.len()), "bytes");
    let mut state = PublicationState::default();
    apply(&mut state, 0, &first);
    time("fold_whole", workspaces, 2, |_| {
        let mut state = PublicationState::default();
        apply(&mut state, 0, &first);
        state
    });
    let mut changes = 0;
    time("fold_patch", workspaces, 5, |_| {
        changes += 1;
        let base = state.version().map(|version| version.0);
        let payload = publication(changes, base, patch(changes, workspaces));
        let offset = state.next_offset().0;
        apply(&mut state, offset, &payload);
    });
    let snapshot = state.to_snapshot().expect("a record was applied");
    time("snapshot_encode", workspaces, 2, |_| encode(state.to_snapshot()));
    let encoded = encode_record(&Record::Snapshot(snapshot.clone()));
    row("snapshot_bytes", workspaces, 1, to_f64(encoded.len()), "bytes");
    time("snapshot_load", workspaces, 2, |_| PublicationState::from_snapshot(&snapshot));
    let published = state.published().expect("a document is in force");
    let wanted = [0xff; 32];
    time("authenticate", workspaces, 200, |_| {
        published.document.workspace_of_token(&wanted).is_some()
    });
}

fn encode(snapshot: Option<Snapshot>) -> Option<String> {
    snapshot.map(|snapshot| encode_record(&Record::Snapshot(snapshot)))
}
