//! Simulated endpoints with slots, a FIFO queue, a prefix cache and faults.

use std::collections::VecDeque;

pub(crate) const SLOTS: usize = 8;
const CACHED_PREFIXES: usize = 16;
const PREFILL_HIT_MS: f64 = 40.0;
const PREFILL_MISS_MS: f64 = 400.0;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Mode {
    Normal,
    /// Responds to every request with an error, without delay.
    Errors,
    /// Sends no response.
    Lost,
}

pub(crate) struct Endpoint {
    pub(crate) mode: Mode,
    pub(crate) slowdown: f64,
    pub(crate) running: usize,
    pub(crate) queue: VecDeque<usize>,
    cache: VecDeque<u64>,
    /// Prefixes inserted (`true`) and evicted (`false`) since the last report.
    pub(crate) cache_events: Vec<(u64, bool)>,
    load_integral: f64,
    load_changed_ms: u64,
}

impl Endpoint {
    pub(crate) fn new() -> Self {
        Self {
            mode: Mode::Normal,
            slowdown: 1.0,
            running: 0,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            cache_events: Vec::new(),
            load_integral: 0.0,
            load_changed_ms: 0,
        }
    }

    pub(crate) fn load(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Adds the load since the last change to the integral of the load over time. Call it before the load
    /// changes.
    pub(crate) fn integrate_load(&mut self, now_ms: u64) {
        let elapsed =
            crate::events::float(usize::try_from(now_ms - self.load_changed_ms).unwrap_or(0));
        self.load_integral += crate::events::float(self.load()) * elapsed;
        self.load_changed_ms = now_ms;
    }

    pub(crate) fn load_integral(&self) -> f64 {
        self.load_integral
    }

    /// Returns the prefill time in milliseconds and whether the prefix was cached.
    pub(crate) fn prefill(&mut self, prefix: u64) -> (f64, bool) {
        let position = self.cache.iter().position(|p| *p == prefix);
        if let Some(position) = position {
            self.cache.remove(position);
        } else {
            self.cache_events.push((prefix, true));
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES
            && let Some(evicted) = self.cache.pop_front()
        {
            self.cache_events.push((evicted, false));
        }
        let hit = position.is_some();
        (self.slowdown * if hit { PREFILL_HIT_MS } else { PREFILL_MISS_MS }, hit)
    }
}
