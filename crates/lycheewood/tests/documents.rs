//! Documents in a whole deployment: races, lost replies, expired records, outages and a log whose end offset
//! decreases.

#[path = "support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{DOCUMENT, Deployment, client};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use lycheewood::publication::{
    Change, Publication, PublicationState, Record, RecordView, encode_record,
};
use lycheewood::{Entry, Offset, PublicationId, RawDocument, Timestamp};
use stand_ins::engine::EngineFaults;
use stand_ins::faults::Outage;
use stand_ins::log::Log;
use tokio::time::{sleep, timeout};

const TIMING: &str = "\
timing: {heartbeat_ms: 50, silence_ms: 1000, long_poll_ms: 300, platform_reply_ms: 300, \
load_report_ms: 50, reconnect_max_ms: 100}
";
/// Snapshots are due after about one second. The key window must be shorter than the retention.
const SHORT_RETENTION: &str = "\
timing: {long_poll_ms: 300, platform_reply_ms: 300, reconnect_max_ms: 100, \
log_retention_ms: 3000, key_window_ms: 500, clock_skew_ms: 100}
";
const WAIT_MS: u64 = 20_000;

fn publication(id: &str, base: Option<Offset>) -> String {
    let (raw, _) = RawDocument::from_yaml(DOCUMENT).expect("the document is valid");
    let id = PublicationId::new(id);
    encode_record(&Record::Publication(Publication {
        id,
        base,
        change: Change::Document(raw.to_value()),
    }))
}

/// The state after the first `records` records of the log, as a snapshot.
fn snapshot(deployment: &Deployment, records: usize) -> String {
    let mut state = PublicationState::default();
    for record in deployment.log.records("documents").iter().take(records) {
        let appended = Timestamp::from_unix_ms(record.appended_unix_ms);
        let offset = Offset(record.offset);
        let view = RecordView { offset, appended, payload: &record.payload };
        state.apply(&view).expect("the records are adjacent");
    }
    encode_record(&Record::Snapshot(state.to_snapshot().expect("a state")))
}

async fn get(address: SocketAddr, path: &str) -> String {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default());
    let reply = client().request(request.expect("a valid request")).await.expect("a reply");
    let body = reply.into_body().collect().await.expect("a whole body").to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

fn admin_addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let entries = deployment.entries.iter().map(Entry::admin_address);
    entries.chain(deployment.slots.iter().map(|slot| slot.daemon.admin_address())).collect()
}

/// The version in force on each node, once it is at least `version`.
fn versions_in_force(deployment: &Deployment, version: Offset) -> Vec<Option<u64>> {
    let path = format!("/state?min_version={version}&wait_ms={WAIT_MS}");
    let node = |address| {
        let state = deployment.runtime.block_on(get(address, &path));
        let state: serde_json::Value = serde_json::from_str(&state).expect("a JSON state");
        state["document"]["version"].as_u64()
    };
    admin_addresses(deployment).into_iter().map(node).collect()
}

/// Publishes on `base` and asserts that every node puts that document in force, which it does only if it has
/// `base` in force.
fn assert_in_force(deployment: &Deployment, base: Offset) {
    let next = deployment.publish(DOCUMENT, Some(base));
    for version in versions_in_force(deployment, next) {
        assert_eq!(version, Some(next.0), "a node has not put the publication on {base} in force");
    }
}

/// Guards against nodes that disagree on the winner when operators edit the same version at once.
#[test]
fn one_publication_of_a_race_wins_on_every_node() {
    let mut deployment = Deployment::platform(TIMING);
    let base = deployment.publish(DOCUMENT, None);
    deployment.add_engines(2, &EngineFaults::default());
    deployment.serve_with(3);
    deployment.runtime.block_on(async {
        let append = |index: usize| {
            let log = deployment.log_client();
            let record = publication(&format!("operator-{index}"), Some(base));
            tokio::spawn(async move { log.append("documents", record).await.expect("an offset") })
        };
        let appends: Vec<_> = (0..8).map(append).collect();
        for append in appends {
            append.await.expect("an operator");
        }
    });
    for version in versions_in_force(&deployment, base.next()) {
        assert_eq!(version, Some(base.next().0), "the first one in log order is accepted");
    }
    assert_in_force(&deployment, base.next());
}

/// Guards against a publication that counts twice, because its reply was lost and its operator appended
/// it again.
#[test]
fn a_publication_appended_again_after_a_lost_reply_counts_once() {
    let mut deployment = Deployment::platform(TIMING);
    let base = deployment.publish(DOCUMENT, None);
    deployment.log.set_faults(|faults| faults.common.lose_next_replies = 1);
    let record = publication("operator", Some(base));
    deployment.runtime.block_on(async {
        let log = deployment.log_client();
        assert!(log.append("documents", record.clone()).await.is_err(), "the reply is lost");
        log.append("documents", record).await.expect("an offset");
    });
    // Nodes that start now apply both records in one page.
    deployment.serve_with(2);
    assert_eq!(versions_in_force(&deployment, base.next()), [Some(base.next().0); 2]);
    assert_in_force(&deployment, base.next());
}

/// Guards against a document that is lost when the log expires its publication.
#[test]
fn a_new_entry_starts_from_a_snapshot_once_records_have_expired() {
    let mut deployment = Deployment::platform(SHORT_RETENTION);
    let version = deployment.publish(DOCUMENT, None);
    deployment.serve_with(2);
    deployment.runtime.block_on(async {
        let written = deployment.log.wait_for_records("documents", 2);
        let written = timeout(Duration::from_millis(WAIT_MS), written).await;
        written.expect("no snapshot was written");
    });
    deployment.log.expire_before(1);
    deployment.add_entry();
    let entry = deployment.entries.last().expect("an entry");
    assert!(entry.wait_until_version(version, WAIT_MS), "no document after its record expired");
    assert_in_force(&deployment, version);
}

/// Guards against a new entry that has no document, or an old one, while the log is down.
#[test]
fn a_new_entry_takes_the_newest_state_of_its_peers() {
    let mut deployment = Deployment::platform(TIMING);
    let old = deployment.publish(DOCUMENT, None);
    // The first daemon is behind: it reads a log that ends before the second publication.
    let first = deployment.log.records("documents").remove(0);
    let behind = deployment.runtime.block_on(async {
        let log = Log::start().expect("start a log");
        log.append("documents", &first.payload).await;
        log
    });
    let current_log = std::mem::replace(&mut deployment.log_address, behind.address());
    deployment.add_engine(EngineFaults::default());
    deployment.log_address = current_log;
    deployment.add_engine(EngineFaults::default());
    let version = deployment.publish(DOCUMENT, Some(old));
    deployment.announce();
    let ahead = deployment.slots[1].daemon.admin_address();
    let path = format!("/state?min_version={version}&wait_ms={WAIT_MS}");
    deployment.runtime.block_on(get(ahead, &path));
    deployment.log.set_faults(|faults| faults.common.outage = Outage::Unavailable);
    deployment.add_entry();
    assert!(deployment.entries[0].wait_until_ready(2, WAIT_MS), "no peers");
    assert!(deployment.entries[0].wait_until_version(version, WAIT_MS), "no state from its peers");
    deployment.log.set_faults(|faults| faults.common.outage = Outage::None);
    let next = deployment.publish(DOCUMENT, Some(version));
    assert!(
        deployment.entries[0].wait_until_version(next, WAIT_MS),
        "the entry has another version in force"
    );
}

/// Guards against a document that reverts to an older version because the log replies with a lower end
/// offset.
#[test]
fn an_older_end_of_the_log_is_counted_and_not_applied() {
    let mut deployment = Deployment::platform(TIMING);
    let old = deployment.publish(DOCUMENT, None);
    let version = deployment.publish(DOCUMENT, Some(old));
    deployment.serve_with(1);
    assert!(deployment.entries[0].wait_until_version(version, WAIT_MS));
    deployment.log.set_faults(|faults| faults.report_end = Some(1));
    let admin = deployment.entries[0].admin_address();
    deployment.runtime.block_on(async {
        let counted = async {
            loop {
                let metrics = get(admin, "/metrics").await;
                let name = "lycheewood_log_end_reversals_total ";
                let line = metrics.lines().find_map(|line| line.strip_prefix(name));
                if line.is_some_and(|count| count != "0") {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        let counted = timeout(Duration::from_millis(WAIT_MS), counted).await;
        counted.expect("the lower end offset was not counted");
    });
    assert_eq!(versions_in_force(&deployment, version), [Some(version.0)]);
    deployment.log.set_faults(|faults| faults.report_end = None);
    assert_in_force(&deployment, version);
}

/// Guards against an older document that comes back into force when a paused process appends its snapshot
/// late.
#[test]
fn a_late_snapshot_changes_nothing() {
    let mut deployment = Deployment::platform(TIMING);
    let old = deployment.publish(DOCUMENT, None);
    let version = deployment.publish(DOCUMENT, Some(old));
    deployment.serve_with(1);
    assert!(deployment.entries[0].wait_until_version(version, WAIT_MS));
    let (late, complete) = (snapshot(&deployment, 1), snapshot(&deployment, 2));
    deployment.runtime.block_on(deployment.log.append("documents", &late));
    // The late snapshot is the only readable record. The record after its `upto` has expired, so a node cannot
    // start from it.
    deployment.log.expire_before(2);
    deployment.add_entry();
    let new = deployment.entries.last().expect("an entry");
    assert!(!new.wait_until_version(old, 1_000), "the new entry started from the late snapshot");
    deployment.runtime.block_on(deployment.log.append("documents", &complete));
    assert!(new.wait_until_version(version, WAIT_MS), "the new entry has no document");
    assert_in_force(&deployment, version);
}
