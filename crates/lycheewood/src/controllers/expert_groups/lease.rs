//! Keeps the lease over all groups in the log.
//!
//! A task of its own makes the calls to the log, so that a switch never waits for a log that does not
//! answer. The controller of groups reads the state that the task shares, and says what it wants.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::{Clock, Timestamp};
use crate::decisions::log_lease::{GroupRecord, HolderWatch, LeaseState, tenure_version};
use crate::decisions::peers::PeerTable;
use crate::gateway::GatewayState;
use crate::group_ports::{AppendOutcome, LeaseLog};
use crate::ids::Incarnation;

/// Time until the next call after one that failed, in milliseconds. Each call has a price, and a store that
/// is away is not back at once.
const RETRY_MS: u64 = 400;

/// What the controller of groups wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Wish {
    /// To follow only.
    #[default]
    Follow,
    /// To take the lease, and to keep it.
    Hold,
    /// To give it up.
    Release,
}

#[derive(Debug, Default)]
struct Shared {
    state: LeaseState,
    wish: Wish,
    /// How long the lease must have been free before this process takes it, in milliseconds.
    turn_ms: u64,
    /// Maps that this tenure has given versions to.
    maps: u64,
    /// Who wrote the last record, and where it is heard.
    holder: Option<(Incarnation, SocketAddr)>,
    watch: HolderWatch,
}

/// This process's part in the lease.
#[derive(Clone)]
pub(super) struct LeaseKeeper {
    shared: Arc<Mutex<Shared>>,
    /// Woken when the wish or the state has changed outside the task.
    changed: Arc<Notify>,
    clock: Clock,
}

impl LeaseKeeper {
    /// Starts the task that calls the log on the present runtime.
    pub(super) fn start(gateway: &GatewayState, log: Arc<dyn LeaseLog>) -> Self {
        let (clock, own) = (gateway.clock, gateway.incarnation);
        let keeper = Self { shared: Arc::default(), changed: Arc::default(), clock };
        let address = gateway.settings.peer_address;
        let writer =
            LogWriter { log, own, address, keeper: keeper.clone(), failed: Timestamp::default() };
        tokio::spawn(writer.run());
        keeper
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether orders may be given now.
    pub(super) fn may_order(&self) -> bool {
        self.lock().state.may_order(self.clock.now())
    }

    /// Whether the last call to the log got no answer.
    pub(super) fn is_log_away(&self) -> bool {
        self.lock().state.is_log_away()
    }

    /// Where the log ends, as far as this process knows.
    pub(super) fn end(&self) -> u64 {
        self.lock().state.end
    }

    /// The number of this tenure, if there is one.
    pub(super) fn fence(&self) -> Option<u64> {
        self.lock().state.fence()
    }

    /// Notes where the holder of the lease says that the log ends.
    pub(super) fn note_heard(&self, end: u64) {
        let mut shared = self.lock();
        shared.state.note_heard(end, self.clock.now());
        drop(shared);
        self.wish_for(Wish::Follow);
    }

    /// Notes who is heard where the last holder was. A lease ends with its process.
    pub(super) fn note_peers(&self, gateway: &GatewayState, peers: &PeerTable) {
        let mut shared = self.lock();
        let Some((holder, address)) = shared.holder else { return };
        let has_ended = if address == gateway.settings.peer_address {
            // This process has taken the address of the one before it.
            holder != gateway.incarnation
        } else {
            let Some(peer) = peers.peers.get(&address) else { return };
            let heartbeat = &peer.heartbeat;
            shared.watch.has_ended(holder, heartbeat.incarnation, heartbeat.sequence)
        };
        if has_ended {
            log::info!(
                "group lease free holder={holder} address={address} reason=\"the holder has ended\""
            );
            shared.holder = None;
            shared.state.note_released(true);
            drop(shared);
            self.changed.notify_one();
        }
    }

    fn wish_for(&self, wish: Wish) {
        if std::mem::replace(&mut self.lock().wish, wish) != wish {
            self.changed.notify_one();
        }
    }

    /// Another process holds the lease by now, as an agent says.
    pub(super) fn note_superseded(&self) {
        log::warn!("group lease superseded fence={:?}", self.fence());
        self.lock().state.note_lost();
        self.changed.notify_one();
    }

    /// Asks for the lease, which is taken once nobody has held it for `turn_ms`, and kept.
    pub(super) fn want(&self, turn_ms: u64) {
        self.lock().turn_ms = turn_ms;
        self.wish_for(Wish::Hold);
    }

    /// Gives the lease up, so that another process takes it at once.
    pub(super) fn release(&self) {
        self.wish_for(Wish::Release);
    }

    /// A version for a new map, if the lease is held.
    pub(super) fn next_version(&self) -> Option<u64> {
        let mut shared = self.lock();
        let fence = shared.state.fence()?;
        shared.maps += 1;
        Some(tenure_version(fence, shared.maps))
    }
}

/// Makes the calls to the log.
struct LogWriter {
    log: Arc<dyn LeaseLog>,
    own: Incarnation,
    /// Where other instances hear this one.
    address: SocketAddr,
    keeper: LeaseKeeper,
    /// When a call last failed.
    failed: Timestamp,
}

impl LogWriter {
    async fn run(mut self) {
        let changed = Arc::clone(&self.keeper.changed);
        loop {
            let wait_ms = self.next_call().map(|due| due.ms_since(self.now()));
            match wait_ms {
                Some(0) => self.call().await,
                // Whether the time is over or something has changed, it is looked at anew.
                Some(wait_ms) => {
                    let _ = timeout(Duration::from_millis(wait_ms), changed.notified()).await;
                }
                None => changed.notified().await,
            }
        }
    }

    /// When the log is called next, unless something changes before.
    fn next_call(&self) -> Option<Timestamp> {
        let (state, wish, turn_ms) = {
            let shared = self.keeper.lock();
            (shared.state, shared.wish, shared.turn_ms)
        };
        let is_held = state.fence().is_some();
        let due = match wish {
            // A process that starts may take the lease only some time after it has seen the log. That
            // time runs while groups form.
            _ if !state.is_read() => Some(Timestamp::default()),
            Wish::Hold if is_held => state.renew_at(),
            Wish::Hold => state.free_at().map(|free| free.plus_ms(turn_ms)),
            Wish::Release if is_held => Some(Timestamp::default()),
            Wish::Release | Wish::Follow => None,
        };
        due.map(|due| due.max(self.failed.plus_ms(RETRY_MS)))
    }

    /// Makes the call that is due.
    async fn call(&mut self) {
        let (state, wish) = {
            let shared = self.keeper.lock();
            (shared.state, shared.wish)
        };
        match wish {
            _ if !state.is_read() => {
                self.read_on().await;
            }
            Wish::Hold if state.fence().is_some() => self.renew().await,
            Wish::Hold => self.take().await,
            Wish::Release => self.release().await,
            Wish::Follow => {}
        }
    }

    fn now(&self) -> Timestamp {
        self.keeper.clock.now()
    }

    fn state(&self) -> LeaseState {
        self.keeper.lock().state
    }

    /// Reads on, and takes the lease if nobody has written meanwhile.
    async fn take(&mut self) {
        if !self.read_on().await || !self.state().may_take(self.now()) {
            return;
        }
        self.keeper.lock().maps = 0;
        if let Some(offset) = self.append(false).await {
            log::info!("group lease taken holder={} end={}", self.own, offset + 1);
        }
    }

    async fn renew(&mut self) {
        if self.append(false).await.is_none() {
            // An append without a reply may have been carried out; the log tells.
            self.read_on().await;
        }
    }

    async fn release(&mut self) {
        let is_written = self.append(true).await.is_some();
        log::info!("group lease released holder={} written={is_written}", self.own);
        self.keeper.lock().state.note_lost();
    }

    async fn append(&mut self, is_release: bool) -> Option<u64> {
        let record = GroupRecord { holder: self.own, address: Some(self.address), is_release };
        // Every part of a record has a form in JSON.
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let (sent, end) = (self.now(), self.state().end);
        match self.log.append_at(end, bytes).await {
            AppendOutcome::Written(offset) => {
                let mut shared = self.keeper.lock();
                shared.state.note_appended(offset, sent, self.now());
                shared.holder = None;
                Some(offset)
            }
            AppendOutcome::EndMismatch => {
                self.failed = self.now();
                log::info!("group lease append refused holder={} end={end}", self.own);
                self.read_on().await;
                None
            }
            AppendOutcome::Unknown => {
                self.note_failed();
                log::warn!("group lease append without reply holder={}", self.own);
                None
            }
        }
    }

    fn note_failed(&mut self) {
        self.failed = self.now();
        self.keeper.lock().state.note_log_away();
    }

    /// Reads the records after the known end.
    async fn read_on(&mut self) -> bool {
        let Some((first, records)) = self.log.read(self.state().end).await else {
            self.note_failed();
            return false;
        };
        let mut offset = first;
        let mut is_own = true;
        let mut is_release = None;
        let mut holder = None;
        for bytes in &records {
            offset += 1;
            match serde_json::from_slice::<GroupRecord>(bytes) {
                Ok(record) => {
                    is_own &= record.holder == self.own;
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
        let mut shared = self.keeper.lock();
        if !is_own {
            shared.state.note_lost();
        }
        if let Some(is_release) = is_release {
            shared.state.note_released(is_release);
            shared.holder = holder.filter(|(holder, _)| *holder != self.own);
            shared.watch = HolderWatch::default();
        }
        let end = offset.max(shared.state.end);
        shared.state.note_read(end, is_own, self.now());
        true
    }
}
