//! Streams whose daemon or engine ends.

use lycheewood::RetryPolicy;

use crate::TOKENS;
use crate::caller::{Call, StreamEnd, whole_answer};
use crate::processes::Deployment;

/// Invariant 2. A stream goes on without a gap or a repeated token when the daemon that serves it dies,
/// or its engine cuts it.
#[test]
fn an_interrupted_stream_goes_on_from_the_next_token() {
    for daemon_dies in [true, false] {
        let mut deployment = Deployment::start(1, 2, 0);
        let prompt = "interrupted";
        deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(10));
        let call = Call::stream(prompt, TOKENS);
        let mut events =
            deployment.runtime.block_on(call.events(deployment.entry(0))).expect("a stream");
        let mut tokens = deployment.runtime.block_on(events.tokens(10));
        let busy = deployment.busy_engine();
        if daemon_dies {
            deployment.engines[busy].daemon.kill();
        } else {
            deployment.engines[busy]
                .backend
                .set_faults(|faults| faults.cut_after_tokens = Some(10));
        }
        // The tokens come as they are produced, not with the end of the answer.
        deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(20));
        tokens.extend(deployment.runtime.block_on(events.tokens(10)));
        deployment.set_engine_faults(|faults| {
            faults.stall_after_tokens = None;
            faults.cut_after_tokens = None;
        });
        let (rest, end) = deployment.runtime.block_on(events.rest());
        tokens.extend(rest);
        let whole = (whole_answer(prompt, TOKENS), StreamEnd::Done);
        assert_eq!((tokens, end), whole, "daemon_dies={daemon_dies}");
    }
}

/// Runs of one attempt on its engine: the endpoint daemon continues a cut stream twice.
const RUNS_OF_AN_ATTEMPT: u64 = 3;

/// Invariant 2, and the bound on attempts. A stream that no engine can continue says so, after as many
/// attempts as the retry policy allows for a request, beside the one that gave its tokens.
#[test]
fn a_stream_that_cannot_go_on_ends_as_an_error() {
    let deployment = Deployment::start(1, 2, 0);
    deployment.set_engine_faults(|faults| faults.stall_after_tokens = Some(10));
    let call = Call::stream("cut", TOKENS);
    let mut events =
        deployment.runtime.block_on(call.events(deployment.entry(0))).expect("a stream");
    let mut tokens = deployment.runtime.block_on(events.tokens(10));
    deployment.set_engine_faults(|faults| {
        faults.stall_after_tokens = None;
        faults.cut_after_tokens = Some(10);
    });
    let (rest, end) = deployment.runtime.block_on(events.rest());
    tokens.extend(rest);
    assert_eq!(end, StreamEnd::Error);
    // The engine sends the token that it stalled at before it looks for the next fault, and the cut may
    // overtake that token.
    assert!((10..=11).contains(&tokens.len()), "{tokens:?}");
    assert!(whole_answer("cut", TOKENS).starts_with(&tokens), "{tokens:?}");
    let runs: u64 = deployment.engines.iter().map(|slot| slot.backend.runs()).sum();
    let attempts = 1 + u64::from(RetryPolicy::default().max_attempts);
    assert!(runs <= attempts * RUNS_OF_AN_ATTEMPT, "{runs} runs");
}
