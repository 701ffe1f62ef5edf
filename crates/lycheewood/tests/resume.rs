//! Which events continue a stream.

use lycheewood::{EventDecision, EventOrigin, EventSequence, is_same_media_type};

/// Guards against events that a caller gets twice, and against a stream that starts again from its first event because
/// its events have no ids.
#[test]
fn events_follow_the_last_one_that_the_caller_has() {
    let mut sequence = EventSequence::after(None);
    assert!(sequence.can_resume());
    for id in [Some(1), None, Some(2)] {
        assert_eq!(sequence.judge(id, EventOrigin::First), EventDecision::Forward);
        sequence.record(id);
    }
    assert_eq!(sequence.last_id(), Some(2));
    assert_eq!(sequence.judge(Some(2), EventOrigin::First), EventDecision::Repeated);
    assert_eq!(sequence.judge(Some(3), EventOrigin::First), EventDecision::Forward);
    assert!(sequence.can_resume());
    let mut unnumbered = EventSequence::after(None);
    unnumbered.record(None);
    assert!(!unnumbered.can_resume());
}

/// Guards against a gap in a stream that is passed on as complete, and against one that is seen in a stream whose ids
/// are not consecutive anyway.
#[test]
fn a_resumed_stream_continues_with_the_next_event() {
    let mut sequence = EventSequence::after(None);
    sequence.record(Some(1));
    sequence.record(Some(2));
    let (unproved, proved) = (
        EventOrigin::Resumed { has_continued: false },
        EventOrigin::Resumed { has_continued: true },
    );
    for (id, origin, expected) in [
        (Some(2), unproved, EventDecision::Repeated),
        (Some(3), unproved, EventDecision::Forward),
        (Some(4), unproved, EventDecision::Gap),
        (Some(4), proved, EventDecision::Gap),
        (Some(4), EventOrigin::First, EventDecision::Forward),
        (None, unproved, EventDecision::Repeated),
        (None, proved, EventDecision::Forward),
    ] {
        assert_eq!(sequence.judge(id, origin), expected, "{id:?} from {origin:?}");
    }
    sequence.record(Some(10));
    assert_eq!(sequence.judge(Some(20), unproved), EventDecision::Forward);
}

/// Guards against a document that is passed on as the rest of an event stream.
#[test]
fn parameters_of_a_content_type_may_differ() {
    let first = Some("text/event-stream".as_bytes());
    assert!(is_same_media_type(first, Some(b"Text/Event-Stream ; charset=utf-8")));
    assert!(!is_same_media_type(first, Some(b"application/json")));
    assert!(!is_same_media_type(first, None));
    assert!(is_same_media_type(None, None));
}
