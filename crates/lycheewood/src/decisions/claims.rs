//! At-most-once execution: who owns a key, decided by the order of log stream `claims`.
//!
//! Every process folds the stream with the same rules and compares times of the log only, so skew
//! between the clocks of instances cannot make two processes disagree.
//!
//! - A claim counts if it was appended within `key_window_ms` after the key's creation, and if no other
//!   attempt holds the key at that position.
//! - A key that is past its window needs no memory: no later claim of it can count.
//! - A key of which a claim may have been missed is never granted; see [`ClaimTable::fold`].

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::clock::Timestamp;
use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Incarnation, InstanceId, Offset, RequestKey};
use crate::outcome::{Refusal, Unknown, UnknownCode};

pub(crate) mod record;
pub(crate) mod recovery;

use record::{CLAIMS_SCHEMA, ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition, ClaimRecord};

/// How long keys live. All processes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long after its creation a key may be claimed, in milliseconds.
    pub key_window_ms: u64,
    /// The most that two clocks differ, in milliseconds.
    pub clock_skew_ms: u64,
    /// The most keys kept. When there are more, the oldest ones count as expired.
    pub max_keys: usize,
}

impl ClaimSettings {
    /// The log must keep records longer than this, in milliseconds; else fresh keys are refused.
    #[must_use]
    pub const fn min_retention_ms(&self) -> u64 {
        self.key_window_ms.saturating_add(self.future_allowance_ms())
    }

    /// How far ahead of the log's time a key may be. An entry accepts a key that is one skew ahead of
    /// its clock, which may itself be one skew ahead of the log's.
    const fn future_allowance_ms(&self) -> u64 {
        self.clock_skew_ms.saturating_mul(2)
    }

    /// Checks the age of a caller's key before anything is claimed.
    ///
    /// # Errors
    ///
    /// A key older than the window is refused with an unknown outcome, because its claim may have left
    /// the log. A key from the future is invalid.
    pub fn check_key(&self, key: &RequestKey, now: Timestamp) -> Result<(), Refusal> {
        if now.ms_since(key.created()) > self.key_window_ms {
            let unknown = Unknown { code: UnknownCode::KeyExpired, key: Some(*key) };
            return Err(Refusal::Unknown(unknown));
        }
        if key.created().ms_since(now) > self.clock_skew_ms {
            let remedy = "the key was created in the future; set the caller's clock right";
            return Err(Refusal::field("idempotency-key", remedy));
        }
        Ok(())
    }
}

/// The refusal of a key that was used before for another request.
#[must_use]
pub fn different_request() -> Refusal {
    let remedy = "the key was used for a request with another target or body; create a new key";
    Refusal::field("idempotency-key", remedy)
}

/// The attempt that holds a key, and the process to ask about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Position of the claim.
    pub claim: ClaimPosition,
    /// The attempt.
    pub attempt: AttemptId,
    /// The instance that the attempt is meant for.
    pub endpoint: InstanceId,
    /// The process there that the attempt is meant for.
    pub endpoint_incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Slot {
    /// Of the first claim that counted; kept when that claim is freed.
    fingerprint: Fingerprint,
    holder: Option<Holder>,
}

/// What the table says about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing<'t> {
    /// No attempt holds the key; it may be claimed.
    Free,
    /// An attempt holds the key.
    Held(&'t Holder),
    /// The key was used for a request with another fingerprint: [`different_request`].
    DifferentRequest,
    /// The key's window has passed, or claims of it may have been missed: outcome unknown.
    KeyExpired,
}

/// What became of one's own claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict<'t> {
    /// The stream has not been read far enough.
    Unread,
    /// The claim holds the key.
    Granted(ClaimPosition),
    /// Another attempt holds the key; see [`crate::recovery_step`].
    HeldBy(&'t Holder),
    /// The claim does not hold the key and nobody else does: claim anew with a new attempt.
    Superseded,
    /// The key was used for a request with another fingerprint: [`different_request`].
    DifferentRequest,
    /// The key's window has passed, or claims of it may have been missed: outcome unknown.
    KeyExpired,
}

/// One's own claim, as [`ClaimTable::verdict`] needs it.
#[derive(Clone, Copy, Debug)]
pub struct OwnClaim<'c> {
    /// The record that was sent.
    pub record: &'c ClaimRecord,
    /// Its position, or `None` while the reply to the append is missing.
    pub position: Option<ClaimPosition>,
}

/// What a record of the stream was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folded {
    /// A batch; `counted` of its entries changed the table.
    Applied {
        /// Entries that changed the table.
        counted: u32,
    },
    /// The record was folded before.
    AlreadyFolded,
    /// The payload is no batch.
    NotABatch,
    /// The batch has a newer schema. It counts as missed.
    NewerSchema,
}

/// Claims by key, folded from the stream in log order.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    settings: ClaimSettings,
    slots: BTreeMap<ClaimKey, Slot>,
    next: Offset,
    log_time: Timestamp,
    /// Claims of keys created at or before this time may have been missed.
    missed_until: Option<Timestamp>,
}

#[derive(Deserialize)]
struct SchemaOnly {
    schema: u32,
}

impl ClaimTable {
    /// An empty table, to be folded from offset 0 or from the log's first readable offset.
    #[must_use]
    pub const fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            slots: BTreeMap::new(),
            next: Offset(0),
            log_time: Timestamp::from_unix_ms(0),
            missed_until: None,
        }
    }

    /// The settings.
    #[must_use]
    pub const fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    /// The next offset to fold.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Number of keys in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Folds the record at `offset`, which the log appended at `appended` by its own clock.
    ///
    /// Records before `offset` that were not folded are missed, whether they expired or were dropped.
    /// They were appended no later than this record, so keys created after it (plus the allowance for
    /// keys from the future) cannot be claimed in them; all older keys count as expired from now on.
    pub fn fold(&mut self, offset: Offset, appended: Timestamp, payload: &str) -> Folded {
        if offset < self.next {
            return Folded::AlreadyFolded;
        }
        self.log_time = self.log_time.max(appended);
        if offset > self.next {
            self.miss_claims();
        }
        self.next = offset.next();
        let folded = self.fold_payload(offset, payload);
        self.expire();
        folded
    }

    fn fold_payload(&mut self, offset: Offset, payload: &str) -> Folded {
        let Ok(SchemaOnly { schema }) = serde_json::from_str(payload) else {
            return Folded::NotABatch;
        };
        if schema > CLAIMS_SCHEMA {
            self.miss_claims();
            return Folded::NewerSchema;
        }
        let Ok(batch) = serde_json::from_str::<ClaimBatch>(payload) else {
            return Folded::NotABatch;
        };
        let mut counted = 0;
        for (entry, index) in batch.entries.iter().zip(0..) {
            counted += u32::from(self.apply(ClaimPosition { offset, index }, entry));
        }
        Folded::Applied { counted }
    }

    fn apply(&mut self, position: ClaimPosition, entry: &ClaimEntry) -> bool {
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
        let early = key.created.ms_since(self.log_time) > self.settings.future_allowance_ms();
        if early || self.is_past_window(&key) {
            return false;
        }
        let fingerprint = record.fingerprint;
        let slot = self.slots.entry(key).or_insert(Slot { fingerprint, holder: None });
        if slot.holder.is_some() || slot.fingerprint != fingerprint {
            return false;
        }
        slot.holder = Some(Holder {
            claim: position,
            attempt: record.attempt,
            endpoint: record.endpoint.clone(),
            endpoint_incarnation: record.endpoint_incarnation,
        });
        true
    }

    fn free(&mut self, key: &ClaimKey, is_named: impl Fn(&Holder) -> bool) -> bool {
        self.slots.get_mut(key).is_some_and(|slot| slot.holder.take_if(|h| is_named(h)).is_some())
    }

    fn expire(&mut self) {
        while let Some((key, _)) = self.slots.first_key_value() {
            if !self.is_past_window(key) {
                break;
            }
            self.slots.pop_first();
        }
        while self.slots.len() > self.settings.max_keys {
            if let Some((key, _)) = self.slots.pop_first() {
                self.missed_until = self.missed_until.max(Some(key.created));
            }
        }
    }

    fn miss_claims(&mut self) {
        let latest = self.log_time.plus_ms(self.settings.future_allowance_ms());
        self.missed_until = self.missed_until.max(Some(latest));
    }

    /// Whether the log's time is past the key's window. No later claim of the key can count.
    #[must_use]
    pub fn is_past_window(&self, key: &ClaimKey) -> bool {
        key.created.plus_ms(self.settings.key_window_ms) < self.log_time
    }

    /// The attempt that holds `key`, if any.
    #[must_use]
    pub fn holder(&self, key: &ClaimKey) -> Option<&Holder> {
        self.slots.get(key)?.holder.as_ref()
    }

    /// What the table says about `key` for a request with this fingerprint.
    #[must_use]
    pub fn standing(&self, key: &ClaimKey, fingerprint: &Fingerprint) -> Standing<'_> {
        if self.missed_until >= Some(key.created) || self.is_past_window(key) {
            return Standing::KeyExpired;
        }
        match self.slots.get(key) {
            Some(slot) if slot.fingerprint != *fingerprint => Standing::DifferentRequest,
            None | Some(Slot { holder: None, .. }) => Standing::Free,
            Some(Slot { holder: Some(holder), .. }) => Standing::Held(holder),
        }
    }

    /// What became of one's own claim.
    ///
    /// While the reply to the append is missing, the claim is recognised by its attempt. It is `Unread`
    /// until then, since the append may still arrive; at the deadline it has to be abandoned.
    #[must_use]
    pub fn verdict(&self, own: &OwnClaim<'_>) -> ClaimVerdict<'_> {
        if own.position.is_some_and(|p| p.offset >= self.next) {
            return ClaimVerdict::Unread;
        }
        match self.standing(&own.record.key, &own.record.fingerprint) {
            Standing::KeyExpired => ClaimVerdict::KeyExpired,
            Standing::DifferentRequest => ClaimVerdict::DifferentRequest,
            Standing::Held(h) if h.attempt == own.record.attempt => ClaimVerdict::Granted(h.claim),
            Standing::Held(holder) => ClaimVerdict::HeldBy(holder),
            Standing::Free if own.position.is_some() => ClaimVerdict::Superseded,
            Standing::Free => ClaimVerdict::Unread,
        }
    }
}
