//! Entries: they claim keys, dispatch attempts and recover earlier claims.

use lycheewood::{
    Attempt, AttemptId, AttemptPlanned, Claim, ClaimEntry, ClaimGranted, ClaimKey, ClaimPosition,
    ClaimResolution, ClaimSent, DenialReason, RecoveryReply, RecoveryStep, Timestamp,
    recovery_step,
};

use super::{
    AppendOutcome, MAX_DEADLINE_MS, Op, PendingRequest, SETTINGS, Stage, World, claim_key, record,
    start,
};

impl World {
    /// Claims a key for `count` attempts in one append, after the entries of `batch`.
    fn claim(&mut self, op: Op, key: ClaimKey, count: usize, mut batch: Vec<ClaimEntry>) {
        let first = u32::try_from(batch.len()).unwrap();
        let planned: Vec<_> = (0..count).map(|_| self.plan_claim(op, key)).collect();
        batch.extend(planned.iter().map(|(entry, _)| entry.clone()));
        let offset = self.append(batch, op.append);
        let deadline = self.clock(op.entry).plus_ms(MAX_DEADLINE_MS);
        for ((_, mut claim), index) in planned.into_iter().zip(first..) {
            if let Some(offset) = offset {
                claim = claim.appended(ClaimPosition { offset, index });
            }
            let attempt = Attempt::plan(claim.record().attempt);
            let stage = Stage::Sent(claim, attempt);
            self.entries[op.entry].pending_requests.push(PendingRequest { key, deadline, stage });
        }
    }

    fn plan_claim(&mut self, op: Op, key: ClaimKey) -> (ClaimEntry, Claim<ClaimSent>) {
        let e = &mut self.entries[op.entry];
        e.sequence += 1;
        let id = AttemptId { incarnation: e.incarnation, sequence: e.sequence };
        self.key_by_attempt.insert(id, key);
        let target = self.endpoints[op.endpoint].incarnation;
        Claim::new(record(key, id, target, op.endpoint)).send()
    }

    pub(super) fn send_claim(&mut self, op: Op) {
        let key = self.keys[self.keys.len() - 1 - op.key];
        if SETTINGS.check_key(&key, self.clock(op.entry)).is_ok() {
            self.claim(op, claim_key(&key), if op.likely { 1 } else { 2 }, Vec::new());
        }
    }

    /// Lets an entry act on the records that it has read; with `pauses` it stops between grant and dispatch.
    pub(super) fn process(&mut self, entry: usize, pauses: bool) {
        for pending in std::mem::take(&mut self.entries[entry].pending_requests) {
            if let Some(stage) = self.advance_stage(entry, pending.stage, pending.deadline, pauses)
            {
                self.entries[entry].pending_requests.push(PendingRequest { stage, ..pending });
            }
        }
        let e = &self.entries[entry];
        let release: Vec<_> = e.abandoned.iter().filter_map(|a| a.release(&e.table)).collect();
        self.append(release, AppendOutcome::Arrives);
    }

    fn advance_stage(
        &mut self,
        entry: usize,
        stage: Stage,
        deadline: Timestamp,
        pauses: bool,
    ) -> Option<Stage> {
        let late = self.clock(entry) >= deadline;
        let e = &mut self.entries[entry];
        match stage {
            Stage::Sent(claim, attempt) if late => {
                e.abandoned.push(claim.abandon());
                self.reported_not_run.insert(attempt.id());
            }
            Stage::Sent(claim, attempt) => match claim.resolve(&e.table) {
                ClaimResolution::Pending(claim) => return Some(Stage::Sent(claim, attempt)),
                ClaimResolution::Granted(claim) if pauses => {
                    return Some(Stage::Granted(claim, attempt));
                }
                ClaimResolution::Granted(claim) => self.dispatch(claim, attempt, deadline),
                ClaimResolution::Denied(claim) => {
                    let reason = claim.reason().clone();
                    e.abandoned.push(claim.abandon());
                    self.reported_not_run.insert(attempt.id());
                    let DenialReason::HeldBy(holder) = reason else { return None };
                    return Some(Stage::Held(holder, RecoveryReply::NotAsked));
                }
            },
            Stage::Granted(claim, attempt) => self.dispatch(claim, attempt, deadline),
            held @ Stage::Held(..) => return Some(held),
        }
        None
    }

    fn dispatch(
        &mut self,
        claim: Claim<ClaimGranted>,
        attempt: Attempt<AttemptPlanned>,
        deadline: Timestamp,
    ) {
        let (attempt, permit) = claim.dispatch(attempt).unwrap();
        let start = start(attempt.id(), permit.endpoint_incarnation, deadline);
        self.starts.push((permit.endpoint.as_str().parse().unwrap(), start, permit));
    }

    /// Asks the endpoint named in the latest claim that blocks a request of this entry.
    pub(super) fn recover(&mut self, op: Op) {
        let pending_requests = &mut self.entries[op.entry].pending_requests;
        let blocked = pending_requests.iter().rposition(|p| matches!(p.stage, Stage::Held(..)));
        let Some(pending) = blocked.map(|index| pending_requests.remove(index)) else { return };
        let Stage::Held(holder, reply) = pending.stage else { unreachable!() };
        let now = self.clock(op.entry);
        match recovery_step(&pending.key, &holder, reply, pending.deadline, now) {
            RecoveryStep::Ask | RecoveryStep::Wait => {
                let reply = if op.likely { self.ask(&holder) } else { RecoveryReply::NoAnswer };
                let stage = Stage::Held(holder, reply);
                self.entries[op.entry].pending_requests.push(PendingRequest { stage, ..pending });
                if reply == RecoveryReply::Promised {
                    self.recover(op);
                }
            }
            RecoveryStep::ClaimAgain(free) => {
                self.recovered.insert(pending.key);
                self.claim(Op { append: AppendOutcome::Arrives, ..op }, pending.key, 1, vec![free]);
            }
            RecoveryStep::Relay | RecoveryStep::Unknown(_) => {}
        }
    }
}
