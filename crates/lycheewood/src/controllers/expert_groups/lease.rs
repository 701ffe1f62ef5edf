//! Keeps the lease over all groups in the log.
//!
//! A task of its own makes the calls to the log, so that a switch never waits for a log that does not
//! answer. The controller of groups reads the state that the task shares, and says what it wants.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::clock::{Clock, Timestamp};
use crate::decisions::log_lease::{GroupRecord, LeaseState, tenure_version};
use crate::gateway::GatewayState;
use crate::group_ports::{Appended, LeaseLog};
use crate::ids::Incarnation;

/// Time until the next call after one that failed, in milliseconds. Each call has a price, and a store that
/// is away is not back at once.
const RETRY_MS: u64 = 400;
/// Time between two looks at what is to be done, in milliseconds.
const LOOK_MS: u64 = 50;

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
    /// Maps that this tenure has given versions to.
    maps: u64,
}

/// This process's part in the lease.
#[derive(Clone)]
pub(super) struct LeaseKeeper {
    shared: Arc<Mutex<Shared>>,
    clock: Clock,
}

impl LeaseKeeper {
    /// Starts the task that calls the log on the present runtime.
    pub(super) fn start(gateway: &GatewayState, log: Arc<dyn LeaseLog>) -> Self {
        let (clock, own) = (gateway.clock, gateway.incarnation);
        let keeper = Self { shared: Arc::default(), clock };
        let writer = LogWriter { log, own, keeper: keeper.clone(), failed: Timestamp::default() };
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
        shared.wish = Wish::Follow;
    }

    /// Another process holds the lease by now, as an agent says.
    pub(super) fn note_superseded(&self) {
        log::warn!("group lease superseded fence={:?}", self.fence());
        self.lock().state.note_lost();
    }

    /// Asks for the lease, which is taken once nobody holds it, and kept.
    pub(super) fn want(&self) {
        self.lock().wish = Wish::Hold;
    }

    /// Gives the lease up, so that another process takes it at once.
    pub(super) fn release(&self) {
        self.lock().wish = Wish::Release;
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
    keeper: LeaseKeeper,
    /// When a call last failed.
    failed: Timestamp,
}

impl LogWriter {
    async fn run(mut self) {
        loop {
            sleep(Duration::from_millis(LOOK_MS)).await;
            let now = self.now();
            if now.ms_since(self.failed) < RETRY_MS {
                continue;
            }
            let (state, wish) = {
                let shared = self.keeper.lock();
                (shared.state, shared.wish)
            };
            match wish {
                // A process that starts may take the lease only some time after it has seen the log. That
                // time runs while groups form.
                _ if !state.is_read() => {
                    self.read_on().await;
                }
                Wish::Hold if state.fence().is_none() => self.take().await,
                Wish::Hold if state.is_renewal_due(now) => self.renew().await,
                Wish::Release if state.fence().is_some() => self.release().await,
                Wish::Follow | Wish::Hold | Wish::Release => {}
            }
        }
    }

    fn now(&self) -> Timestamp {
        self.keeper.clock.now()
    }

    fn state(&self) -> LeaseState {
        self.keeper.lock().state
    }

    /// Reads on, and takes the lease if nobody holds it.
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
        let record = GroupRecord { holder: self.own, is_release };
        // Every part of a record has a form in JSON.
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let (sent, end) = (self.now(), self.state().end);
        match self.log.append_at(end, bytes).await {
            Appended::At(offset) => {
                self.keeper.lock().state.note_appended(offset, sent, self.now());
                Some(offset)
            }
            Appended::OtherEnd => {
                self.failed = self.now();
                log::info!("group lease append refused holder={} end={end}", self.own);
                self.read_on().await;
                None
            }
            Appended::Unknown => {
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
        for bytes in &records {
            offset += 1;
            match serde_json::from_slice::<GroupRecord>(bytes) {
                Ok(record) => {
                    is_own &= record.holder == self.own;
                    is_release = Some(record.is_release);
                }
                Err(error) => {
                    is_own = false;
                    is_release = Some(false);
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
        }
        let end = offset.max(shared.state.end);
        shared.state.note_read(end, is_own, self.now());
        true
    }
}
