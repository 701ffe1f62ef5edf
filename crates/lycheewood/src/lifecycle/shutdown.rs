//! The life cycle of a process from serving to a graceful shutdown.

use crate::clock::Timestamp;

/// Durations of the phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long new requests are still served after the announcement, in milliseconds. For an entry it is
    /// longer than callers cache its address. For an endpoint it is 0, since entries route around it.
    pub linger_ms: u64,
    /// The least time for which new requests are then refused with a reply, in milliseconds, so that a
    /// late caller learns other addresses instead of failing to connect.
    pub min_refusing_ms: u64,
}

/// Serves new requests.
#[derive(Debug)]
pub struct Serving(());

/// Has announced the shutdown to its peers, and still serves new requests.
#[derive(Debug)]
pub struct Lingering {
    refuses_from: Timestamp,
}

/// Refuses new requests as not run. Requests in flight run to completion.
#[derive(Debug)]
pub struct Refusing {
    earliest_stop: Timestamp,
}

/// No request is in flight. The process may exit.
#[derive(Debug)]
pub struct Stopped(());

/// The life cycle of a process, in the state `S`.
///
/// ```
/// use lycheewood::{Shutdown, ShutdownSettings, Timestamp};
///
/// let settings = ShutdownSettings { linger_ms: 30_000, min_refusing_ms: 1_000 };
/// let begin = Timestamp::from_unix_ms(0);
/// let lingering = Shutdown::serving(settings).announce(begin);
/// assert_eq!(lingering.refuses_from(), begin.plus_ms(30_000));
/// let refusing = lingering.refuse(begin.plus_ms(30_000)).unwrap();
/// assert!(refusing.stop(begin.plus_ms(31_000), 0).is_ok());
/// ```
///
/// A process cannot stop before it has announced the shutdown and refused new requests:
///
/// ```compile_fail
/// use lycheewood::{Shutdown, ShutdownServing, Timestamp};
///
/// fn stop(process: Shutdown<ShutdownServing>, now: Timestamp) {
///     let _ = process.stop(now, 0);
/// }
/// ```
///
/// ```compile_fail
/// use lycheewood::{Shutdown, ShutdownLingering, Timestamp};
///
/// fn stop(process: Shutdown<ShutdownLingering>, now: Timestamp) {
///     let _ = process.stop(now, 0);
/// }
/// ```
///
/// It cannot refuse requests before it has announced the shutdown:
///
/// ```compile_fail
/// use lycheewood::{Shutdown, ShutdownServing, Timestamp};
///
/// fn refuse(process: Shutdown<ShutdownServing>, now: Timestamp) {
///     let _ = process.refuse(now);
/// }
/// ```
#[derive(Debug)]
pub struct Shutdown<S> {
    settings: ShutdownSettings,
    state: S,
}

impl Shutdown<Serving> {
    /// Creates the life cycle of a process that serves.
    #[must_use]
    pub const fn serving(settings: ShutdownSettings) -> Self {
        Self { settings, state: Serving(()) }
    }

    /// Starts the shutdown. Call this once `Draining` is queued on every peer connection and callers no
    /// longer receive the address of this process.
    #[must_use]
    pub const fn announce(self, now: Timestamp) -> Shutdown<Lingering> {
        let Serving(()) = self.state;
        let refuses_from = now.plus_ms(self.settings.linger_ms);
        Shutdown { settings: self.settings, state: Lingering { refuses_from } }
    }
}

impl Shutdown<Lingering> {
    /// The earliest time at which new requests may be refused.
    #[must_use]
    pub const fn refuses_from(&self) -> Timestamp {
        self.state.refuses_from
    }

    /// Starts to refuse new requests.
    ///
    /// # Errors
    ///
    /// Returns the process while callers may still have its address.
    pub fn refuse(self, now: Timestamp) -> Result<Shutdown<Refusing>, Self> {
        if now < self.state.refuses_from {
            return Err(self);
        }
        let earliest_stop = now.plus_ms(self.settings.min_refusing_ms);
        Ok(Shutdown { settings: self.settings, state: Refusing { earliest_stop } })
    }
}

impl Shutdown<Refusing> {
    /// The earliest time at which the process may stop.
    #[must_use]
    pub const fn earliest_stop(&self) -> Timestamp {
        self.state.earliest_stop
    }

    /// Stops the process. There is no upper time limit, since a stream may last minutes and must not be
    /// cut off.
    ///
    /// # Errors
    ///
    /// Returns the process while requests are in flight, or before the time to refuse late callers is over.
    pub fn stop(self, now: Timestamp, in_flight: usize) -> Result<Shutdown<Stopped>, Self> {
        if in_flight > 0 || now < self.state.earliest_stop {
            return Err(self);
        }
        Ok(Shutdown { settings: self.settings, state: Stopped(()) })
    }
}

/// Phase of the graceful shutdown of a process that serves callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Serves, and callers receive its address.
    Serving,
    /// Serves callers that already have its address.
    Lingering,
    /// Refuses new requests as not run.
    Refusing,
}
