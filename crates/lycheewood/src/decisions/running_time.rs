//! For how long this process has run. Time for which it was stopped or got no processor does not count.

use crate::clock::Timestamp;

/// The running time of a process, from ticks that come at a fixed interval while it runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningTime {
    interval_ms: u64,
    last_tick: Timestamp,
    /// Running time up to the last tick.
    running_ms: u64,
}

impl RunningTime {
    /// Starts to measure a process that ticks every `interval_ms` milliseconds.
    #[must_use]
    pub const fn new(interval_ms: u64, now: Timestamp) -> Self {
        Self { interval_ms, last_tick: now, running_ms: 0 }
    }

    /// Records that the process runs.
    pub fn tick(&mut self, now: Timestamp) {
        self.running_ms = self.running_ms(now);
        self.last_tick = now;
    }

    /// Running time so far, in milliseconds. Of a time without a tick it counts no more than a tick may be late.
    #[must_use]
    pub fn running_ms(&self, now: Timestamp) -> u64 {
        let longest_ms = self.interval_ms + self.interval_ms / 4;
        self.running_ms + now.ms_since(self.last_tick).min(longest_ms)
    }
}
