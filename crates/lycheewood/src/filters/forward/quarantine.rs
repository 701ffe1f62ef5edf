//! Refuses requests that are quarantined because they crash endpoints, and runs suspects as trials.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock::Timestamp;
use crate::controllers::quarantine::{RequestTrial, WithdrawTrial};
use crate::decisions::digest::Fingerprint;
use crate::decisions::quarantine::QuarantineDecision;
use crate::filters::forward::exchange::Admitted;
use crate::gateway::GatewayState;
use crate::ids::AttemptId;

/// The trial of a suspect. Ends the trial when dropped, so that the next attempt need not wait for its deadline.
pub(crate) struct Trial {
    state: Arc<GatewayState>,
    fingerprint: Fingerprint,
    attempt: AttemptId,
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(quarantine) = self.state.quarantine() {
            let withdraw = WithdrawTrial { fingerprint: self.fingerprint, attempt: self.attempt };
            let _ = quarantine.tell(withdraw).try_send();
        }
    }
}

/// Waits until `expires` for the end of a trial in another place that alone keeps the request from running. Another
/// gateway tells of the end after its caller has the answer, so a refusal at once may be out of date.
///
/// # Errors
///
/// The time until which the request is refused.
pub(crate) async fn wait_for_trial(
    state: &GatewayState,
    admitted: &Admitted,
    expires: Timestamp,
) -> Result<(), Timestamp> {
    let mut has_waited = false;
    loop {
        // Created before the check, so that no change in between is missed.
        let changed = state.quarantine_changed.notified();
        let now = state.clock.now();
        let until = match decide(state, admitted, None, now) {
            QuarantineDecision::RefuseUntil(until) => until,
            QuarantineDecision::Run
            | QuarantineDecision::NeedsTrial
            | QuarantineDecision::RunAlone { .. } => return Ok(()),
        };
        let trial_end = trial_end(state, admitted, now).ok_or(until)?;
        if now >= expires {
            return Err(until);
        }
        let wait_ms = trial_end.min(expires).ms_since(now).max(1);
        if !std::mem::replace(&mut has_waited, true) {
            state.metrics.trial_waits.inc();
        }
        // Decides again after a timeout as after a change.
        let _ = timeout(Duration::from_millis(wait_ms), changed).await;
    }
}

/// When the trial ends that alone keeps the request from running. A request with a trial of its own does not wait for
/// another one, whose request may wait for it.
pub(crate) fn trial_end(
    state: &GatewayState,
    admitted: &Admitted,
    now: Timestamp,
) -> Option<Timestamp> {
    if !admitted.trials.is_empty() {
        return None;
    }
    let none = no_attempt(state);
    state.quarantined.load().trial_end(&admitted.fingerprints(), None, none, now)
}

/// Called immediately before a request is sent in `attempt`. Starts a trial if the request is a suspect; the trial
/// lasts over all its attempts.
///
/// # Errors
///
/// The time until which the request is refused, because it is quarantined or another request runs its trial.
pub(crate) async fn permit(
    state: &Arc<GatewayState>,
    admitted: &mut Admitted,
    attempt: AttemptId,
) -> Result<(), Timestamp> {
    let now = state.clock.now();
    match decide(state, admitted, Some(attempt), now) {
        QuarantineDecision::Run | QuarantineDecision::RunAlone { .. } => return Ok(()),
        QuarantineDecision::RefuseUntil(until) => return Err(until),
        QuarantineDecision::NeedsTrial => {}
    }
    let Some(quarantine) = state.quarantine() else { return Ok(()) };
    let trial_attempt = admitted.trials.first().map_or(attempt, |trial| trial.attempt);
    let duration_ms = admitted.deadline.ms_since(now);
    for fingerprint in admitted.fingerprints() {
        let decision = state.quarantined.load().decide(&fingerprint, None, trial_attempt, now);
        if decision != QuarantineDecision::NeedsTrial {
            continue;
        }
        let (reply, granted) = oneshot::channel();
        let attempt = trial_attempt;
        let request = RequestTrial { fingerprint, attempt, version: None, duration_ms, reply };
        let _ = quarantine.tell(request).try_send();
        // The controller lives as long as the process, so it replies.
        granted.await.unwrap_or(Err(now))?;
        admitted.trials.push(Trial { state: Arc::clone(state), fingerprint, attempt });
    }
    Ok(())
}

fn decide(
    state: &GatewayState,
    admitted: &Admitted,
    attempt: Option<AttemptId>,
    now: Timestamp,
) -> QuarantineDecision {
    let trial = admitted.trials.first().map(|trial| trial.attempt);
    let attempt = trial.or(attempt).unwrap_or(no_attempt(state));
    state.quarantined.load().decide_all(&admitted.fingerprints(), None, attempt, now)
}

/// Stands for a request without a trial or an attempt: no trial is its own.
fn no_attempt(state: &GatewayState) -> AttemptId {
    AttemptId { incarnation: state.incarnation, sequence: 0 }
}
