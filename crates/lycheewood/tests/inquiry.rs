//! Queries of a request by its key at an entry that cannot look up the key.

#[path = "support/deployment.rs"]
mod deployment;

use bytes::Bytes;
use deployment::{Deployment, TOKEN, send};
use http_body_util::Full;
use hyper::{Request, header};
use lycheewood::{Clock, RequestKey};

/// Guards against an entry that replies that a request has not run although it cannot look up the key. The
/// caller would send the request under a new key, and it could run twice.
#[test]
fn an_unanswered_question_is_no_claim_that_the_request_did_not_run() {
    let mut deployment = Deployment::platform("");
    // Without a document the entry knows no workspace and looks up no key.
    deployment.add_entry();
    let key = RequestKey::generate(Clock::system().now());
    let entry = deployment.entries[0].caller_address();
    let query = Request::get(format!("http://{entry}/v1/requests/{key}"))
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let (status, body) = deployment.runtime.block_on(send(query));
    assert_eq!(status, 504, "{body}");
    assert!(body.contains("lookup_unavailable"), "{body}");
}
