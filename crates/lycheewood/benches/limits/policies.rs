//! The policies compared. Each entry keeps its own state.

use lycheewood::{
    Admission, AdmissionPolicy, AdmissionRequest, Admitted, TargetLoad, Timestamp, Workspace, admit,
};

use crate::events::Variates;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// Everything is let in.
    None,
    /// A bound on the requests in flight at each entry, first come, first served.
    FifoLimit,
    /// Refuses what the last report says will be late.
    DeadlineOnly,
    Lycheewood,
}

pub(crate) const POLICIES: [(Policy, &str); 4] = [
    (Policy::None, "none"),
    (Policy::FifoLimit, "fifo_limit"),
    (Policy::DeadlineOnly, "deadline_only"),
    (Policy::Lycheewood, "lycheewood"),
];

/// Requests in flight for each slot that `fifo_limit` lets in: the best of 2, 3 and 4 in this model.
const FIFO_FACTOR: u32 = 2;

pub(crate) struct Entry {
    policy: AdmissionPolicy,
    pub(crate) state: Admission,
    in_flight: u32,
}

impl Entry {
    pub(crate) fn new() -> Self {
        let policy = AdmissionPolicy::default();
        Self { policy, state: Admission::default(), in_flight: 0 }
    }

    /// Admits a request, or tells when it may come again.
    pub(crate) fn admit(
        &mut self,
        policy: Policy,
        load: &TargetLoad,
        request: &AdmissionRequest<'_>,
        hold_ms: f64,
        now: Timestamp,
        random: &mut Variates,
    ) -> Result<Admitted, u64> {
        self.state.on_offered(&self.policy, load, now);
        let plain = Admitted { priority: request.priority, wait_ms: 0, load_factor: 1.0 };
        let verdict = match policy {
            Policy::None => Ok(plain),
            Policy::FifoLimit => {
                let bound = load.capacity * FIFO_FACTOR / load.entries;
                if self.in_flight < bound { Ok(plain) } else { Err(500) }
            }
            Policy::DeadlineOnly => {
                let waiting = load.reported.saturating_sub(load.capacity);
                let wait_ms = f64::from(waiting) * hold_ms / f64::from(load.capacity);
                let left_ms = request.deadline.ms_since(now);
                if crate::events::whole(wait_ms + hold_ms) <= left_ms {
                    Ok(plain)
                } else {
                    Err(500)
                }
            }
            Policy::Lycheewood => {
                admit(&self.policy, &self.state, load, request, now, random.word())
                    .map_err(|refused| refused.retry_after_ms)
            }
        };
        if verdict.is_ok() {
            self.in_flight += 1;
            self.state.on_admitted(&request.workspace.name, now);
        }
        verdict
    }

    pub(crate) fn end(
        &mut self,
        workspace: &Workspace,
        admitted: &Admitted,
        elapsed_ms: u64,
        now: Timestamp,
    ) {
        self.in_flight -= 1;
        self.state.on_end(&workspace.name, admitted, elapsed_ms, true, now);
    }
}
