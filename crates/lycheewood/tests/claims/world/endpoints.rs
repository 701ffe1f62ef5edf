//! Endpoints: they run attempts or promise not to run them.

use lycheewood::{
    ClaimHolder, EndpointView, Occupancy, RecoverDecision, RecoveryReply, RefusedReason,
    StartDecision, decide_recover, decide_start,
};

use super::{AppendOutcome, MAX_DEADLINE_MS, SETTINGS, World};

impl World {
    fn view(&self, endpoint: usize) -> EndpointView<'static> {
        let e = &self.endpoints[endpoint];
        let running = u32::try_from(e.running.len()).unwrap();
        EndpointView {
            incarnation: e.incarnation,
            draining: e.draining,
            engine_up: true,
            version: None,
            occupancy: Occupancy { running, capacity: 2, runs_alone: false },
            attempt_table_full: e.attempt_table.is_full(),
        }
    }

    /// Delivers any `Start` in flight. With `again` a copy of it stays in flight.
    pub(super) fn deliver_start(&mut self, which: usize, again: bool) {
        let Some(which) = which.checked_rem(self.starts.len()) else { return };
        let (endpoint, start, permit) = self.starts[which].clone();
        if !again {
            self.starts.remove(which);
        }
        let (view, now) = (self.view(endpoint), self.clock(2 - endpoint));
        let e = &mut self.endpoints[endpoint];
        match decide_start(&view, e.attempt_table.state(start.attempt, now), &start, now) {
            StartDecision::Run => {
                e.attempt_table.mark_running(start.attempt);
                e.running.push(start.attempt);
                self.executed.push(start.attempt);
                self.runs_after_recovery += usize::from(self.recovered.contains(&permit.key));
            }
            StartDecision::Refuse { reason, promise_until } => {
                e.attempt_table.record_promise(start.attempt, promise_until);
                // Another copy may reach the right process, so this refusal does not prove that the
                // attempt never runs.
                if reason != RefusedReason::OtherIncarnation {
                    self.recovered.insert(permit.key);
                    self.reported_not_run.insert(start.attempt);
                    self.append(vec![permit.recovered_entry()], AppendOutcome::Arrives);
                }
            }
            StartDecision::Attach | StartDecision::Fail => {}
        }
    }

    pub(super) fn ask(&mut self, holder: &ClaimHolder) -> RecoveryReply {
        let endpoint: usize = holder.endpoint.as_str().parse().unwrap();
        let (view, now) = (self.view(endpoint), self.clock(2 - endpoint));
        let max_ms = MAX_DEADLINE_MS + SETTINGS.clock_skew_ms;
        let attempt_table = &mut self.endpoints[endpoint].attempt_table;
        let state = attempt_table.state(holder.attempt, now);
        match decide_recover(&view, state, holder.endpoint_incarnation, max_ms, now) {
            RecoverDecision::Promise { promise_until, .. } => {
                attempt_table.record_promise(holder.attempt, promise_until);
                self.reported_not_run.insert(holder.attempt);
                RecoveryReply::Promised
            }
            RecoverDecision::Attach => RecoveryReply::Answer,
            RecoverDecision::Fail => RecoveryReply::Failed,
            RecoverDecision::Silent => RecoveryReply::NoAnswer,
        }
    }
}
