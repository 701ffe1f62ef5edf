//! Leases from a log stream: who holds a scope, and which orders an endpoint still accepts.
//!
//! Every node folds the stream with the same function over offsets and the log's own append times, so
//! all nodes agree on the holder without talking to each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;
use crate::ids::{FencingNumber, Incarnation, Offset, ScopeName};

/// Version of the record format that this build writes, and the newest that it reads.
const SCHEMA: u16 = 1;

/// A record about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Asks for a lease. Its offset becomes the fencing number.
    Grant {
        /// What the lease covers.
        scope: ScopeName,
        /// The process that asks.
        holder: Incarnation,
        /// Tells the requests of that process apart.
        request: u64,
        /// The lease that the process saw run out. The record is void if it was prolonged or replaced
        /// since.
        supersedes: Option<LeaseVersion>,
        /// How long it lasts, in milliseconds from the append.
        duration_ms: u64,
    },
    /// Asks for a longer lease under the same fencing number.
    Renew {
        /// What the lease covers.
        scope: ScopeName,
        /// Number of the lease.
        fencing: FencingNumber,
        /// Tells the renewals of that lease apart; above 0 and rising.
        renewal: u64,
        /// How long it lasts, in milliseconds from this append.
        duration_ms: u64,
    },
    /// Gives a lease back.
    Release(ReleaseRecord),
}

/// Gives a lease back before it ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// What the lease covers.
    pub scope: ScopeName,
    /// Number of the lease.
    pub fencing: FencingNumber,
}

/// Why a payload is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The payload is no record of this kind. Every node skips it alike.
    #[error("the payload is no record of this kind; skip it")]
    OtherKind,
    /// A newer build wrote the record. Going on without it could decide otherwise than newer nodes.
    #[error("the record has schema {0}, newer than this build reads; replace this instance first")]
    NewerSchema(u16),
}

#[derive(Serialize)]
struct Writing<'a, T> {
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
/// Returns the error of the serializer, which a plain record does not cause.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&Writing { schema: SCHEMA, record })
}

/// Decodes one record of the kind `T`.
///
/// # Errors
///
/// [`RecordError::OtherKind`] for a payload to skip, [`RecordError::NewerSchema`] for one that must
/// stop the fold.
pub fn decode_record<T: for<'de> Deserialize<'de>>(payload: &[u8]) -> Result<T, RecordError> {
    let SchemaOnly { schema } =
        serde_json::from_slice(payload).map_err(|_| RecordError::OtherKind)?;
    if schema > SCHEMA {
        return Err(RecordError::NewerSchema(schema));
    }
    serde_json::from_slice(payload).map_err(|_| RecordError::OtherKind)
}

/// One lease between two renewals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseVersion {
    /// Number of the lease.
    pub fencing: FencingNumber,
    /// The highest renewal that took effect, or 0.
    pub renewal: u64,
}

/// A lease in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentLease {
    /// The process that holds it.
    pub holder: Incarnation,
    /// The request of that process that was granted.
    pub request: u64,
    /// The highest renewal that took effect, or 0.
    pub renewal: u64,
    /// Its number.
    pub fencing: FencingNumber,
    /// How long it was asked for, in milliseconds.
    pub duration_ms: u64,
    /// Its end in the log's time. It stays current after that until another is granted.
    pub ends: Timestamp,
}

impl CurrentLease {
    /// The lease between its last renewal and the next.
    #[must_use]
    pub const fn version(&self) -> LeaseVersion {
        LeaseVersion { fencing: self.fencing, renewal: self.renewal }
    }
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// A lease was granted under this number.
    Granted(FencingNumber),
    /// The lease with this number was prolonged.
    Renewed(FencingNumber),
    /// The lease with this number was given back.
    Released(FencingNumber),
    /// The record has no effect.
    None,
}

/// The fold of lease records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    time: Timestamp,
    scopes: BTreeMap<ScopeName, CurrentLease>,
}

impl Leases {
    /// The state before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds the record at `offset` in. Records must come in log order.
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

    /// The lease of `scope` that was granted last and not given back.
    #[must_use]
    pub fn current(&self, scope: &ScopeName) -> Option<CurrentLease> {
        self.scopes.get(scope).copied()
    }

    /// Whether `fencing` is the number of the lease of `scope` that was granted last.
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

/// Why an endpoint refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRefusal {
    /// The endpoint restarted and has not read the lease stream to its end.
    #[error("this endpoint is still reading the lease stream; send the order again later")]
    CatchingUp,
    /// A later lease has been seen.
    #[error("the lease was superseded by {highest}; take a new lease first")]
    Superseded {
        /// The highest number seen.
        highest: FencingNumber,
    },
}

/// Keeps orders of superseded leases of one scope from an engine that does not check them itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingGate {
    highest: FencingNumber,
    caught_up: bool,
}

impl FencingGate {
    /// The gate of a process that has just started. It refuses every order.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the stream has been read up to `next`, of `end` as the log states it, and which
    /// lease is current there. `end` must come from a reply to a read made after the restart.
    pub fn read(&mut self, current: Option<CurrentLease>, next: Offset, end: Offset) {
        if let Some(lease) = current {
            self.highest = self.highest.max(lease.fencing);
        }
        self.caught_up |= next >= end;
    }

    /// Decides on an order signed with `fencing`.
    ///
    /// # Errors
    ///
    /// Refuses every order before the stream was read to its end, then those with a number lower than
    /// the highest seen.
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
