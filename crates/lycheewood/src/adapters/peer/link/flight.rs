//! Attempts of this entry in the estimate of a link.

use std::sync::Arc;

use crate::adapters::peer::link::Link;
use crate::clock::{Clock, Timestamp};

/// Counts one attempt in the link's estimate until it ends.
#[derive(Debug)]
pub(crate) struct Flight {
    link: Arc<Link>,
    clock: Clock,
    started: Timestamp,
    answered: bool,
    ended: bool,
}

impl Flight {
    pub(super) fn start(link: Arc<Link>, clock: Clock) -> Self {
        let started = clock.now();
        link.estimate().on_start(started);
        Self { link, clock, started, answered: false, ended: false }
    }

    /// The head of the answer has come.
    pub(crate) fn answered(&mut self) {
        if !std::mem::replace(&mut self.answered, true) {
            let now = self.clock.now();
            self.link.estimate().on_first_token(now, now.ms_since(self.started));
        }
    }

    /// The answer is whole.
    pub(crate) fn completed(&mut self) {
        self.answered();
        if !std::mem::replace(&mut self.ended, true) {
            self.link.estimate().on_end(self.clock.now());
        }
    }

    /// The attempt failed; it counts as at least `penalty_ms` long.
    pub(crate) fn failed(&mut self, penalty_ms: u64) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.clock.now();
            let elapsed_ms = now.ms_since(self.started);
            self.link.estimate().on_error(now, elapsed_ms, penalty_ms, self.answered);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.clock.now();
        let mut estimate = self.link.estimate();
        if self.answered { estimate.on_end(now) } else { estimate.on_cancelled(now) }
    }
}
