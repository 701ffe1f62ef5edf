//! Event queue and random variates of the benches.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Events in order of time; events of the same time in the order in which they were added.
pub(crate) struct Events<E> {
    heap: BinaryHeap<Reverse<(u64, u64, Ordered<E>)>>,
    added: u64,
}

/// An event that takes no part in the order.
struct Ordered<E>(E);

impl<E> PartialEq for Ordered<E> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl<E> Eq for Ordered<E> {}
impl<E> PartialOrd for Ordered<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Ordered<E> {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl<E> Events<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), added: 0 }
    }

    pub(crate) fn add(&mut self, at_ms: u64, event: E) {
        self.added += 1;
        self.heap.push(Reverse((at_ms, self.added, Ordered(event))));
    }

    pub(crate) fn next(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse((at_ms, _, event))| (at_ms, event.0))
    }
}

/// Random variates from a fixed seed.
pub(crate) struct Variates(StdRng);

impl Variates {
    pub(crate) fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    pub(crate) fn word(&mut self) -> u64 {
        self.0.random()
    }

    pub(crate) fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub(crate) fn below(&mut self, len: usize) -> usize {
        self.0.random_range(0..len)
    }

    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// Milliseconds of a non-negative time, rounded down.
pub(crate) fn whole(ms: f64) -> u64 {
    u64::try_from(std::time::Duration::from_secs_f64(ms / 1000.0).as_millis()).unwrap_or(u64::MAX)
}

/// A count as a floating-point number.
pub(crate) fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// The value below which `share` of the sorted values lie.
pub(crate) fn percentile(sorted: &[u64], share: f64) -> u64 {
    let rank = whole(float(sorted.len()) * share * 1000.0) / 1000;
    let index = usize::try_from(rank).unwrap_or(usize::MAX).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}
