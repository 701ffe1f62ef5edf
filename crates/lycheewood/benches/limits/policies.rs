//! The compared policies. Each entry keeps its own state.

use lycheewood::{
    AdmissionDecision, AdmissionPolicy, AdmissionRequest, AdmissionState, TargetLoad, Timestamp,
    Workspace, admit,
};

use crate::events::Variates;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// Admits every request.
    None,
    /// Limits the requests in flight at each entry, in order of arrival.
    FifoLimit,
    /// Refuses requests that would miss their deadline according to the last load report.
    DeadlineOnly,
    Lycheewood,
}

pub(crate) const POLICIES: [(Policy, &str); 4] = [
    (Policy::None, "none"),
    (Policy::FifoLimit, "fifo_limit"),
    (Policy::DeadlineOnly, "deadline_only"),
    (Policy::Lycheewood, "lycheewood"),
];

/// Requests in flight per slot that `fifo_limit` admits. Of 2, 3 and 4, 2 gives this policy its best result.
const FIFO_REQUESTS_PER_SLOT: u32 = 2;

pub(crate) struct Entry {
    policy: AdmissionPolicy,
    pub(crate) state: AdmissionState,
    in_flight: u32,
}

impl Entry {
    pub(crate) fn new() -> Self {
        let policy = AdmissionPolicy::default();
        Self { policy, state: AdmissionState::default(), in_flight: 0 }
    }

    /// Admits a request, or returns the delay after which the caller may retry, in milliseconds.
    pub(crate) fn admit(
        &mut self,
        policy: Policy,
        load: &TargetLoad,
        request: &AdmissionRequest<'_>,
        hold_ms: f64,
        now: Timestamp,
        random: &mut Variates,
    ) -> Result<AdmissionDecision, u64> {
        self.state.on_offered(&self.policy, load, now);
        let admitted =
            AdmissionDecision { priority: request.priority, wait_ms: 0, load_factor: 1.0 };
        let result = match policy {
            Policy::None => Ok(admitted),
            Policy::FifoLimit => {
                let limit = load.capacity * FIFO_REQUESTS_PER_SLOT / load.entries;
                if self.in_flight < limit { Ok(admitted) } else { Err(500) }
            }
            Policy::DeadlineOnly => {
                let waiting = load.reported_requests.saturating_sub(load.capacity);
                let wait_ms = f64::from(waiting) * hold_ms / f64::from(load.capacity);
                let remaining_ms = request.deadline.ms_since(now);
                if crate::events::whole(wait_ms + hold_ms) <= remaining_ms {
                    Ok(admitted)
                } else {
                    Err(500)
                }
            }
            Policy::Lycheewood => {
                admit(&self.policy, &self.state, load, request, now, random.word())
                    .map_err(|refused| refused.retry_after_ms)
            }
        };
        if result.is_ok() {
            self.in_flight += 1;
            self.state.on_admitted(&request.workspace.name, now);
        }
        result
    }

    pub(crate) fn end(
        &mut self,
        workspace: &Workspace,
        admitted: &AdmissionDecision,
        elapsed_ms: u64,
        now: Timestamp,
    ) {
        self.in_flight -= 1;
        self.state.on_end(&workspace.name, admitted, elapsed_ms, true, now);
    }
}
