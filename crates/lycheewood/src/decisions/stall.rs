//! Whether an endpoint is stuck: silent although the others of its service answer.
//!
//! The ranks of a group wait for each other, so a group that stands still is no reason to leave a
//! endpoint. One endpoint that is silent alone is: its machine stands still or is cut off.

/// A stream that pauses for this long may be continued elsewhere, in milliseconds. Several times the
/// longest pause that is on time, and well below the two seconds after which callers leave.
const STREAM_SILENT_MS: u64 = 700;
/// The same for an answer that has not begun, in milliseconds. Longer, because the request may wait in
/// the endpoint's queue.
const HEAD_SILENT_MS: u64 = 1_100;
/// Another endpoint must have answered this recently to show that the service works, in milliseconds.
const OTHERS_MS: u64 = 300;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The head of its answer.
    Head,
    /// The next event of its stream.
    Event,
}

/// How long an endpoint may be silent before [`is_stuck`] is worth asking, in milliseconds.
#[must_use]
pub const fn patience_ms(awaited: Awaited) -> u64 {
    match awaited {
        Awaited::Head => HEAD_SILENT_MS,
        Awaited::Event => STREAM_SILENT_MS,
    }
}

/// Whether an endpoint that has been silent for `silent_ms` is stuck, when the last sign of life of any other
/// endpoint of its service is `others_ms` old.
#[must_use]
pub fn is_stuck(awaited: Awaited, silent_ms: u64, others_ms: Option<u64>) -> bool {
    silent_ms >= patience_ms(awaited) && others_ms.is_some_and(|age| age <= OTHERS_MS)
}
