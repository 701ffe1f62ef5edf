//! Leases from a log stream: which process holds a scope, and which orders an endpoint still accepts.
//!
//! Every node applies the records by the same rules, which depend only on offsets and the log's append
//! times. All nodes therefore agree on the holder without exchanging messages.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};

/// Schema of records that this build writes, and the newest that it reads.
const SCHEMA: u16 = 1;

/// Record about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Requests a lease. The offset of the record becomes the fencing number.
    Grant {
        /// Scope of the lease.
        scope: ScopeName,
        /// Process that requests the lease.
        holder: Incarnation,
        /// Number that distinguishes the requests of that process.
        request: u64,
        /// Lease that the process saw expire. The record has no effect if that lease was renewed or replaced
        /// since.
        supersedes: Option<LeaseVersion>,
        /// Duration of the lease, in milliseconds from the append.
        duration_ms: u64,
    },
    /// Extends a lease under the same fencing number.
    Renew {
        /// Scope of the lease.
        scope: ScopeName,
        /// Fencing number of the lease.
        fencing: FencingNumber,
        /// Number of the renewal; above 0 and ascending.
        renewal: u64,
        /// Duration of the lease, in milliseconds from this append.
        duration_ms: u64,
    },
    /// Releases a lease.
    Release(ReleaseRecord),
}

/// Releases a lease before it ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Scope of the lease.
    pub scope: ScopeName,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// Error for a payload that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The payload is not a record of the expected kind. Every node skips it.
    #[error("the payload is not a record of the expected kind; skip it")]
    OtherKind,
    /// A newer build wrote the record. Skipping it could lead to a state that differs from newer nodes.
    #[error("the record has schema {0}, newer than this build reads; replace this instance first")]
    NewerSchema(u16),
}

#[derive(Serialize)]
struct VersionedRecord<'a, T> {
    schema: u16,
    #[serde(flatten)]
    record: &'a T,
}

#[derive(Deserialize)]
struct SchemaOnly {
    schema: u16,
}

/// Encodes a record as JSON text with its schema number.
///
/// # Errors
///
/// The error of the serializer; the records of this crate cause none.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&VersionedRecord { schema: SCHEMA, record })
}

/// Decodes a record of the kind `T`.
///
/// # Errors
///
/// [`RecordError::OtherKind`] for a payload to skip, [`RecordError::NewerSchema`] for one after which no
/// further record may be applied.
pub fn decode_record<T: for<'de> Deserialize<'de>>(payload: &[u8]) -> Result<T, RecordError> {
    let SchemaOnly { schema } =
        serde_json::from_slice(payload).map_err(|_| RecordError::OtherKind)?;
    if schema > SCHEMA {
        return Err(RecordError::NewerSchema(schema));
    }
    serde_json::from_slice(payload).map_err(|_| RecordError::OtherKind)
}

/// A lease as it is between two renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseVersion {
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// Highest renewal that took effect, or 0.
    pub renewal: u64,
}

/// The lease of a scope that was granted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentLease {
    /// Process that holds the lease.
    pub holder: Incarnation,
    /// Number of the granted request of that process.
    pub request: u64,
    /// Highest renewal that took effect, or 0.
    pub renewal: u64,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// Requested duration, in milliseconds.
    pub duration_ms: u64,
    /// End of the lease in the log's time. The lease stays current until another is granted.
    pub ends: Timestamp,
}

impl CurrentLease {
    /// Returns the lease as it is since its last renewal.
    #[must_use]
    pub const fn version(&self) -> LeaseVersion {
        LeaseVersion { fencing: self.fencing, renewal: self.renewal }
    }
}

/// Effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// A lease was granted under this number.
    Granted(FencingNumber),
    /// The lease with this number was extended.
    Renewed(FencingNumber),
    /// The lease with this number was released.
    Released(FencingNumber),
    /// The record has no effect.
    None,
}

/// Leases by scope, from the lease records in log order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    time: Timestamp,
    scopes: BTreeMap<ScopeName, CurrentLease>,
}

impl LeaseTable {
    /// Creates the state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record at `offset`. Records must be applied in log order.
    ///
    /// An append time lower than an earlier one counts as the earlier one.
    pub fn apply(
        &mut self,
        offset: Offset,
        appended: Timestamp,
        record: &LeaseRecord,
    ) -> LeaseEffect {
        self.time = self.time.max(appended);
        match record {
            LeaseRecord::Grant { scope, holder, request, supersedes, duration_ms } => {
                let fencing = FencingNumber(offset.0);
                let ends = self.time.plus_ms(*duration_ms);
                let (holder, request, duration_ms) = (*holder, *request, *duration_ms);
                let granted =
                    CurrentLease { holder, request, renewal: 0, fencing, duration_ms, ends };
                self.grant(scope, *supersedes, granted)
            }
            LeaseRecord::Renew { scope, fencing, renewal, duration_ms } => {
                self.renew(scope, *fencing, *renewal, *duration_ms)
            }
            LeaseRecord::Release(ReleaseRecord { scope, fencing }) => {
                if !self.is_current(scope, *fencing) {
                    return LeaseEffect::None;
                }
                self.scopes.remove(scope);
                LeaseEffect::Released(*fencing)
            }
        }
    }

    /// Returns the lease of `scope` that was granted last, unless it was released.
    #[must_use]
    pub fn current(&self, scope: &ScopeName) -> Option<CurrentLease> {
        self.scopes.get(scope).copied()
    }

    /// Whether `fencing` is the number of the current lease of `scope`.
    #[must_use]
    pub fn is_current(&self, scope: &ScopeName, fencing: FencingNumber) -> bool {
        self.scopes.get(scope).is_some_and(|lease| lease.fencing == fencing)
    }

    fn grant(
        &mut self,
        scope: &ScopeName,
        supersedes: Option<LeaseVersion>,
        granted: CurrentLease,
    ) -> LeaseEffect {
        let present = self.scopes.get(scope);
        if present.map(CurrentLease::version) != supersedes
            || present.is_some_and(|lease| self.time < lease.ends)
        {
            return LeaseEffect::None;
        }
        self.scopes.insert(scope.clone(), granted);
        LeaseEffect::Granted(granted.fencing)
    }

    fn renew(
        &mut self,
        scope: &ScopeName,
        fencing: FencingNumber,
        renewal: u64,
        duration_ms: u64,
    ) -> LeaseEffect {
        let time = self.time;
        let lease = self.scopes.get_mut(scope);
        let Some(lease) = lease.filter(|l| l.fencing == fencing && time < l.ends) else {
            return LeaseEffect::None;
        };
        lease.renewal = lease.renewal.max(renewal);
        lease.duration_ms = lease.duration_ms.max(duration_ms);
        lease.ends = lease.ends.max(time.plus_ms(duration_ms));
        LeaseEffect::Renewed(fencing)
    }
}

/// Reason for the refusal of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRefusal {
    /// The endpoint restarted and has not read the lease stream to its end.
    #[error("this endpoint is still reading the lease stream; send the order again later")]
    CatchingUp,
    /// A lease with a higher number has been seen.
    #[error("the lease was superseded by {highest}; acquire a new lease first")]
    Superseded {
        /// Highest number seen.
        highest: FencingNumber,
    },
}

/// Refuses orders of superseded leases of one scope, for an engine that does not check fencing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGate {
    highest: FencingNumber,
    caught_up: bool,
}

impl FencingGate {
    /// Creates the gate of a process that has just started. It refuses every order.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the stream has been read up to the offset `next`, with the lease that is current there.
    /// `end` is the end of the stream, from the reply to a read that was made after the restart.
    pub fn update(&mut self, current: Option<CurrentLease>, next: Offset, end: Offset) {
        if let Some(lease) = current {
            self.highest = self.highest.max(lease.fencing);
        }
        self.caught_up |= next >= end;
    }

    /// Decides whether an order with the number `fencing` is passed on.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::CatchingUp`] until the stream has been read to its end, then
    /// [`OrderRefusal::Superseded`] for a number lower than the highest seen.
    pub fn admit(&mut self, fencing: FencingNumber) -> Result<(), OrderRefusal> {
        if !self.caught_up {
            return Err(OrderRefusal::CatchingUp);
        }
        if fencing < self.highest {
            return Err(OrderRefusal::Superseded { highest: self.highest });
        }
        self.highest = fencing;
        Ok(())
    }
}
