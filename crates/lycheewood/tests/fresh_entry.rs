//! An entry that starts after the records of the claims stream have expired.

#[path = "support/deployment.rs"]
mod deployment;

use deployment::{DOCUMENT, Deployment};
use lycheewood::Offset;

/// Duration of one long poll. The log replies without records after it.
const WAIT_MS: u64 = 20_000;

/// Guards against a new entry that refuses its first requests as expired, because their keys may be held by
/// claims that expired before it could read them.
#[test]
fn a_fresh_entry_marks_a_stream_of_claims_that_has_expired() {
    let mut deployment = Deployment::platform("");
    deployment.publish(DOCUMENT, None);
    deployment.runtime.block_on(deployment.log.append("claims", "expired"));
    let log = deployment.log_client();
    deployment.log.expire_before(1);
    // The record of the first publication has expired as well.
    deployment.publish(DOCUMENT, None);
    deployment.add_entry();
    let page = deployment.runtime.block_on(log.read("claims", Offset(1), WAIT_MS));
    let page = page.expect("the log answers");
    assert_eq!(page.records.len(), 1, "{page:?}");
    assert!(page.records[0].payload.contains(r#""entries":[]"#), "{page:?}");
}
