//! An entry that starts when the log has lost its older records.

#[path = "support/deployment.rs"]
mod deployment;

use deployment::{DOCUMENT, Deployment};
use lycheewood::Offset;

/// One long poll; the log answers without records when it has passed.
const WAIT_MS: u64 = 20_000;

/// Guards against the first calls at a fresh entry being refused as expired, because the entry cannot
/// tell them from claims that it has missed.
#[test]
fn a_fresh_entry_marks_a_stream_of_claims_that_has_expired() {
    let mut deployment = Deployment::platform("");
    deployment.publish(DOCUMENT, None);
    deployment.runtime.block_on(deployment.log.append("claims", "expired"));
    let log = deployment.log_client();
    deployment.log.expire_before(1);
    // The document is needed again, since its record has expired as well.
    deployment.publish(DOCUMENT, None);
    deployment.add_entry();
    let page = deployment.runtime.block_on(log.read("claims", Offset(1), WAIT_MS));
    let page = page.expect("the log answers");
    assert_eq!(page.records.len(), 1, "{page:?}");
    assert!(page.records[0].payload.contains(r#""entries":[]"#), "{page:?}");
}
