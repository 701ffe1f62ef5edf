//! How the memory of a machine is divided among connections, requests and responses.

/// Memory that a process needs beside its budget, in bytes: code, threads, snapshots of control state, and the
/// connections of its other ports. A gateway without callers has 10 to 20 MB resident.
const FIXED_BYTES: u64 = 20_000_000;
/// Part of the rest that is handed out, in percent. The remainder covers fragmentation of the heap, the buffers of
/// the HTTP library and the receive buffers of the kernel.
const BUDGET_PERCENT: u64 = 80;
/// Largest body of a request that counts as small, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Memory of a connection, in bytes: its task, the kernel's structures, and a head of the largest size that the default
/// limits allow.
pub const CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of a request beside its body, in bytes: the connection to the endpoint and the buffers of a stream.
pub const REQUEST_BYTES: usize = 16 * 1024;
/// Memory of the largest request that counts as small, in bytes.
pub const SMALL_REQUEST_BYTES: usize = SMALL_BODY_BYTES + REQUEST_BYTES;
/// Size of the kernel's receive buffer of a connection, in bytes. It limits how much a peer may leave unread, and how
/// much a connection receives in one round trip.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Memory that the kernel may use for a receive buffer of that size, in bytes. It doubles the size for its own
/// structures.
pub const RECEIVE_MEMORY_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;
/// Unit in which the buffer of a body grows, in bytes.
const BUFFER_STEP_BYTES: usize = 16 * 1024;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A connection of a caller.
    Connection,
    /// A request and its body.
    Request,
    /// A response that is read to its end before it is passed on. Its request has run, so it is the last to wait.
    Response,
    /// A response, or an event of one, whose length is not known. It may have no end.
    UnboundedResponse,
}

/// The bytes that a process may hand out on a machine with `memory_bytes`; `None` if that is 0, which means that the
/// memory is not limited.
#[must_use]
pub fn budget_bytes(memory_bytes: u64) -> Option<usize> {
    let free_bytes = memory_bytes.saturating_sub(FIXED_BYTES);
    // A machine that is smaller than expected still serves small requests.
    let budget_bytes = ((free_bytes / 100) * BUDGET_PERCENT).max(memory_bytes / 4);
    (memory_bytes > 0).then(|| usize::try_from(budget_bytes).unwrap_or(usize::MAX))
}

/// The part of the budget that a use must leave free, in bytes. A request leaves more once it is large, so that
/// large ones cannot take what small ones need, and requests leave room for connections and responses.
#[must_use]
pub fn kept_free_bytes(total_bytes: usize, memory_use: MemoryUse, held_bytes: usize) -> usize {
    match memory_use {
        MemoryUse::Request if held_bytes > SMALL_REQUEST_BYTES => total_bytes / 4,
        MemoryUse::UnboundedResponse if held_bytes > SMALL_REQUEST_BYTES => total_bytes / 2,
        MemoryUse::Request => total_bytes / 8,
        MemoryUse::Connection => total_bytes / 16,
        MemoryUse::Response | MemoryUse::UnboundedResponse => 0,
    }
}

/// Whether an item that will hold `held_bytes` in all may take `more_bytes` when `used_bytes` of the budget are in
/// use.
#[must_use]
pub fn may_reserve(
    total_bytes: usize,
    used_bytes: usize,
    memory_use: MemoryUse,
    held_bytes: usize,
    more_bytes: usize,
) -> bool {
    let kept_free_bytes = kept_free_bytes(total_bytes, memory_use, held_bytes);
    used_bytes.saturating_add(more_bytes) <= total_bytes - kept_free_bytes
}

/// The capacity of the buffer of a body that has `needed_bytes` and grows to at most `max_bytes`. The whole capacity is
/// reserved, because the heap does not return the pages of a buffer that was there before; it is at most half more
/// than what has arrived.
#[must_use]
pub fn buffer_capacity(needed_bytes: usize, max_bytes: usize) -> usize {
    let capacity = needed_bytes.saturating_add(needed_bytes / 2);
    capacity.next_multiple_of(BUFFER_STEP_BYTES).min(max_bytes.max(needed_bytes))
}

/// Longest time for which a response of unknown length waits for memory, in milliseconds.
const MAX_RESPONSE_WAIT_MS: u64 = 2_000;

/// How long a response of unknown length waits for memory when it holds `held_bytes` of at most `max_bytes`, in
/// milliseconds. It may have no end, and responses that all wait for each other would keep the memory until their
/// deadlines. The largest gives up first, so that the others can go on.
#[must_use]
pub(crate) fn response_wait_ms(held_bytes: usize, max_bytes: usize) -> u64 {
    let left_bytes = max_bytes.saturating_sub(held_bytes);
    let whole = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
    MAX_RESPONSE_WAIT_MS.saturating_mul(whole(left_bytes)) / whole(max_bytes.max(1))
}
