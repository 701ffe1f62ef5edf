//! The life cycle of a lease on the side of its holder.

use crate::clock::Timestamp;
use crate::decisions::leases::{CurrentLease, LeaseRecord, LeaseVersion, ReleaseRecord};
use crate::ids::{FencingNumber, Incarnation, ScopeName};

/// One part in this many of a lease's duration is kept as a margin, for clocks that do not run at the
/// same rate. Clocks of instances drift by far less than 5%.
const DRIFT_PARTS: u64 = 20;

/// A lease whose grant may have been appended.
#[derive(Debug)]
pub struct Requested(());

/// A lease whose grant has been read back from the log.
#[derive(Debug)]
pub struct Held {
    fencing: FencingNumber,
    deadline: Timestamp,
    renewal: u64,
    renewal_asked: Timestamp,
}

/// Proof that a lease was held when an order was signed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Signature {
    fencing: FencingNumber,
}

impl Signature {
    /// The number to send with the order.
    #[must_use]
    pub const fn fencing(self) -> FencingNumber {
        self.fencing
    }
}

/// The holder's own deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease has ended by this process's clock; take a new one before sending orders")]
pub struct LeaseExpired;

/// Another process holds the lease, as far as this one can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease may still be held; read the stream and ask again in {retry_after_ms} ms")]
pub struct LeaseTaken {
    /// When to ask again, if the lease is not prolonged.
    pub retry_after_ms: u64,
}

/// What a process that would take a lease over has seen of it.
///
/// The log's clock may be set back and forward again, which lets a lease end early in the log's time.
/// So a process also waits for the whole duration by its own clock, from when it first read the lease
/// as it is now.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseWatch {
    seen: Option<(LeaseVersion, Timestamp)>,
}

impl LeaseWatch {
    /// A watch that has seen no lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the lease in force by the fold of the stream. Call it after each read.
    ///
    /// # Errors
    ///
    /// [`LeaseTaken`] while the lease may be held. Otherwise what a request supersedes.
    pub fn check(
        &mut self,
        current: Option<CurrentLease>,
        now: Timestamp,
    ) -> Result<Option<LeaseVersion>, LeaseTaken> {
        let Some(lease) = current else {
            self.seen = None;
            return Ok(None);
        };
        let version = lease.version();
        let since = match self.seen {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.seen = Some((version, since));
        let ends = since.plus_ms(lease.duration_ms);
        if now < ends {
            return Err(LeaseTaken { retry_after_ms: ends.ms_since(now) });
        }
        Ok(Some(version))
    }
}

/// A lease in the stage `S`.
///
/// A lease that was only requested signs nothing:
///
/// ```compile_fail
/// use lycheewood::{Lease, Requested, Timestamp};
///
/// fn sign(lease: Lease<Requested>) {
///     lease.sign(Timestamp::from_unix_ms(0));
/// }
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    scope: ScopeName,
    holder: Incarnation,
    request: u64,
    supersedes: Option<LeaseVersion>,
    duration_ms: u64,
    asked: Timestamp,
    stage: S,
}

impl<S> Lease<S> {
    /// What the lease covers.
    #[must_use]
    pub const fn scope(&self) -> &ScopeName {
        &self.scope
    }
}

impl Lease<Requested> {
    /// A lease about to be asked for. Take `now` before the append is sent: the log counts the
    /// duration from the append, so this deadline comes first. `supersedes` is the result of
    /// [`LeaseWatch::check`]. Give each request of a process another
    /// number, so that the grant of an earlier one is not taken for this one.
    #[must_use]
    pub const fn request(
        scope: ScopeName,
        holder: Incarnation,
        request: u64,
        supersedes: Option<LeaseVersion>,
        duration_ms: u64,
        now: Timestamp,
    ) -> Self {
        let stage = Requested(());
        Self { scope, holder, request, supersedes, duration_ms, asked: now, stage }
    }

    /// The record to append.
    #[must_use]
    pub fn record(&self) -> LeaseRecord {
        LeaseRecord::Grant {
            scope: self.scope.clone(),
            holder: self.holder,
            request: self.request,
            supersedes: self.supersedes,
            duration_ms: self.duration_ms,
        }
    }

    /// Takes up the lease if `current`, the lease in force by the fold of the stream, is this one.
    ///
    /// # Errors
    ///
    /// Gives the request back when it was not granted, or not yet.
    pub fn granted(self, current: Option<CurrentLease>) -> Result<Lease<Held>, Self> {
        let ours =
            |lease: &CurrentLease| lease.holder == self.holder && lease.request == self.request;
        let Some(lease) = current.filter(ours) else { return Err(self) };
        let stage = Held {
            fencing: lease.fencing,
            deadline: deadline(self.asked, self.duration_ms),
            renewal: lease.renewal,
            renewal_asked: self.asked,
        };
        let Self { scope, holder, request, supersedes, duration_ms, asked, stage: Requested(()) } =
            self;
        Ok(Lease { scope, holder, request, supersedes, duration_ms, asked, stage })
    }
}

impl Lease<Held> {
    /// Signs an order.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] at the deadline and after it.
    pub fn sign(&self, now: Timestamp) -> Result<Signature, LeaseExpired> {
        if now >= self.stage.deadline {
            return Err(LeaseExpired);
        }
        Ok(Signature { fencing: self.stage.fencing })
    }

    /// The end of the lease by this process's clock.
    #[must_use]
    pub const fn deadline(&self) -> Timestamp {
        self.stage.deadline
    }

    /// The record that asks for a longer lease. Take `now` before the append is sent.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when there is nothing left to prolong.
    pub fn renewal(&mut self, now: Timestamp) -> Result<LeaseRecord, LeaseExpired> {
        self.sign(now)?;
        self.stage.renewal += 1;
        self.stage.renewal_asked = now;
        Ok(LeaseRecord::Renew {
            scope: self.scope.clone(),
            fencing: self.stage.fencing,
            renewal: self.stage.renewal,
            duration_ms: self.duration_ms,
        })
    }

    /// Prolongs the lease if `current`, the lease in force by the fold of the stream, shows the last
    /// renewal. An earlier one does not count: its time was counted from an earlier append.
    pub fn renewed(&mut self, current: Option<CurrentLease>) {
        let shown = current.is_some_and(|lease| {
            lease.fencing == self.stage.fencing && lease.renewal == self.stage.renewal
        });
        if shown {
            let until = deadline(self.stage.renewal_asked, self.duration_ms);
            self.stage.deadline = self.stage.deadline.max(until);
        }
    }

    /// Ends the lease and gives the record that tells so. Nothing can be signed after that.
    #[must_use]
    pub fn release(self) -> LeaseRecord {
        let fencing = self.stage.fencing;
        LeaseRecord::Release(ReleaseRecord { scope: self.scope, fencing })
    }
}

const fn deadline(asked: Timestamp, duration_ms: u64) -> Timestamp {
    asked.plus_ms(duration_ms - duration_ms / DRIFT_PARTS)
}
