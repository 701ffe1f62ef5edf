//! The life cycle of a lease, as its holder sees it.

use crate::clock::Timestamp;
use crate::decisions::leases::{CurrentLease, LeaseRecord, LeaseVersion, ReleaseRecord};
use crate::ids::{FencingNumber, Incarnation, ScopeName};

/// The holder ends a lease early by one part in this many of its duration, since clocks run at
/// different rates. Clocks of instances drift by far less than the resulting 5%.
const DRIFT_MARGIN_DIVISOR: u64 = 20;

/// A lease whose grant may have been appended to the log.
#[derive(Debug)]
pub struct Requested(());

/// A lease whose grant has been read back from the log.
#[derive(Debug)]
pub struct Held {
    fencing: FencingNumber,
    deadline: Timestamp,
    renewal: u64,
    renewal_requested_at: Timestamp,
}

/// Proof that this process held a lease when it created an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken {
    fencing: FencingNumber,
}

impl FencingToken {
    /// The fencing number to send with the order.
    #[must_use]
    pub const fn number(self) -> FencingNumber {
        self.fencing
    }
}

/// The lease has ended by its holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease has ended by this process's clock; take a new one before sending orders")]
pub struct LeaseExpired;

/// Another process may still hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease may still be held; read the stream and ask again in {retry_after_ms} ms")]
pub struct LeaseUnavailable {
    /// Time until the next request makes sense if the lease is not renewed, in milliseconds.
    pub retry_after_ms: u64,
}

/// Tracks a lease for a process that wants to take it over.
///
/// The log's clock may be set back and forward again, so that a lease ends too early by the log's
/// time. A process therefore also waits for the whole duration by its own clock, from when it first read
/// the current version of the lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseWatch {
    observed: Option<(LeaseVersion, Timestamp)>,
}

impl LeaseWatch {
    /// Creates a watch that has observed no lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Observes the lease that is current by the records read so far, and returns the version that a
    /// request supersedes. Call it after each read of the stream.
    ///
    /// # Errors
    ///
    /// [`LeaseUnavailable`] while another process may hold the lease.
    pub fn check(
        &mut self,
        current: Option<CurrentLease>,
        now: Timestamp,
    ) -> Result<Option<LeaseVersion>, LeaseUnavailable> {
        let Some(lease) = current else {
            self.observed = None;
            return Ok(None);
        };
        let version = lease.version();
        let since = match self.observed {
            Some((observed, since)) if observed == version => since,
            _ => now,
        };
        self.observed = Some((version, since));
        let ends = since.plus_ms(lease.duration_ms);
        if now < ends {
            return Err(LeaseUnavailable { retry_after_ms: ends.ms_since(now) });
        }
        Ok(Some(version))
    }
}

/// A lease in the state `S`.
///
/// A lease that was only requested gives no fencing token:
///
/// ```compile_fail
/// use lycheewood::{Lease, LeaseRequested, Timestamp};
///
/// fn order(lease: Lease<LeaseRequested>) {
///     lease.fencing_token(Timestamp::from_unix_ms(0));
/// }
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    scope: ScopeName,
    holder: Incarnation,
    request: u64,
    supersedes: Option<LeaseVersion>,
    duration_ms: u64,
    requested_at: Timestamp,
    state: S,
}

impl<S> Lease<S> {
    /// What the lease covers.
    #[must_use]
    pub const fn scope(&self) -> &ScopeName {
        &self.scope
    }
}

impl Lease<Requested> {
    /// Creates a request for a lease. Read `now` before the append is sent: the log counts the
    /// duration from the append, so the holder's deadline comes first. `supersedes` is the result of
    /// [`LeaseWatch::check`]. Each request of a process needs its own number, so that the grant of an
    /// earlier one is not mistaken for the grant of this one.
    #[must_use]
    pub const fn request(
        scope: ScopeName,
        holder: Incarnation,
        request: u64,
        supersedes: Option<LeaseVersion>,
        duration_ms: u64,
        now: Timestamp,
    ) -> Self {
        let state = Requested(());
        Self { scope, holder, request, supersedes, duration_ms, requested_at: now, state }
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

    /// Turns the request into a held lease if `current`, the current lease by the records read so far, is
    /// the grant of this request.
    ///
    /// # Errors
    ///
    /// Returns the request when it was not granted, or not yet.
    pub fn confirm_grant(self, current: Option<CurrentLease>) -> Result<Lease<Held>, Self> {
        let ours =
            |lease: &CurrentLease| lease.holder == self.holder && lease.request == self.request;
        let Some(lease) = current.filter(ours) else { return Err(self) };
        let state = Held {
            fencing: lease.fencing,
            deadline: deadline(self.requested_at, self.duration_ms),
            renewal: lease.renewal,
            renewal_requested_at: self.requested_at,
        };
        let Self {
            scope,
            holder,
            request,
            supersedes,
            duration_ms,
            requested_at,
            state: Requested(()),
        } = self;
        Ok(Lease { scope, holder, request, supersedes, duration_ms, requested_at, state })
    }
}

impl Lease<Held> {
    /// The token to send with an order.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] at the deadline and after it.
    pub fn fencing_token(&self, now: Timestamp) -> Result<FencingToken, LeaseExpired> {
        if now >= self.state.deadline {
            return Err(LeaseExpired);
        }
        Ok(FencingToken { fencing: self.state.fencing })
    }

    /// The end of the lease by this process's clock.
    #[must_use]
    pub const fn deadline(&self) -> Timestamp {
        self.state.deadline
    }

    /// The record that renews the lease. Read `now` before the append is sent.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended already.
    pub fn request_renewal(&mut self, now: Timestamp) -> Result<LeaseRecord, LeaseExpired> {
        self.fencing_token(now)?;
        self.state.renewal += 1;
        self.state.renewal_requested_at = now;
        Ok(LeaseRecord::Renew {
            scope: self.scope.clone(),
            fencing: self.state.fencing,
            renewal: self.state.renewal,
            duration_ms: self.duration_ms,
        })
    }

    /// Extends the lease if `current`, the current lease by the records read so far, contains the last
    /// renewal. An earlier renewal does not count, since its duration started at an earlier append.
    pub fn confirm_renewal(&mut self, current: Option<CurrentLease>) {
        let is_confirmed = current.is_some_and(|lease| {
            lease.fencing == self.state.fencing && lease.renewal == self.state.renewal
        });
        if is_confirmed {
            let until = deadline(self.state.renewal_requested_at, self.duration_ms);
            self.state.deadline = self.state.deadline.max(until);
        }
    }

    /// Ends the lease and returns the record that releases it. No order can be given after that.
    #[must_use]
    pub fn release(self) -> LeaseRecord {
        let fencing = self.state.fencing;
        LeaseRecord::Release(ReleaseRecord { scope: self.scope, fencing })
    }
}

const fn deadline(requested_at: Timestamp, duration_ms: u64) -> Timestamp {
    requested_at.plus_ms(duration_ms - duration_ms / DRIFT_MARGIN_DIVISOR)
}
