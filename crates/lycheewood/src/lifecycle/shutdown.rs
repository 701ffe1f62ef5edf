//! The life cycle of a process from serving to a planned stop.

use crate::clock::Timestamp;

/// How long a leaving process goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long new requests are still served after the announcement, in milliseconds. An entry takes
    /// longer than callers cache its address; an endpoint takes 0, since entries route around it.
    pub linger_ms: u64,
    /// How long new requests are at least refused with an answer afterwards, in milliseconds, so that a
    /// late caller learns other addresses instead of failing to connect.
    pub min_refusing_ms: u64,
}

/// Serves as usual.
#[derive(Debug)]
pub struct Serving(());

/// Has told its peers that it is leaving, and still serves new requests.
#[derive(Debug)]
pub struct Lingering {
    until: Timestamp,
}

/// Refuses new requests as not run; requests in flight continue to the end.
#[derive(Debug)]
pub struct Refusing {
    stop_from: Timestamp,
}

/// Nothing is in flight; the process may exit.
#[derive(Debug)]
pub struct Stopped(());

/// A process's life cycle, in the stage `S`.
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
/// A process cannot stop without having announced it and refused new requests first:
///
/// ```compile_fail
/// use lycheewood::{Serving, Shutdown, Timestamp};
///
/// fn stop(process: Shutdown<Serving>, now: Timestamp) {
///     let _ = process.stop(now, 0);
/// }
/// ```
///
/// ```compile_fail
/// use lycheewood::{Lingering, Shutdown, Timestamp};
///
/// fn stop(process: Shutdown<Lingering>, now: Timestamp) {
///     let _ = process.stop(now, 0);
/// }
/// ```
///
/// It cannot refuse before it has told its peers:
///
/// ```compile_fail
/// use lycheewood::{Serving, Shutdown, Timestamp};
///
/// fn refuse(process: Shutdown<Serving>, now: Timestamp) {
///     let _ = process.refuse(now);
/// }
/// ```
#[derive(Debug)]
pub struct Shutdown<S> {
    settings: ShutdownSettings,
    stage: S,
}

impl Shutdown<Serving> {
    /// A process that serves.
    #[must_use]
    pub const fn serving(settings: ShutdownSettings) -> Self {
        Self { settings, stage: Serving(()) }
    }

    /// Starts leaving. Call this once `Draining` is queued on every peer connection and the process's own
    /// address is no longer told to callers.
    #[must_use]
    pub const fn announce(self, now: Timestamp) -> Shutdown<Lingering> {
        let Serving(()) = self.stage;
        let until = now.plus_ms(self.settings.linger_ms);
        Shutdown { settings: self.settings, stage: Lingering { until } }
    }
}

impl Shutdown<Lingering> {
    /// When new requests are refused.
    #[must_use]
    pub const fn refuses_from(&self) -> Timestamp {
        self.stage.until
    }

    /// Starts to refuse new requests.
    ///
    /// # Errors
    ///
    /// Gives the process back while callers may still hold its address.
    pub fn refuse(self, now: Timestamp) -> Result<Shutdown<Refusing>, Self> {
        if now < self.stage.until {
            return Err(self);
        }
        let stop_from = now.plus_ms(self.settings.min_refusing_ms);
        Ok(Shutdown { settings: self.settings, stage: Refusing { stop_from } })
    }
}

impl Shutdown<Refusing> {
    /// The earliest time at which the process may stop.
    #[must_use]
    pub const fn stops_from(&self) -> Timestamp {
        self.stage.stop_from
    }

    /// Stops. There is no upper bound of time, since a stream may last minutes and must not be cut off.
    ///
    /// # Errors
    ///
    /// Gives the process back while requests are in flight, or before late callers had their answer.
    pub fn stop(self, now: Timestamp, in_flight: usize) -> Result<Shutdown<Stopped>, Self> {
        if in_flight > 0 || now < self.stage.stop_from {
            return Err(self);
        }
        Ok(Shutdown { settings: self.settings, stage: Stopped(()) })
    }
}

/// How far a process that serves callers is on its way to a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Serves, and its address is told to callers.
    Serving,
    /// Serves callers that hold its address.
    Lingering,
    /// Refuses new requests as not run.
    Refusing,
}
