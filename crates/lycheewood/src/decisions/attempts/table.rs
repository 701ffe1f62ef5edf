//! Bounded table of the attempts that an endpoint process has seen.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Timestamp;
use crate::decisions::attempts::AttemptState;
use crate::ids::{AttemptId, Incarnation};

/// Attempts that this process has seen.
///
/// Promises are kept until they expire and running attempts until they end. Above `max` attempts, those
/// that ended first are evicted. An entry process numbers its attempts in ascending order, so the highest
/// evicted number is enough never to report an evicted attempt as not run: that attempt and all lower
/// ones without a record count as [`AttemptState::Lost`].
#[derive(Clone, Debug)]
pub struct AttemptTable {
    max: usize,
    attempts: BTreeMap<AttemptId, StoredState>,
    /// Ended attempts in the order in which they ended.
    ended: VecDeque<AttemptId>,
    /// Highest evicted sequence number by entry process; takes 16 bytes per entry process seen.
    evicted_up_to: BTreeMap<Incarnation, u64>,
}

#[derive(Clone, Copy, Debug)]
enum StoredState {
    Promised { until: Timestamp },
    Running,
    Answered,
    Lost,
}

impl AttemptTable {
    /// Creates an empty table for about `max` attempts. `max` should be well above the number of attempts
    /// that arrive within the longest deadline; otherwise the attempt of a delayed `Start` may count as
    /// lost although it never ran.
    #[must_use]
    pub const fn new(max: usize) -> Self {
        Self {
            max,
            attempts: BTreeMap::new(),
            ended: VecDeque::new(),
            evicted_up_to: BTreeMap::new(),
        }
    }

    /// Returns the state of `attempt` at `now`.
    #[must_use]
    pub fn state(&self, attempt: AttemptId, now: Timestamp) -> AttemptState {
        match self.attempts.get(&attempt) {
            Some(StoredState::Promised { until }) if *until > now => AttemptState::Promised,
            Some(StoredState::Running) => AttemptState::Running,
            Some(StoredState::Answered) => AttemptState::Answered,
            Some(StoredState::Lost) => AttemptState::Lost,
            Some(StoredState::Promised { .. }) | None => self.evicted_or_unseen(attempt),
        }
    }

    fn evicted_or_unseen(&self, attempt: AttemptId) -> AttemptState {
        let evicted_up_to = self.evicted_up_to.get(&attempt.incarnation);
        if evicted_up_to >= Some(&attempt.sequence) {
            AttemptState::Lost
        } else {
            AttemptState::NeverSeen
        }
    }

    /// Whether promises and running attempts fill the table, so that no further promise can be stored.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.attempts.len() - self.ended.len() >= self.max
    }

    /// Stores the promise that `attempt` never runs, and keeps it until `promise_until`; `None` stores
    /// nothing. An attempt that has started keeps its state.
    pub fn record_promise(&mut self, attempt: AttemptId, promise_until: Option<Timestamp>) {
        let Some(until) = promise_until else { return };
        let promised = StoredState::Promised { until };
        match self.attempts.entry(attempt).or_insert(promised) {
            StoredState::Promised { until: earlier } => *earlier = until.max(*earlier),
            StoredState::Running | StoredState::Answered | StoredState::Lost => {}
        }
        self.evict_ended();
    }

    /// Records that `attempt` is running.
    pub fn mark_running(&mut self, attempt: AttemptId) {
        self.attempts.insert(attempt, StoredState::Running);
        self.evict_ended();
    }

    /// Records that `attempt` has ended; `answered` if its complete answer is buffered.
    pub fn mark_ended(&mut self, attempt: AttemptId, answered: bool) {
        let Some(stored @ StoredState::Running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        *stored = if answered { StoredState::Answered } else { StoredState::Lost };
        self.ended.push_back(attempt);
        self.evict_ended();
    }

    /// Records that the buffered answer of `attempt` was dropped.
    pub fn mark_answer_dropped(&mut self, attempt: AttemptId) {
        if let Some(stored @ StoredState::Answered) = self.attempts.get_mut(&attempt) {
            *stored = StoredState::Lost;
        }
    }

    /// Removes expired promises. Call it periodically to free space; [`Self::state`] ignores them anyway.
    pub fn remove_expired_promises(&mut self, now: Timestamp) {
        self.attempts.retain(
            |_, stored| !matches!(stored, StoredState::Promised { until } if *until <= now),
        );
    }

    fn evict_ended(&mut self) {
        while self.attempts.len() > self.max {
            let Some(first) = self.ended.pop_front() else { return };
            self.attempts.remove(&first);
            let highest = self.evicted_up_to.entry(first.incarnation).or_default();
            *highest = first.sequence.max(*highest);
        }
    }
}
