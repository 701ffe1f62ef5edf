//! The memory budget of a process, and buffers that take their bytes from it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::decisions::memory::{
    MemoryUse, budget_bytes, buffer_capacity, may_reserve, response_wait_ms,
};

/// The budget has no room for the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is used up; send the request again later")]
pub struct BudgetExhausted;

/// The bytes that a process may hold for connections, requests and responses. Clones share the budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// `None` if the memory is not limited.
    total_bytes: Option<usize>,
    used_bytes: AtomicUsize,
    /// Whether requests were refused since the budget was last used by less than half.
    is_refusing: AtomicBool,
    /// Notified when bytes are returned.
    returned: Notify,
}

impl MemoryBudget {
    /// The budget of a process on a machine with `memory_bytes`; 0 for no limit.
    #[must_use]
    pub fn for_machine(memory_bytes: u64) -> Self {
        Self(Arc::new(Shared {
            total_bytes: budget_bytes(memory_bytes),
            used_bytes: AtomicUsize::new(0),
            is_refusing: AtomicBool::new(false),
            returned: Notify::new(),
        }))
    }

    /// The bytes in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }

    /// Whether `bytes` could be reserved now. Nothing is reserved.
    #[must_use]
    pub fn has_room(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        self.0.total_bytes.is_none_or(|total_bytes| {
            may_reserve(total_bytes, self.used_bytes(), memory_use, bytes, bytes)
        })
    }

    /// Reserves `bytes` until the reservation is dropped.
    ///
    /// # Errors
    ///
    /// When the budget has no room for them.
    pub fn reserve(
        &self,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> Result<Reservation, BudgetExhausted> {
        let mut reservation = Reservation { budget: self.clone(), memory_use, bytes: 0 };
        reservation.grow_to(bytes).map(|()| reservation)
    }

    /// Reserves `bytes` even if that exceeds the budget, for a connection that takes the place of another one.
    pub(crate) fn charge(&self, memory_use: MemoryUse, bytes: usize) -> Reservation {
        self.0.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        Reservation { budget: self.clone(), memory_use, bytes }
    }

    /// Records that a request was refused because the budget is used up.
    pub(crate) fn note_refusal(&self) {
        if !self.0.is_refusing.swap(true, Ordering::Relaxed) {
            log::warn!("memory budget used up used_bytes={}", self.used_bytes());
        }
    }

    fn return_bytes(&self, bytes: usize) {
        let Shared { total_bytes, used_bytes, is_refusing, returned } = &*self.0;
        let left_bytes = used_bytes.fetch_sub(bytes, Ordering::Relaxed) - bytes;
        returned.notify_waiters();
        if is_refusing.load(Ordering::Relaxed)
            && total_bytes.is_some_and(|total_bytes| left_bytes < total_bytes / 2)
            && is_refusing.swap(false, Ordering::Relaxed)
        {
            log::info!("memory budget has room again used_bytes={left_bytes}");
        }
    }

    /// Waits until bytes are returned after this call.
    pub(crate) fn returned(&self) -> tokio::sync::futures::Notified<'_> {
        self.0.returned.notified()
    }
}

/// Bytes of the budget, returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    memory_use: MemoryUse,
    bytes: usize,
}

impl Reservation {
    /// The reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the reservation to `bytes`. A smaller value changes nothing.
    ///
    /// # Errors
    ///
    /// When the budget has no room for the difference; the reservation stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let more_bytes = bytes.saturating_sub(self.bytes);
        let Shared { total_bytes, used_bytes, .. } = &*self.budget.0;
        let grow = |used: usize| {
            let is_allowed = total_bytes
                .is_none_or(|total| may_reserve(total, used, self.memory_use, bytes, more_bytes));
            is_allowed.then(|| used.saturating_add(more_bytes))
        };
        used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .map_err(|_| BudgetExhausted)?;
        self.bytes += more_bytes;
        Ok(())
    }

    /// Returns what exceeds `bytes`.
    fn shrink_to(&mut self, bytes: usize) {
        let returned_bytes = self.bytes.saturating_sub(bytes);
        self.bytes -= returned_bytes;
        self.budget.return_bytes(returned_bytes);
    }

    /// Raises the reservation to `bytes` as soon as the budget has room for the difference.
    ///
    /// # Errors
    ///
    /// When it has none within `wait_ms` milliseconds; the reservation stays as it is.
    pub(crate) async fn grow_within(
        &mut self,
        bytes: usize,
        wait_ms: u64,
    ) -> Result<(), BudgetExhausted> {
        let grown = timeout(Duration::from_millis(wait_ms), self.grow_when_free(bytes)).await;
        grown.map_err(|_| BudgetExhausted)
    }

    /// Raises the reservation to `bytes` as soon as the budget has room for the difference.
    pub(crate) async fn grow_when_free(&mut self, bytes: usize) {
        let budget = self.budget.clone();
        loop {
            let returned = budget.returned();
            if self.grow_to(bytes).is_ok() {
                return;
            }
            returned.await;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.return_bytes(self.bytes);
    }
}

/// A body that is being read, in one contiguous buffer. Bytes are copied into it, because a frame of the HTTP
/// library keeps the whole buffer that it was read into.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
    /// Reserved for the request or response beside its body.
    base_bytes: usize,
    /// Copies of the body that its request makes, this one included.
    copies: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// An empty buffer for at most `max_bytes`. What is reserved already covers what the body belongs to.
    #[must_use]
    pub fn new(reservation: Reservation, max_bytes: usize) -> Self {
        let base_bytes = reservation.bytes();
        Self { bytes: Vec::new(), reservation, base_bytes, copies: 1, max_bytes }
    }

    /// Reserves `copies` times the bytes of the body.
    #[must_use]
    pub fn with_copies(self, copies: usize) -> Self {
        Self { copies, ..self }
    }

    /// Number of bytes read so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// When the budget has no room for them; the buffer stays as it is.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), BudgetExhausted> {
        let capacity = self.needed_capacity(bytes.len());
        self.reservation.grow_to(self.base_bytes + self.copies * capacity)?;
        self.append(bytes, capacity);
        Ok(())
    }

    /// Appends bytes as soon as the budget has room for them.
    ///
    /// # Errors
    ///
    /// When it has none within the time that a response of unknown length waits; the buffer stays as it is.
    pub(crate) async fn push_within(&mut self, bytes: &[u8]) -> Result<(), BudgetExhausted> {
        let capacity = self.needed_capacity(bytes.len());
        let wait_ms = response_wait_ms(self.bytes.len(), self.max_bytes);
        self.reservation.grow_within(self.base_bytes + self.copies * capacity, wait_ms).await?;
        self.append(bytes, capacity);
        Ok(())
    }

    /// Appends bytes as soon as the budget has room for them.
    pub(crate) async fn push_when_free(&mut self, bytes: &[u8]) {
        let capacity = self.needed_capacity(bytes.len());
        self.reservation.grow_when_free(self.base_bytes + self.copies * capacity).await;
        self.append(bytes, capacity);
    }

    /// The capacity with which the buffer has room for more bytes.
    fn needed_capacity(&self, more_bytes: usize) -> usize {
        let needed_bytes = self.bytes.len() + more_bytes;
        if needed_bytes <= self.bytes.capacity() {
            return self.bytes.capacity();
        }
        buffer_capacity(needed_bytes, self.max_bytes)
    }

    fn append(&mut self, bytes: &[u8], capacity: usize) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// The whole body and its reservation.
    #[must_use]
    pub fn into_parts(self) -> (Vec<u8>, Reservation) {
        (self.bytes, self.reservation)
    }

    /// The whole body. The reservation lasts until the last clone of it is dropped.
    #[must_use]
    pub fn finish(self) -> Bytes {
        let Self { mut bytes, mut reservation, base_bytes, copies, .. } = self;
        bytes.shrink_to_fit();
        reservation.shrink_to(base_bytes + copies * bytes.len());
        Bytes::from_owner(Held { bytes, _held: reservation })
    }
}

/// Bytes that keep something until they are dropped.
struct Held<B, H> {
    bytes: B,
    _held: H,
}

impl<B: AsRef<[u8]>, H> AsRef<[u8]> for Held<B, H> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Keeps `held` until the last clone of the bytes is dropped.
pub(crate) fn hold_with<H: Send + 'static>(bytes: Bytes, held: H) -> Bytes {
    Bytes::from_owner(Held { bytes, _held: held })
}
