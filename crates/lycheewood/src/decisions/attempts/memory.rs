//! What an endpoint process remembers of attempts, within a bound.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Timestamp;
use crate::decisions::attempts::Known;
use crate::ids::{AttemptId, Incarnation};

/// Attempts that this process has seen.
///
/// Promises are kept until they expire and running attempts until they end. When there are more than
/// `max` attempts, the ones that ended first are forgotten. Entries count their attempts upwards, so the
/// highest forgotten attempt of an entry process is enough to never vouch for a forgotten one: it and
/// all lower ones that are not remembered count as [`Known::Lost`].
#[derive(Clone, Debug)]
pub struct AttemptMemory {
    max: usize,
    attempts: BTreeMap<AttemptId, Remembered>,
    /// Ended attempts, the first one to end in front.
    ended: VecDeque<AttemptId>,
    /// Highest forgotten sequence by entry process: 16 bytes for each entry process that was seen.
    forgotten: BTreeMap<Incarnation, u64>,
}

#[derive(Clone, Copy, Debug)]
enum Remembered {
    Promised { until: Timestamp },
    Running,
    Answered,
    Lost,
}

impl AttemptMemory {
    /// An empty memory for about `max` attempts. `max` should be well above the number of attempts that
    /// come within the longest deadline; otherwise a delayed `Start` may count as lost although it never ran.
    #[must_use]
    pub const fn new(max: usize) -> Self {
        Self { max, attempts: BTreeMap::new(), ended: VecDeque::new(), forgotten: BTreeMap::new() }
    }

    /// What is known of `attempt` at `now`.
    #[must_use]
    pub fn known(&self, attempt: AttemptId, now: Timestamp) -> Known {
        match self.attempts.get(&attempt) {
            Some(Remembered::Promised { until }) if *until > now => Known::Promised,
            Some(Remembered::Running) => Known::Running,
            Some(Remembered::Answered) => Known::Answered,
            Some(Remembered::Lost) => Known::Lost,
            Some(Remembered::Promised { .. }) | None => self.unseen(attempt),
        }
    }

    fn unseen(&self, attempt: AttemptId) -> Known {
        let forgotten = self.forgotten.get(&attempt.incarnation);
        if forgotten >= Some(&attempt.sequence) { Known::Lost } else { Known::NeverSeen }
    }

    /// Whether promises and running attempts fill the memory, so that no further promise is given.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.attempts.len() - self.ended.len() >= self.max
    }

    /// Remembers the promise that `attempt` never runs, as long as the decision says: `remember_until`.
    /// An attempt that has started keeps what is known of it.
    pub fn promise(&mut self, attempt: AttemptId, remember_until: Option<Timestamp>) {
        let Some(until) = remember_until else { return };
        let promised = Remembered::Promised { until };
        match self.attempts.entry(attempt).or_insert(promised) {
            Remembered::Promised { until: earlier } => *earlier = until.max(*earlier),
            Remembered::Running | Remembered::Answered | Remembered::Lost => {}
        }
        self.forget_ended();
    }

    /// Remembers that `attempt` runs.
    pub fn start(&mut self, attempt: AttemptId) {
        self.attempts.insert(attempt, Remembered::Running);
        self.forget_ended();
    }

    /// Remembers that `attempt` has ended, with a whole answer that is buffered or without one.
    pub fn end(&mut self, attempt: AttemptId, answered: bool) {
        let Some(remembered @ Remembered::Running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        *remembered = if answered { Remembered::Answered } else { Remembered::Lost };
        self.ended.push_back(attempt);
        self.forget_ended();
    }

    /// Remembers that the buffered answer of `attempt` was dropped.
    pub fn drop_answer(&mut self, attempt: AttemptId) {
        if let Some(remembered @ Remembered::Answered) = self.attempts.get_mut(&attempt) {
            *remembered = Remembered::Lost;
        }
    }

    /// Forgets the promises that have expired. Call it now and then; answers do not depend on it.
    pub fn expire(&mut self, now: Timestamp) {
        self.attempts.retain(|_, r| !matches!(r, Remembered::Promised { until } if *until <= now));
    }

    fn forget_ended(&mut self) {
        while self.attempts.len() > self.max {
            let Some(first) = self.ended.pop_front() else { return };
            self.attempts.remove(&first);
            let highest = self.forgotten.entry(first.incarnation).or_default();
            *highest = first.sequence.max(*highest);
        }
    }
}
