//! Acquires, renews and releases the lease over all groups through records in the log.
//!
//! A separate task calls the log, so that a switch never waits for a log that does not respond. The group
//! controller reads the lease state that it shares with the task, and sets the goal of the task.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::{Clock, Timestamp};
use crate::decisions::log_lease::{
    GroupLeaseRecord, HolderFailureDetector, LeaseState, term_map_version,
};
use crate::decisions::peers::PeerTable;
use crate::gateway::GatewayState;
use crate::group_ports::{AppendOutcome, LeaseLog};
use crate::ids::{Incarnation, Offset};

/// Minimum delay after a failed call to the log, in milliseconds. Each call is billed, and an outage of the log
/// rarely ends within a shorter time.
const RETRY_DELAY_MS: u64 = 400;

/// The goal that the group controller sets for the lease task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LeaseGoal {
    /// Only observe the lease.
    #[default]
    Follow,
    /// Acquire the lease and renew it.
    Hold,
    /// Release the lease.
    Release,
}

/// State shared by the lease task and its handles.
#[derive(Debug, Default)]
struct SharedLease {
    state: LeaseState,
    goal: LeaseGoal,
    /// Time for which the lease must have been free, and wanted by this process, before this process acquires it, in
    /// milliseconds.
    takeover_delay_ms: u64,
    /// When the goal was set.
    goal_since: Timestamp,
    /// Number of map versions that were assigned in this term.
    map_count: u64,
    /// Process that wrote the last record, and its peer address; `None` if it is this process or unknown.
    holder: Option<(Incarnation, SocketAddr)>,
    holder_watch: HolderFailureDetector,
}

/// Handle to the lease of this process.
#[derive(Clone)]
pub(super) struct LeaseHandle {
    shared: Arc<Mutex<SharedLease>>,
    /// Notified when the goal or the state is changed by a handle.
    changed: Arc<Notify>,
    clock: Clock,
}

impl LeaseHandle {
    /// Starts the lease task on the current runtime.
    pub(super) fn start(gateway: &GatewayState, log: Arc<dyn LeaseLog>) -> Self {
        let (clock, incarnation) = (gateway.clock, gateway.incarnation);
        let lease = Self { shared: Arc::default(), changed: Arc::default(), clock };
        let address = gateway.settings.peer_address;
        let lease_task = LeaseTask {
            log,
            incarnation,
            address,
            lease: lease.clone(),
            last_failure: Timestamp::default(),
        };
        tokio::spawn(lease_task.run());
        lease
    }

    fn lock(&self) -> MutexGuard<'_, SharedLease> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the lease currently permits orders to ranks.
    pub(super) fn may_issue_orders(&self) -> bool {
        self.lock().state.may_issue_orders(self.clock.now())
    }

    /// Whether the last call to the log got no reply.
    pub(super) fn is_log_unreachable(&self) -> bool {
        self.lock().state.is_log_unreachable()
    }

    /// The last known end of the log.
    pub(super) fn end(&self) -> u64 {
        self.lock().state.end
    }

    /// Fencing number of the current term, or `None` if the lease is not held.
    pub(super) fn fence(&self) -> Option<u64> {
        self.lock().state.fence()
    }

    /// Records the end of the log that the lease holder reports, and stops trying to acquire the lease.
    pub(super) fn on_peer_lease_end(&self, end: u64) {
        let mut shared = self.lock();
        shared.state.record_announced_end(end, self.clock.now());
        drop(shared);
        self.set_goal(LeaseGoal::Follow);
    }

    /// Frees the lease if heartbeats show that another process now uses the address of the last holder, which
    /// has therefore ended.
    pub(super) fn check_holder(&self, gateway: &GatewayState, peers: &PeerTable) {
        let mut shared = self.lock();
        let Some((holder, address)) = shared.holder else { return };
        let has_ended = if address == gateway.settings.peer_address {
            // An earlier process at the address of this one has ended.
            holder != gateway.incarnation
        } else {
            let Some(peer) = peers.peers.get(&address) else { return };
            let heartbeat = &peer.heartbeat;
            shared.holder_watch.has_ended(holder, heartbeat.incarnation, heartbeat.sequence)
        };
        if has_ended {
            log::info!(
                "group lease free holder={holder} address={address} reason=\"the holder has ended\""
            );
            shared.holder = None;
            shared.state.set_released(true);
            drop(shared);
            self.changed.notify_one();
        }
    }

    fn set_goal(&self, goal: LeaseGoal) {
        let mut shared = self.lock();
        if shared.goal != goal {
            shared.goal = goal;
            shared.goal_since = self.clock.now();
            drop(shared);
            self.changed.notify_one();
        }
    }

    /// Gives up the term because another process holds the lease, as reported by an agent or a peer.
    pub(super) fn on_superseded(&self) {
        log::warn!("group lease superseded fence={:?}", self.fence());
        self.lock().state.mark_lost();
        self.changed.notify_one();
    }

    /// Acquires the lease once it has been free for `takeover_delay_ms` milliseconds, and then renews it.
    pub(super) fn acquire_after(&self, takeover_delay_ms: u64) {
        self.lock().takeover_delay_ms = takeover_delay_ms;
        self.set_goal(LeaseGoal::Hold);
    }

    /// Releases the lease, so that another process can acquire it without waiting for its expiry.
    pub(super) fn release(&self) {
        self.set_goal(LeaseGoal::Release);
    }

    /// Assigns a version to a new map. Returns `None` if the lease is not held.
    pub(super) fn next_version(&self) -> Option<u64> {
        let mut shared = self.lock();
        let fence = shared.state.fence()?;
        shared.map_count += 1;
        Some(term_map_version(fence, shared.map_count))
    }
}

/// The task that calls the log.
struct LeaseTask {
    log: Arc<dyn LeaseLog>,
    incarnation: Incarnation,
    /// Peer address of this instance.
    address: SocketAddr,
    lease: LeaseHandle,
    /// When a call last failed.
    last_failure: Timestamp,
}

impl LeaseTask {
    async fn run(mut self) {
        let changed = Arc::clone(&self.lease.changed);
        loop {
            let wait_ms = self.next_call_at().map(|due| due.ms_since(self.now()));
            match wait_ms {
                Some(0) => self.make_due_call().await,
                // The loop computes the due time again, whether the wait timed out or was notified.
                Some(wait_ms) => {
                    let _ = timeout(Duration::from_millis(wait_ms), changed.notified()).await;
                }
                None => changed.notified().await,
            }
        }
    }

    /// When the next call to the log is due, or `None` if none is due until something changes.
    fn next_call_at(&self) -> Option<Timestamp> {
        let (state, goal, goal_since, takeover_delay_ms) = {
            let shared = self.lease.lock();
            (shared.state, shared.goal, shared.goal_since, shared.takeover_delay_ms)
        };
        let is_held = state.fence().is_some();
        let due = match goal {
            // The log is read at startup, because the wait for the lease to expire starts at the first read
            // and then passes while groups form.
            _ if !state.is_read() => Some(Timestamp::default()),
            LeaseGoal::Hold if is_held => state.renewal_due_at(),
            // The lease may have been free for long when groups appear. All instances then want it at once.
            LeaseGoal::Hold => {
                state.acquirable_at().map(|free| free.max(goal_since).plus_ms(takeover_delay_ms))
            }
            LeaseGoal::Release if is_held => Some(Timestamp::default()),
            LeaseGoal::Release | LeaseGoal::Follow => None,
        };
        due.map(|due| due.max(self.last_failure.plus_ms(RETRY_DELAY_MS)))
    }

    /// Makes the call to the log that is due.
    async fn make_due_call(&mut self) {
        let (state, goal) = {
            let shared = self.lease.lock();
            (shared.state, shared.goal)
        };
        match goal {
            _ if !state.is_read() => {
                self.read_new_records().await;
            }
            LeaseGoal::Hold if state.fence().is_some() => self.renew().await,
            LeaseGoal::Hold => self.acquire().await,
            LeaseGoal::Release => self.release().await,
            LeaseGoal::Follow => {}
        }
    }

    fn now(&self) -> Timestamp {
        self.lease.clock.now()
    }

    fn state(&self) -> LeaseState {
        self.lease.lock().state
    }

    /// Reads new records, and acquires the lease if they leave it free.
    async fn acquire(&mut self) {
        if !self.read_new_records().await || !self.state().may_acquire(self.now()) {
            return;
        }
        self.lease.lock().map_count = 0;
        if let Some(offset) = self.append(false).await {
            log::info!("group lease acquired holder={} end={}", self.incarnation, offset + 1);
        }
    }

    async fn renew(&mut self) {
        if self.append(false).await.is_none() {
            // An append without a reply may have been written; reading the log shows whether it was.
            self.read_new_records().await;
        }
    }

    async fn release(&mut self) {
        let is_written = self.append(true).await.is_some();
        log::info!("group lease released holder={} written={is_written}", self.incarnation);
        self.lease.lock().state.mark_lost();
    }

    /// Appends a record and returns its offset, or `None` if it was refused or got no reply.
    async fn append(&mut self, is_release: bool) -> Option<u64> {
        let record =
            GroupLeaseRecord { holder: self.incarnation, address: Some(self.address), is_release };
        // Serializing a record to JSON cannot fail.
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let (sent_at, end) = (self.now(), self.state().end);
        match self.log.append_at(end, bytes).await {
            AppendOutcome::Written(offset) => {
                let mut shared = self.lease.lock();
                shared.state.record_append(offset, sent_at, self.now());
                shared.holder = None;
                Some(offset)
            }
            AppendOutcome::EndMismatch => {
                self.last_failure = self.now();
                log::info!("group lease append refused holder={} end={end}", self.incarnation);
                self.read_new_records().await;
                None
            }
            AppendOutcome::Unknown => {
                self.record_failure();
                log::warn!("group lease append without reply holder={}", self.incarnation);
                None
            }
        }
    }

    fn record_failure(&mut self) {
        self.last_failure = self.now();
        self.lease.lock().state.mark_log_unreachable();
    }

    /// Reads the records after the last known end and applies them. Returns whether the log replied.
    async fn read_new_records(&mut self) -> bool {
        let known_end = self.state().end;
        let Some((first, records)) = self.log.read(known_end).await else {
            self.record_failure();
            return false;
        };
        let is_later_era = Offset(first).era() > Offset(known_end).era();
        let mut offset = first;
        // In a later era the log is read from its start, so only its last record shows who holds the lease.
        let mut is_own = !is_later_era;
        let mut is_release = None;
        let mut holder = None;
        for bytes in &records {
            offset += 1;
            match serde_json::from_slice::<GroupLeaseRecord>(bytes) {
                Ok(record) => {
                    let is_own_record = record.holder == self.incarnation;
                    is_own = is_own_record && (is_own || is_later_era);
                    is_release = Some(record.is_release);
                    holder = record.address.map(|address| (record.holder, address));
                }
                Err(error) => {
                    is_own = false;
                    is_release = Some(false);
                    holder = None;
                    log::error!("group record unreadable offset={} reason=\"{error}\"", offset - 1);
                }
            }
        }
        if is_later_era {
            log::info!("group records read again end={offset} known={known_end} is_own={is_own}");
        }
        let mut shared = self.lease.lock();
        if !is_own {
            shared.state.mark_lost();
        }
        if let Some(is_release) = is_release {
            shared.state.set_released(is_release);
            shared.holder = holder.filter(|(holder, _)| *holder != self.incarnation);
            shared.holder_watch = HolderFailureDetector::default();
        }
        let end = offset.max(shared.state.end);
        shared.state.record_read(end, is_own, self.now());
        true
    }
}
