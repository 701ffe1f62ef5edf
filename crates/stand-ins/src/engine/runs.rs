//! Which requests run, which wait, and the load that the engine reports.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::cache_events::Prefix;

/// Load samples kept for late reports; older ones are not needed at the lags that tests use.
const MAX_SAMPLES: usize = 1_024;

/// One load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that generate tokens.
    pub running: u64,
    /// Requests that wait for capacity.
    pub queued: u64,
    /// Requests that can run at once.
    pub capacity: u64,
    /// The loaded version.
    pub version: String,
    /// When the engine measured this, in milliseconds since the Unix epoch.
    pub reported_unix_ms: u64,
}

/// One request's place in the engine.
pub(super) struct Ticket {
    pub(super) number: u64,
    /// Resolves when the request may run, with whether its prefix was cached.
    pub(super) admitted: oneshot::Receiver<bool>,
    /// Resolves when the request has been cancelled; an error means that it never will be.
    pub(super) cancelled: oneshot::Receiver<()>,
}

struct Seat {
    prefix: Prefix,
    admit: Option<oneshot::Sender<bool>>,
    cancel: oneshot::Sender<()>,
}

#[derive(Default)]
pub(super) struct Runs {
    next_number: u64,
    waiting: BTreeSet<(Reverse<u8>, u64)>,
    running: BTreeSet<u64>,
    seats: BTreeMap<u64, Seat>,
    starts: HashMap<String, u64>,
    samples: VecDeque<Load>,
}

impl Runs {
    /// Queues a request; higher priorities first, then the order of arrival.
    pub(super) fn enqueue(&mut self, prefix: Prefix, priority: u8) -> Ticket {
        let number = self.next_number;
        self.next_number += 1;
        let (admit, admitted) = oneshot::channel();
        let (cancel, cancelled) = oneshot::channel();
        self.seats.insert(number, Seat { prefix, admit: Some(admit), cancel });
        self.waiting.insert((Reverse(priority), number));
        Ticket { number, admitted, cancelled }
    }

    /// Starts waiting requests while there is capacity. `cached` uses a request's prefix and says
    /// whether it was in the cache.
    pub(super) fn admit(&mut self, capacity: u64, mut cached: impl FnMut(&Prefix) -> bool) {
        while (self.running.len() as u64) < capacity {
            let Some((_, number)) = self.waiting.pop_first() else { break };
            let Some(seat) = self.seats.get_mut(&number) else { continue };
            self.running.insert(number);
            *self.starts.entry(seat.prefix.request_id.clone()).or_default() += 1;
            let hit = cached(&seat.prefix);
            seat.admit.take().map(|admit| admit.send(hit));
        }
    }

    /// Frees the place of a request that ended or left.
    pub(super) fn release(&mut self, number: u64) {
        self.seats.remove(&number);
        self.running.remove(&number);
        self.waiting.retain(|(_, waiting)| *waiting != number);
    }

    /// Frees every place of a request; gives how many there were.
    pub(super) fn cancel(&mut self, request_id: &str) -> usize {
        let matching = self.seats.iter().filter(|(_, seat)| seat.prefix.request_id == request_id);
        let numbers: Vec<u64> = matching.map(|(number, _)| *number).collect();
        for number in &numbers {
            self.seats.remove(number).map(|seat| seat.cancel.send(()));
            self.release(*number);
        }
        numbers.len()
    }

    /// Forgets what a crash forgets; the count of starts is the test's own record and stays.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.seats.clear();
        self.samples.clear();
    }

    /// How often a request has started to run.
    pub(super) fn all_starts(&self) -> u64 {
        self.starts.values().sum()
    }

    pub(super) fn starts(&self, request_id: &str) -> u64 {
        self.starts.get(request_id).copied().unwrap_or(0)
    }

    /// Adds a load sample.
    pub(super) fn sample(&mut self, capacity: u64, version: &str, now_unix_ms: u64) {
        self.samples.push_back(Load {
            running: self.running.len() as u64,
            queued: self.waiting.len() as u64,
            capacity,
            version: version.to_owned(),
            reported_unix_ms: now_unix_ms,
        });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The latest sample taken at or before `until_unix_ms`, else the oldest one.
    pub(super) fn load(&self, until_unix_ms: u64) -> Load {
        let mut past = self.samples.iter().rev();
        let latest = past.find(|load| load.reported_unix_ms <= until_unix_ms);
        latest.or(self.samples.front()).cloned().unwrap_or_default()
    }
}
