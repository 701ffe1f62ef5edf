//! Keeps the lease over all groups in the log.

use std::sync::Arc;

use bytes::Bytes;

use crate::clock::{Clock, Timestamp};
use crate::decisions::log_lease::{GroupRecord, LeaseState, Proposal};
use crate::gateway::GatewayState;
use crate::group_ports::{Appended, LeaseLog};
use crate::ids::Incarnation;

/// Time until the next append after one that failed, in milliseconds. Each call has a price, and a store
/// that is away is not back at once.
const RETRY_MS: u64 = 400;

/// This process's part in the lease.
pub(super) struct LeaseKeeper {
    log: Arc<dyn LeaseLog>,
    clock: Clock,
    own: Incarnation,
    state: LeaseState,
    /// When an append last failed.
    failed: Timestamp,
    /// The last proposal in the log, and the version of its map.
    last: Option<(u64, Proposal)>,
}

impl LeaseKeeper {
    pub(super) fn new(gateway: &GatewayState, log: Arc<dyn LeaseLog>) -> Self {
        let (clock, own) = (gateway.clock, gateway.incarnation);
        Self {
            log,
            clock,
            own,
            state: LeaseState::default(),
            failed: Timestamp::default(),
            last: None,
        }
    }

    /// Whether orders may be given now.
    pub(super) fn may_order(&self) -> bool {
        self.state.may_order(self.clock.now())
    }

    /// Where the log ends, as far as this process knows.
    pub(super) const fn end(&self) -> u64 {
        self.state.end
    }

    /// Notes where the holder of the lease says that the log ends.
    pub(super) fn note_heard(&mut self, end: u64) {
        self.state.note_heard(end, self.clock.now());
    }

    /// The last proposal for a group, and the version of its map.
    pub(super) fn last_proposal(&self, group: &str, epoch: u64) -> Option<(u64, &Proposal)> {
        let (version, proposal) = self.last.as_ref()?;
        (proposal.group == group && proposal.epoch == epoch).then_some((*version, proposal))
    }

    /// Reads the log if that has not been done.
    pub(super) async fn read_first(&mut self) {
        if !self.state.is_read() && self.clock.now().ms_since(self.failed) >= RETRY_MS {
            self.read_on().await;
        }
    }

    /// Reads on, and takes the lease if nobody holds it.
    pub(super) async fn take(&mut self) -> bool {
        if self.clock.now().ms_since(self.failed) < RETRY_MS {
            return false;
        }
        if !self.read_on().await || !self.state.may_take(self.clock.now()) {
            return false;
        }
        let is_taken = self.append(None).await.is_some();
        if is_taken {
            log::info!("group lease taken holder={} end={}", self.own, self.state.end);
        }
        is_taken
    }

    /// Renews the lease if it is time.
    pub(super) async fn renew(&mut self) {
        let now = self.clock.now();
        if !self.state.is_renewal_due(now) || now.ms_since(self.failed) < RETRY_MS {
            return;
        }
        if self.append(None).await.is_none() {
            // An append without a reply may have been carried out; the log tells.
            self.read_on().await;
        }
    }

    /// Writes a proposal, and gives the version of its map.
    pub(super) async fn propose(&mut self, proposal: Proposal) -> Option<u64> {
        let version = self.append(Some(proposal.clone())).await?;
        self.last = Some((version, proposal));
        Some(version)
    }

    async fn append(&mut self, proposal: Option<Proposal>) -> Option<u64> {
        if self.clock.now().ms_since(self.failed) < RETRY_MS {
            return None;
        }
        let record = GroupRecord { holder: self.own, proposal };
        // Every part of a record has a form in JSON.
        let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
        let sent = self.clock.now();
        match self.log.append_at(self.state.end, bytes).await {
            Appended::At(offset) => {
                self.state.note_appended(offset, sent, self.clock.now());
                Some(offset + 1)
            }
            Appended::OtherEnd => {
                self.failed = self.clock.now();
                log::info!("group lease append refused holder={} end={}", self.own, self.state.end);
                self.read_on().await;
                None
            }
            Appended::Unknown => {
                self.failed = self.clock.now();
                log::warn!("group lease append without reply holder={}", self.own);
                None
            }
        }
    }

    /// Reads the records after the known end.
    async fn read_on(&mut self) -> bool {
        let Some((first, records)) = self.log.read(self.state.end).await else {
            self.failed = self.clock.now();
            return false;
        };
        let mut offset = first;
        let mut is_own = true;
        for bytes in &records {
            offset += 1;
            match serde_json::from_slice::<GroupRecord>(bytes) {
                Ok(record) => {
                    is_own &= record.holder == self.own;
                    if let Some(proposal) = record.proposal {
                        self.last = Some((offset, proposal));
                    }
                }
                Err(error) => {
                    is_own = false;
                    log::error!("group record unreadable offset={} reason=\"{error}\"", offset - 1);
                }
            }
        }
        if !is_own {
            self.state.note_lost();
        }
        self.state.note_read(offset.max(self.state.end), is_own, self.clock.now());
        true
    }
}
