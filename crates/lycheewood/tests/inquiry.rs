//! Questions by key at an entry that cannot look the key up.

#[path = "support/deployment.rs"]
mod deployment;

use bytes::Bytes;
use deployment::{Deployment, TOKEN, send};
use http_body_util::Full;
use hyper::{Request, header};
use lycheewood::{Clock, RequestKey};

/// Guards against a question that cannot be answered reading as if the request had not run: its caller
/// would send it under a new key, and it could run twice.
#[test]
fn an_unanswered_question_is_no_claim_that_the_request_did_not_run() {
    let mut deployment = Deployment::platform("");
    // Without a document the entry knows no workspace and looks nothing up.
    deployment.add_entry();
    let key = RequestKey::generate(Clock::system().now());
    let entry = deployment.entries[0].caller_address();
    let question = Request::get(format!("http://{entry}/v1/requests/{key}"))
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let (status, body) = deployment.runtime.block_on(send(question));
    assert_eq!(status, 504, "{body}");
    assert!(body.contains("lookup_unavailable"), "{body}");
}
