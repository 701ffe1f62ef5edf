//! Which events continue a stream.

use lycheewood::{EventDecision, EventSequence};

/// Guards against events that a caller gets twice, and against a stream that starts again from its first event because
/// its events have no ids.
#[test]
fn events_follow_the_last_one_that_the_caller_has() {
    let mut sequence = EventSequence::after(None);
    assert!(sequence.can_resume());
    for id in [Some(1), None, Some(2)] {
        assert_eq!(sequence.judge(id), EventDecision::Forward);
        sequence.record(id);
    }
    assert_eq!(sequence.last_id(), Some(2));
    assert_eq!(sequence.judge(Some(2)), EventDecision::Repeated);
    assert_eq!(sequence.judge(Some(3)), EventDecision::Forward);
    assert!(sequence.can_resume());
    let mut unnumbered = EventSequence::after(None);
    unnumbered.record(None);
    assert!(!unnumbered.can_resume());
}
