//! Admission control: refuses requests that exceed their workspace's limit or cannot meet their deadline.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use kameo::actor::ActorRef;

use crate::clock::{Clock, Timestamp};
use crate::controllers::admission::{AdmissionController, AdmitRequest, RequestEnd};
use crate::decisions::admission::AdmissionDecision;
use crate::entry_state::{EntryState, InFlightGuard};
use crate::filters::exchange::{Admitted, Classified, Exchange};
use crate::ids::{TargetName, WorkspaceName};
use crate::outcome::{NotRunCode, RequestError};

/// Retry delay sent to a caller when the admission controller does not reply.
const CONTROL_UNAVAILABLE_RETRY_MS: u64 = 1_000;

/// Reports the end of an admitted request to the admission controller when dropped.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    controller: ActorRef<AdmissionController>,
    clock: Clock,
    started: Timestamp,
    workspace: WorkspaceName,
    target: TargetName,
    admitted: AdmissionDecision,
    completed: AtomicBool,
    _in_flight: InFlightGuard,
}

impl AdmissionGuard {
    /// Time since the request arrived, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.clock.now().ms_since(self.started)
    }

    /// Marks the answer as complete, so that its duration counts as a sample.
    pub(crate) fn mark_completed(&self) {
        self.completed.store(true, Ordering::Relaxed);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let end = RequestEnd {
            workspace: self.workspace.clone(),
            target: self.target.clone(),
            decision: self.admitted,
            elapsed_ms: self.elapsed_ms(),
            completed: self.completed.load(Ordering::Relaxed),
        };
        // The mailbox is unbounded, so sending fails only after the control thread has stopped.
        let _ = self.controller.tell(end).try_send();
    }
}

pub(crate) async fn apply<'r>(
    state: &EntryState,
    exchange: Exchange<'r, Classified>,
) -> Result<Exchange<'r, Admitted>, RequestError> {
    // Counted before the first await, so that a graceful shutdown waits for this request.
    let in_flight = state.count_in_flight();
    let spec = &exchange.stage.spec;
    let first_sent = exchange.request.key.map_or(exchange.now, |key| key.created());
    let request = AdmitRequest {
        workspace: spec.workspace.clone(),
        target: spec.target.clone(),
        kinds: spec.kinds.clone(),
        priority: spec.priority,
        first_sent,
        deadline: spec.deadline,
        is_caller_retry: exchange.request.is_caller_retry,
    };
    let admitted = state.admission.ask(request).await.map_err(|error| match error {
        kameo::error::SendError::HandlerError(not_run) => RequestError::NotRun(not_run),
        _ => RequestError::not_run(NotRunCode::Overloaded, CONTROL_UNAVAILABLE_RETRY_MS),
    })?;
    let guard = AdmissionGuard {
        controller: state.admission.clone(),
        clock: state.clock,
        started: exchange.now,
        workspace: spec.workspace.clone(),
        target: spec.target.clone(),
        admitted,
        completed: AtomicBool::new(false),
        _in_flight: in_flight,
    };
    Ok(exchange.advance(|Classified { mut spec }| {
        spec.priority = admitted.priority;
        Admitted::new(spec, Some(Arc::new(guard)))
    }))
}
