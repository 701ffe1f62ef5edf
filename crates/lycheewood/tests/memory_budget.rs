//! Decisions about the memory and the connections of a process.

use lycheewood::{
    BodyBuffer, IdleConnection, MemoryBudget, MemoryUse, Room, SMALL_REQUEST_BYTES, Timestamp,
    budget_bytes, buffer_capacity, kept_free_bytes, may_reserve, room_for_connection,
};

/// Largest body that the default limits allow, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Memory of the smallest and the largest machine, in bytes.
const MACHINES_BYTES: [u64; 2] = [112_000_000, 512_000_000];

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

/// Guards against a limit for deployments whose settings name no memory, and against a budget that is all of the machine
/// or too small for one request of the largest size with a response of the largest size.
#[test]
fn the_budget_is_a_part_of_the_machine() {
    assert_eq!(budget_bytes(0), None);
    for memory_bytes in MACHINES_BYTES {
        let budget_bytes = budget_bytes(memory_bytes).expect("a budget");
        assert!(u64::try_from(budget_bytes).expect("a size") < memory_bytes);
        assert!(budget_bytes - budget_bytes / 4 > 2 * MAX_BODY_BYTES);
    }
    assert!(budget_bytes(1_000_000).is_some_and(|bytes| bytes > 0), "a small machine serves");
}

/// Guards against large bodies that take the memory that small requests and connections need, and against responses of
/// requests that have run which wait for requests that have not.
#[test]
fn large_requests_leave_memory_to_the_others() {
    let total = 100 * SMALL_REQUEST_BYTES;
    let kept = |memory_use, held_bytes| kept_free_bytes(total, memory_use, held_bytes);
    let large = kept(MemoryUse::Request, SMALL_REQUEST_BYTES + 1);
    let small = kept(MemoryUse::Request, SMALL_REQUEST_BYTES);
    let connection = kept(MemoryUse::Connection, 1);
    let response = kept(MemoryUse::Response, MAX_BODY_BYTES);
    assert!(large > small && small > connection && connection > response);
    let used = total - large;
    assert!(may_reserve(total, used, MemoryUse::Request, SMALL_REQUEST_BYTES, 1));
    assert!(!may_reserve(total, used, MemoryUse::Request, MAX_BODY_BYTES, 1));
    assert!(may_reserve(total, total - 1, MemoryUse::Response, MAX_BODY_BYTES, 1));
    assert!(!may_reserve(total, total, MemoryUse::Response, MAX_BODY_BYTES, 1));
    assert!(!may_reserve(total, 1, MemoryUse::Response, 1, usize::MAX));
    // One that may have no end leaves room to those that have one.
    assert!(!may_reserve(total, used, MemoryUse::UnboundedResponse, MAX_BODY_BYTES, 1));
    assert!(may_reserve(total, used, MemoryUse::UnboundedResponse, SMALL_REQUEST_BYTES, 1));
}

/// Guards against buffers that grow far beyond what has arrived, or beyond the largest body. All of a buffer is reserved.
#[test]
fn buffers_grow_by_half_up_to_the_largest_size() {
    for needed in [1, SMALL_REQUEST_BYTES, SMALL_REQUEST_BYTES + 1, MAX_BODY_BYTES] {
        let capacity = buffer_capacity(needed, MAX_BODY_BYTES);
        assert!((needed..=MAX_BODY_BYTES).contains(&capacity), "{needed}: {capacity}");
        assert!(capacity <= needed + needed / 2 + 16 * 1024, "{needed}: {capacity}");
    }
    assert_eq!(buffer_capacity(100, 100), 100);
}

/// Guards against bytes that are not returned, or returned before the last clone of a body is dropped.
#[test]
fn bytes_return_with_the_last_clone_of_a_body() {
    let budget = MemoryBudget::for_machine(MACHINES_BYTES[0]);
    let reservation = budget.reserve(MemoryUse::Request, 1_000).expect("room");
    let mut buffer = BodyBuffer::new(reservation, MAX_BODY_BYTES);
    for _ in 0..100_000 {
        buffer.push(b"r").expect("room");
    }
    let growing = budget.used_bytes();
    assert!((101_000..151_000 + 16 * 1024).contains(&growing), "{growing}");
    let body = buffer.finish();
    // One byte at a time costs no more than all at once.
    let used = budget.used_bytes();
    assert_eq!(used, 101_000);
    let clone = body.slice(10..20);
    drop(body);
    assert_eq!((&clone[..], budget.used_bytes()), (&b"rrrrrrrrrr"[..], used));
    drop(clone);
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a budget that is exceeded, and against a refusal that takes bytes.
#[test]
fn a_full_budget_refuses_and_takes_nothing() {
    let budget = MemoryBudget::for_machine(MACHINES_BYTES[0]);
    let mut held = Vec::new();
    while let Ok(reservation) = budget.reserve(MemoryUse::Request, MAX_BODY_BYTES) {
        held.push(reservation);
    }
    let used = budget.used_bytes();
    assert!(budget.reserve(MemoryUse::Request, MAX_BODY_BYTES).is_err());
    assert!(!budget.has_room(MemoryUse::Request, MAX_BODY_BYTES));
    assert_eq!((budget.used_bytes(), used), (used, held.len() * MAX_BODY_BYTES));
    assert!(budget.reserve(MemoryUse::Request, SMALL_REQUEST_BYTES).is_ok(), "small ones fit");
    held.pop();
    assert!(budget.reserve(MemoryUse::Request, MAX_BODY_BYTES).is_ok(), "returned bytes count");
    let unlimited = MemoryBudget::for_machine(0);
    assert!(unlimited.reserve(MemoryUse::Request, usize::MAX / 2).is_ok());
}

/// Guards against closing a connection while there is room, one with a request in progress, or one that has not been
/// idle longest.
#[test]
fn the_connection_that_is_idle_longest_makes_room() {
    let idle = [(4, 300), (2, 100), (9, 200), (7, 100)];
    let idle = || idle.into_iter().map(|(id, ms)| IdleConnection { id, since: at(ms) });
    assert_eq!(room_for_connection(9, 10, idle()), Room::Free);
    assert_eq!(room_for_connection(10, 10, idle()), Room::AfterClosing(2));
    assert_eq!(room_for_connection(11, 10, idle()), Room::AfterClosing(2));
    assert_eq!(room_for_connection(10, 10, std::iter::empty()), Room::Full);
}
