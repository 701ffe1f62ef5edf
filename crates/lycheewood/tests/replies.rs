//! Assignment of replies to requests.

use lycheewood::{ReplyDecision, judge_reply};

/// Guards against a reply that counts for a request other than its own, and against keeping a connection on which
/// replies cannot be assigned.
#[test]
fn a_reply_counts_for_the_request_whose_id_it_echoes() {
    let accept = |is_kept| ReplyDecision::Accept { is_kept };
    for (echo, is_reused, expected) in [
        (Some("id-2"), false, accept(true)),
        (Some("id-2"), true, accept(true)),
        (Some("id-1"), false, ReplyDecision::Reject),
        (Some("id-1"), true, ReplyDecision::Reject),
        (Some(""), false, ReplyDecision::Reject),
        (None, false, accept(false)),
        (None, true, ReplyDecision::Reject),
    ] {
        let decision = judge_reply(b"id-2", echo.map(str::as_bytes), is_reused);
        assert_eq!(decision, expected, "echo {echo:?}, reused {is_reused}");
    }
}
