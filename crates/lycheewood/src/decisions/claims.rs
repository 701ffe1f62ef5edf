//! At-most-once execution: the order of log stream `claims` decides which attempt holds a key.
//!
//! Every process applies the records of the stream by the same rules and compares only the log's append
//! times, so skew between the clocks of instances cannot make two processes disagree.
//!
//! - A claim takes effect if the log's time, which is the latest append time so far, is at most
//!   `key_window_ms` after the key's creation and not before it by more than the allowance for clock skew, no
//!   attempt holds the key at that position, and the fingerprint is that of the key's first effective claim.
//! - A key past its window is dropped from the table, since no later claim of it can take effect.
//! - A key is never granted if a claim of it may have been missed; see [`ClaimTable::apply`].

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Incarnation, InstanceId, Offset, RequestKey};
use crate::outcome::{RequestError, UnknownCode, UnknownOutcome};

pub(crate) mod record;
pub(crate) mod recovery;

use record::{CLAIMS_SCHEMA, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord};

/// Limits on the age and number of keys. All processes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Time after its creation within which a key may be claimed, in milliseconds.
    pub key_window_ms: u64,
    /// Maximum difference between two clocks, in milliseconds.
    pub clock_skew_ms: u64,
    /// Maximum number of keys in the table. Beyond it, the oldest keys are evicted and count as expired.
    pub max_keys: usize,
}

impl ClaimSettings {
    /// Minimum retention of the log, in milliseconds. If records expire earlier, claims may be missed and their
    /// keys count as expired.
    #[must_use]
    pub const fn min_retention_ms(&self) -> u64 {
        self.key_window_ms.saturating_add(self.future_allowance_ms())
    }

    /// Maximum time by which a key's creation may be ahead of the log's time. An entry accepts a key that
    /// is one skew ahead of its clock, which may itself be one skew ahead of the log's.
    const fn future_allowance_ms(&self) -> u64 {
        self.clock_skew_ms.saturating_mul(2)
    }

    /// Checks the creation time of a caller's key before it is claimed.
    ///
    /// # Errors
    ///
    /// [`RequestError::Unknown`] for a key older than the window, because the log may have dropped an earlier
    /// claim of it; an error for an invalid field if the key's creation is ahead of `now` by more than the clock
    /// skew.
    pub fn check_key(&self, key: &RequestKey, now: Timestamp) -> Result<(), RequestError> {
        if now.ms_since(key.created()) > self.key_window_ms {
            let unknown = UnknownOutcome { code: UnknownCode::KeyExpired, key: Some(*key) };
            return Err(RequestError::Unknown(unknown));
        }
        if key.created().ms_since(now) > self.clock_skew_ms {
            let remedy = "the key was created in the future; set the caller's clock right";
            return Err(RequestError::field("idempotency-key", remedy));
        }
        Ok(())
    }
}

/// Refusal of a key that was used before for another request.
#[must_use]
pub fn different_request_refusal() -> RequestError {
    let remedy = "the key was used for a request with another target or body; create a new key";
    RequestError::field("idempotency-key", remedy)
}

/// The attempt that holds a key, and the endpoint process that knows its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Position of the claim.
    pub claim: ClaimPosition,
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Target instance of the attempt.
    pub endpoint: InstanceId,
    /// Target process on that instance.
    pub endpoint_incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct KeyRecord {
    /// Fingerprint of the first claim that took effect; kept after that claim is freed.
    fingerprint: Fingerprint,
    holder: Option<ClaimHolder>,
}

/// State of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState<'t> {
    /// No attempt holds the key; it may be claimed.
    Free,
    /// An attempt holds the key.
    Held(&'t ClaimHolder),
    /// The key was used for a request with another fingerprint: [`different_request_refusal`].
    DifferentRequest,
    /// The key's window has passed, or claims of it may have been missed: outcome unknown.
    KeyExpired,
}

/// Status of a claim that this process submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus<'t> {
    /// The claim has not been found: the stream has not been read up to it, or its append has had no reply.
    Pending,
    /// The claim holds the key.
    Granted(ClaimPosition),
    /// Another attempt holds the key; see [`crate::recovery_step`].
    HeldBy(&'t ClaimHolder),
    /// No attempt holds the key, and this claim had no effect or was freed; claim again with a new attempt.
    Superseded,
    /// The key was used for a request with another fingerprint: [`different_request_refusal`].
    DifferentRequest,
    /// The key's window has passed, or claims of it may have been missed: outcome unknown.
    KeyExpired,
}

/// A claim that this process submitted; see [`ClaimTable::claim_status`].
#[derive(Clone, Copy, Debug)]
pub struct SubmittedClaim<'c> {
    /// Record that was sent.
    pub record: &'c ClaimRecord,
    /// Position of the claim, or `None` until the reply to the append arrives.
    pub position: Option<ClaimPosition>,
}

/// Effect of a record on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// The batch was applied.
    Applied {
        /// Number of entries that changed the table.
        changed: u32,
    },
    /// The record was applied before.
    AlreadyApplied,
    /// The payload is not a batch; it is skipped.
    Malformed,
    /// The batch has a newer schema; its claims count as missed.
    NewerSchema,
}

/// Claims by key, from the records of the stream in log order.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    settings: ClaimSettings,
    keys: BTreeMap<ClaimKey, KeyRecord>,
    next: Offset,
    log_time: Timestamp,
    /// Claims of keys created at or before this time may have been missed or evicted.
    missed_until: Option<Timestamp>,
}

#[derive(Deserialize)]
struct SchemaOnly {
    schema: u32,
}

impl ClaimTable {
    /// Creates an empty table. Apply records from offset 0 or from the log's first readable offset.
    #[must_use]
    pub const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            keys: BTreeMap::new(),
            next: Offset(0),
            log_time: Timestamp::from_unix_ms(0),
            missed_until: None,
        }
    }

    /// Settings of the table.
    #[must_use]
    pub const fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the record at `offset`, which the log appended at `appended` by its own clock.
    ///
    /// Records before `offset` that were not applied count as missed, whether they expired or were dropped.
    /// They were appended no later than this record, so their keys were created at most the allowance for clock
    /// skew after the log's time. All keys created up to then count as expired from now on.
    pub fn apply(&mut self, offset: Offset, appended: Timestamp, payload: &str) -> ClaimEffect {
        if offset < self.next {
            return ClaimEffect::AlreadyApplied;
        }
        self.log_time = self.log_time.max(appended);
        if offset > self.next {
            self.record_missed_claims();
        }
        self.next = offset.next();
        let effect = self.apply_payload(offset, payload);
        self.expire();
        effect
    }

    fn apply_payload(&mut self, offset: Offset, payload: &str) -> ClaimEffect {
        let Ok(SchemaOnly { schema }) = serde_json::from_str(payload) else {
            return ClaimEffect::Malformed;
        };
        if schema > CLAIMS_SCHEMA {
            self.record_missed_claims();
            return ClaimEffect::NewerSchema;
        }
        let Ok(batch) = serde_json::from_str::<ClaimBatch>(payload) else {
            return ClaimEffect::Malformed;
        };
        let mut changed = 0;
        for (entry, index) in batch.entries.iter().zip(0..) {
            changed += u32::from(self.apply_entry(ClaimPosition { offset, index }, entry));
        }
        ClaimEffect::Applied { changed }
    }

    fn apply_entry(&mut self, position: ClaimPosition, entry: &ClaimEntry) -> bool {
        match entry {
            ClaimEntry::Claim(record) => self.claim(position, record),
            ClaimEntry::Recovered { key, claim } => self.free(key, |h| h.claim == *claim),
            ClaimEntry::Released { key, claim, by } => {
                self.free(key, |h| h.claim == *claim && h.attempt.incarnation == *by)
            }
            ClaimEntry::Unknown => false,
        }
    }

    fn claim(&mut self, position: ClaimPosition, record: &ClaimRecord) -> bool {
        let key = record.key;
        let too_far_ahead =
            key.created.ms_since(self.log_time) > self.settings.future_allowance_ms();
        if too_far_ahead || self.is_past_window(&key) {
            return false;
        }
        let fingerprint = record.fingerprint;
        let stored = self.keys.entry(key).or_insert(KeyRecord { fingerprint, holder: None });
        if stored.holder.is_some() || stored.fingerprint != fingerprint {
            return false;
        }
        stored.holder = Some(ClaimHolder {
            claim: position,
            attempt: record.attempt,
            endpoint: record.endpoint.clone(),
            endpoint_incarnation: record.endpoint_incarnation,
        });
        true
    }

    /// Removes the holder of the key if it matches, and returns whether it did.
    fn free(&mut self, key: &ClaimKey, matches_holder: impl Fn(&ClaimHolder) -> bool) -> bool {
        self.keys
            .get_mut(key)
            .is_some_and(|stored| stored.holder.take_if(|h| matches_holder(h)).is_some())
    }

    /// Removes keys past their window, and the oldest ones beyond `max_keys`.
    fn expire(&mut self) {
        while let Some((key, _)) = self.keys.first_key_value() {
            if !self.is_past_window(key) {
                break;
            }
            self.keys.pop_first();
        }
        while self.keys.len() > self.settings.max_keys {
            if let Some((key, _)) = self.keys.pop_first() {
                self.missed_until = self.missed_until.max(Some(key.created));
            }
        }
    }

    fn record_missed_claims(&mut self) {
        let latest = self.log_time.plus_ms(self.settings.future_allowance_ms());
        self.missed_until = self.missed_until.max(Some(latest));
    }

    /// Whether the log's time is past the key's window, so that no later claim of the key takes effect.
    #[must_use]
    pub fn is_past_window(&self, key: &ClaimKey) -> bool {
        key.created.plus_ms(self.settings.key_window_ms) < self.log_time
    }

    /// Returns the attempt that holds `key`.
    #[must_use]
    pub fn holder(&self, key: &ClaimKey) -> Option<&ClaimHolder> {
        self.keys.get(key)?.holder.as_ref()
    }

    /// Returns the state of `key` for a request with this fingerprint.
    #[must_use]
    pub fn key_state(&self, key: &ClaimKey, fingerprint: &Fingerprint) -> KeyState<'_> {
        if self.missed_until >= Some(key.created) || self.is_past_window(key) {
            return KeyState::KeyExpired;
        }
        match self.keys.get(key) {
            Some(stored) if stored.fingerprint != *fingerprint => KeyState::DifferentRequest,
            None | Some(KeyRecord { holder: None, .. }) => KeyState::Free,
            Some(KeyRecord { holder: Some(holder), .. }) => KeyState::Held(holder),
        }
    }

    /// Returns the status of a claim that this process submitted.
    ///
    /// Until the reply to the append arrives, the claim is recognised by its attempt. If the stream does
    /// not show it, it is [`ClaimStatus::Pending`], since the append may still arrive; the caller must
    /// abandon it at its deadline.
    #[must_use]
    pub fn claim_status(&self, claim: &SubmittedClaim<'_>) -> ClaimStatus<'_> {
        if claim.position.is_some_and(|p| p.offset >= self.next) {
            return ClaimStatus::Pending;
        }
        match self.key_state(&claim.record.key, &claim.record.fingerprint) {
            KeyState::KeyExpired => ClaimStatus::KeyExpired,
            KeyState::DifferentRequest => ClaimStatus::DifferentRequest,
            KeyState::Held(h) if h.attempt == claim.record.attempt => ClaimStatus::Granted(h.claim),
            KeyState::Held(holder) => ClaimStatus::HeldBy(holder),
            KeyState::Free if claim.position.is_some() => ClaimStatus::Superseded,
            KeyState::Free => ClaimStatus::Pending,
        }
    }
}
