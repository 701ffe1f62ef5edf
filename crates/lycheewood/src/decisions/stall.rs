//! Detection of a stalled endpoint: one that sends nothing while others of the same service respond.
//!
//! The ranks of a group wait for each other, so when all endpoints of a group pause, a retry on another
//! endpoint does not help. A single silent endpoint indicates a hung or disconnected machine.

/// Time without data after which a stream may be resumed on another endpoint, in milliseconds. Several times
/// the longest pause within the target, and well below the two seconds after which callers give up.
const STREAM_STALL_MS: u64 = 700;
/// Time without a response head after which a request may be retried on another endpoint, in milliseconds.
/// Longer than for a stream because the request may be queued at the endpoint.
const HEAD_STALL_MS: u64 = 1_100;
/// Maximum age of the last response from another endpoint that shows that the service works, in milliseconds.
const OTHERS_ACTIVE_MS: u64 = 300;

/// Multiple of the target latency after which the answer of a plain service counts as lost. Its work takes a fraction
/// of the target, also with a short queue at the endpoint.
const LOST_ANSWER_TARGETS: u64 = 2;

/// Time without a response after which the answer to a request to a plain service counts as lost, in milliseconds. At
/// least half of the time that its caller waits is left then, which is enough for another attempt.
#[must_use]
pub fn lost_answer_ms(target_ms: u64, timeout_ms: u64) -> u64 {
    (target_ms * LOST_ANSWER_TARGETS).min(timeout_ms / 2).min(HEAD_STALL_MS)
}

/// The part of a response that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The response head.
    Head,
    /// The next event of the stream.
    Event,
}

/// Time without data after which the caller should check [`is_stalled`], in milliseconds.
#[must_use]
pub const fn stall_timeout_ms(part: ResponsePart) -> u64 {
    match part {
        ResponsePart::Head => HEAD_STALL_MS,
        ResponsePart::Event => STREAM_STALL_MS,
    }
}

/// Whether an endpoint that has sent nothing for `silent_ms` is stalled. `others_ms` is the time since any
/// other endpoint of the service last sent data.
#[must_use]
pub fn is_stalled(part: ResponsePart, silent_ms: u64, others_ms: Option<u64>) -> bool {
    silent_ms >= stall_timeout_ms(part) && others_ms.is_some_and(|age| age <= OTHERS_ACTIVE_MS)
}

/// Whether an endpoint that has sent no response head may have queued the request: more requests are in flight there
/// than it runs concurrently. Such an endpoint is busy and not stalled, and at another one the request would queue
/// again.
#[must_use]
pub fn may_be_queued(part: ResponsePart, in_flight: u32, slots: u32) -> bool {
    part == ResponsePart::Head && in_flight > slots
}
