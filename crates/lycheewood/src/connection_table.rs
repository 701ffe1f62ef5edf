//! The open connections of a port. A connection that is idle makes room for a new one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::clock::{Clock, Timestamp};
use crate::decisions::connections::{IdleConnection, Room, room_for_connection};
use crate::decisions::memory::{CONNECTION_BYTES, MemoryUse};
use crate::memory_budget::{BodyBuffer, MemoryBudget, Reservation};

/// The open connections of a port.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    clock: Clock,
    max: usize,
    budget: MemoryBudget,
    entries: Mutex<Entries>,
    /// Notified when a connection has ended or has become idle.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    next_id: u64,
    open: HashMap<u64, Entry>,
    /// Number of connections that have been told to close.
    closing: usize,
    /// Whether the lack of room has been logged.
    is_full: bool,
}

#[derive(Debug)]
struct Entry {
    requests: usize,
    idle_since: Timestamp,
    is_closing: bool,
    close: Arc<Notify>,
}

impl Entries {
    fn idle(&self) -> impl Iterator<Item = IdleConnection> {
        let open = self.open.iter().filter(|(_, entry)| entry.requests == 0 && !entry.is_closing);
        open.map(|(id, entry)| IdleConnection { id: *id, since: entry.idle_since })
    }

    fn room(&self, max: usize) -> Room {
        room_for_connection(self.open.len(), max, self.idle())
    }

    fn close(&mut self, id: u64) {
        if let Some(entry) = self.open.get_mut(&id) {
            entry.is_closing = true;
            entry.close.notify_one();
            self.closing += 1;
        }
    }
}

impl ConnectionTable {
    pub(crate) fn new(max: usize, budget: MemoryBudget, clock: Clock) -> Arc<Self> {
        let entries = Mutex::default();
        Arc::new(Self { clock, max: max.max(1), budget, entries, changed: Notify::new() })
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The most connections that are open now: fewer than the limit while the budget has no room for another one.
    fn max_now(&self, entries: &Entries) -> usize {
        if self.budget.has_room(MemoryUse::Connection, CONNECTION_BYTES) {
            self.max
        } else {
            self.max.min(entries.open.len())
        }
    }

    /// Logs when there is no room for a further connection unless one is closed, and when less than half of the
    /// connections are open again. To be called for each connection that arrives.
    pub(crate) fn log_change_of_room(&self, port: &str) {
        let mut entries = self.entries();
        let open = entries.open.len();
        if !entries.is_full && open >= self.max_now(&entries) {
            entries.is_full = true;
            log::warn!("connections of instances are all open port={port} open={open}");
        } else if entries.is_full && open < self.max / 2 {
            entries.is_full = false;
            log::info!("connections of instances have room again port={port} open={open}");
        }
    }

    /// Closes the connection other than `own` that has been idle longest, unless one is being closed.
    fn close_other_idle(&self, own: u64) {
        let mut entries = self.entries();
        let others = entries.idle().filter(|connection| connection.id != own);
        if let Room::AfterClosing(id) = room_for_connection(1, 1, others)
            && entries.closing == 0
        {
            entries.close(id);
        }
    }

    /// Whether a further connection can be taken, if need be after an idle one has been closed.
    pub(crate) fn has_room(&self) -> bool {
        let entries = self.entries();
        entries.closing > 0 || entries.room(self.max_now(&entries)) != Room::Full
    }

    /// Waits until a further connection can be taken. Closes the one that has been idle longest if there is no room
    /// otherwise, and waits until it has ended.
    pub(crate) async fn make_room(&self) {
        loop {
            let (changed, returned) = (self.changed.notified(), self.budget.returned());
            {
                let mut entries = self.entries();
                match entries.room(self.max_now(&entries)) {
                    Room::Free => return,
                    Room::AfterClosing(id) if entries.closing == 0 => entries.close(id),
                    Room::AfterClosing(_) | Room::Full => {}
                }
            }
            tokio::select! {
                () = changed => {}
                () = returned => {}
            }
        }
    }

    /// Adds a connection, for which [`ConnectionTable::make_room`] has made room.
    pub(crate) fn open(self: &Arc<Self>) -> ConnectionSlot {
        let close = Arc::new(Notify::new());
        let entry = Entry {
            requests: 0,
            idle_since: self.clock.now(),
            is_closing: false,
            close: Arc::clone(&close),
        };
        let mut entries = self.entries();
        let id = entries.next_id;
        entries.next_id += 1;
        entries.open.insert(id, entry);
        drop(entries);
        let reservation = self.budget.charge(MemoryUse::Connection, CONNECTION_BYTES);
        ConnectionSlot { table: Arc::clone(self), id, close, _reservation: reservation }
    }

    /// Waits until no connection is open.
    pub(crate) async fn all_ended(&self) {
        loop {
            let changed = self.changed.notified();
            if self.entries().open.is_empty() {
                return;
            }
            changed.await;
        }
    }
}

/// An open connection, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    table: Arc<ConnectionTable>,
    id: u64,
    close: Arc<Notify>,
    _reservation: Reservation,
}

impl ConnectionSlot {
    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        if let Some(entry) = self.table.entries().open.get_mut(&self.id) {
            entry.requests += 1;
        }
        RequestGuard { table: Arc::clone(&self.table), id: self.id }
    }

    /// Appends bytes to a body of this connection. While the budget of the table has no room for them, closes the other
    /// connections that have been idle longest.
    pub(crate) async fn push_with_room(&self, body: &mut BodyBuffer, bytes: &[u8]) {
        loop {
            let (changed, returned) = (self.table.changed.notified(), self.table.budget.returned());
            if body.push(bytes).is_ok() {
                return;
            }
            self.table.close_other_idle(self.id);
            tokio::select! {
                () = changed => {}
                () = returned => {}
            }
        }
    }

    /// Waits until this connection has to make room for another one. A request that arrives before it is closed
    /// keeps it open.
    pub(crate) async fn closed_to_make_room(&self) {
        loop {
            self.close.notified().await;
            let mut entries = self.table.entries();
            let Some(entry) = entries.open.get_mut(&self.id) else { return };
            if entry.requests == 0 {
                return;
            }
            entry.is_closing = false;
            entries.closing -= 1;
            self.table.changed.notify_waiters();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut entries = self.table.entries();
        let removed = entries.open.remove(&self.id);
        entries.closing -= usize::from(removed.is_some_and(|entry| entry.is_closing));
        drop(entries);
        self.table.changed.notify_waiters();
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    table: Arc<ConnectionTable>,
    id: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.table.clock.now();
        let mut entries = self.table.entries();
        let Some(entry) = entries.open.get_mut(&self.id) else { return };
        entry.requests -= 1;
        entry.idle_since = now;
        let is_idle = entry.requests == 0;
        drop(entries);
        if is_idle {
            self.table.changed.notify_waiters();
        }
    }
}
