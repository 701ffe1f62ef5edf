//! A lease holder that changes the maps of a group whose steps take longer than its engines report, as on a
//! machine that does not give the processes enough time.

use lycheewood::{
    EngineRankState, ExpertMap, FencingNumber, GRANT_AHEAD_STEPS, GroupMaps, Incarnation,
    LeaseTable, MapEffect, MapRecord, Offset, ProposalLead, RankGate, RankProgress, Resolution,
    ScopeName, StageOrder, StageStatus, Timestamp, can_stage, map_version, resolve_change,
};

use crate::{SCOPE, grant};

const RANKS: usize = 4;
/// Step time that the engines report.
const REPORTED_STEP_MS: u64 = 2;
const LEAD_MS: u64 = 1_000;
const STAGE_WAIT_MS: u64 = 2_000;
const ORDER_INTERVAL_MS: u64 = 200;
const REPORT_INTERVAL_MS: u64 = 20;
/// Time from the append of a record until all processes have read it.
const READ_MS: u64 = 50;
const FENCING: FencingNumber = FencingNumber(1);

/// The group, its ranks' daemons and the holder of its lease, which proposes a map whenever it may.
struct SlowGroup {
    now: Timestamp,
    step_ms: u64,
    next_step: u64,
    next_step_at: Timestamp,
    leases: LeaseTable,
    maps: GroupMaps,
    /// A record that is not read yet, and when it will be.
    appended: Option<(Timestamp, MapRecord)>,
    next_offset: u64,
    gates: Vec<RankGate>,
    progress: Vec<RankProgress>,
    lead: ProposalLead,
    statuses: Vec<StageStatus>,
    pending_since: Timestamp,
    ordered: Option<Timestamp>,
    /// The steps from which the committed maps are used.
    committed_steps: Vec<u64>,
    aborts: usize,
    ineffective_proposals: usize,
}

impl SlowGroup {
    fn new(step_ms: u64) -> Self {
        let now = Timestamp::from_unix_ms(1_000_000);
        let mut leases = LeaseTable::new();
        grant(&mut leases, FENCING.0, 0);
        let mut maps = GroupMaps::new(ScopeName::new(SCOPE), RANKS);
        let mut gates = Vec::new();
        for rank in 0..RANKS {
            let incarnation = Incarnation(10 + rank as u64);
            let scope = ScopeName::new(SCOPE);
            let join = MapRecord::Join { scope, rank, incarnation, replaces: None };
            assert_eq!(maps.apply(Offset(2 + rank as u64), &join, &leases), MapEffect::Joined);
            gates.push(RankGate::new(rank, incarnation));
        }
        Self {
            now,
            step_ms,
            next_step: 0,
            next_step_at: now,
            leases,
            maps,
            appended: None,
            next_offset: 10,
            gates,
            progress: Vec::new(),
            lead: ProposalLead::new(),
            statuses: Vec::new(),
            pending_since: now,
            ordered: None,
            committed_steps: Vec::new(),
            aborts: 0,
            ineffective_proposals: 0,
        }
    }

    /// Lets one millisecond pass.
    fn tick(&mut self) {
        self.now = self.now.plus_ms(1);
        self.run_step();
        if self.now.unix_ms().is_multiple_of(REPORT_INTERVAL_MS) {
            let (next_step, measured) = (self.next_step, self.now);
            #[allow(clippy::cast_precision_loss, reason = "a few milliseconds")]
            let step_ms = REPORTED_STEP_MS as f64;
            self.progress = vec![RankProgress { next_step, step_ms, measured }; RANKS];
        }
        if let Some((_, record)) = self.appended.take_if(|(read_at, _)| *read_at <= self.now) {
            self.read(&record);
        }
        if self.appended.is_none() {
            self.hold();
        }
    }

    fn run_step(&mut self) {
        for gate in &mut self.gates {
            gate.raise_granted_end(self.next_step);
        }
        let wanted_end = self.next_step + GRANT_AHEAD_STEPS;
        let granted = self.gates.iter_mut().map(|gate| gate.grant(&self.maps, wanted_end));
        let granted = granted.collect::<Vec<_>>();
        let may_run = granted.iter().all(|end| end.is_some_and(|end| end > self.next_step));
        if !may_run {
            self.next_step_at = self.now.plus_ms(self.step_ms);
        } else if self.now >= self.next_step_at {
            self.next_step += 1;
            self.next_step_at = self.now.plus_ms(self.step_ms);
        }
    }

    fn append(&mut self, record: MapRecord) {
        self.appended = Some((self.now.plus_ms(READ_MS), record));
    }

    fn read(&mut self, record: &MapRecord) {
        let offset = Offset(self.next_offset);
        self.next_offset += 1;
        let effect = self.maps.apply(offset, record, &self.leases);
        match (record, effect) {
            (MapRecord::Propose { .. }, MapEffect::Proposed(_)) => {
                self.statuses = vec![StageStatus::Pending; RANKS];
                (self.pending_since, self.ordered) = (self.now, None);
            }
            (MapRecord::Propose { .. }, _) => self.ineffective_proposals += 1,
            (_, MapEffect::Committed(_)) => {
                self.lead = ProposalLead::new();
                self.committed_steps.extend(self.maps.newest().map(|newest| newest.step));
            }
            (_, MapEffect::Aborted(_)) => self.aborts += 1,
            _ => {}
        }
    }

    /// The work of the lease holder.
    fn hold(&mut self) {
        let scope = ScopeName::new(SCOPE);
        let Some(pending) = self.maps.pending() else {
            if self.progress.is_empty() {
                return;
            }
            let step = self.lead.proposal_step(&self.maps, &self.progress, LEAD_MS, self.now);
            if let Some(step) = step {
                let map = ExpertMap::round_robin(RANKS, 2, 4, 1);
                self.append(MapRecord::Propose { scope, fencing: FENCING, step, map });
            }
            return;
        };
        let order = StageOrder { change: pending.change, step: pending.step, fencing: FENCING };
        let (change, fencing) = (pending.change, FENCING);
        let is_past_deadline = self.now.ms_since(self.pending_since) >= STAGE_WAIT_MS;
        match resolve_change(&self.maps, &self.statuses, is_past_deadline) {
            Resolution::Wait => {
                if self.ordered.is_none_or(|at| self.now.ms_since(at) >= ORDER_INTERVAL_MS) {
                    self.ordered = Some(self.now);
                    self.stage(&order);
                }
            }
            Resolution::Commit(staged) => {
                self.append(MapRecord::Commit { scope, fencing, change, staged });
            }
            Resolution::Abort => {
                self.lead.record_abort(pending, &self.statuses, &self.progress, self.now);
                self.append(MapRecord::Abort { scope, fencing, change });
            }
        }
    }

    fn stage(&mut self, order: &StageOrder) {
        let last_step = self.next_step.saturating_sub(1);
        let map = self.maps.map_of_step(last_step).filter(|_| self.next_step > 0);
        let engine = EngineRankState {
            next_step: self.next_step,
            version: map.map_or(0, |map| map_version(map.change)),
            granted_until: self.next_step,
            staged_map: None,
        };
        if !can_stage(&engine, &self.maps) {
            return;
        }
        for (gate, status) in self.gates.iter_mut().zip(&mut self.statuses) {
            *status = match gate.stage(&self.maps, order) {
                Ok(()) => StageStatus::Staged(gate.incarnation()),
                Err(refusal) => refusal.stage_status(),
            };
        }
    }
}

/// Guards against a holder that proposes changes which no rank can stage yet, because the group has not reached
/// the step of the last map. Each such change ended with an abort that doubled the lead, so a slow group got
/// a map for a step that it did not reach within 30 s.
#[test]
fn a_slow_group_uses_each_map_after_the_lead() {
    for step_ms in [2, 6, 20, 60] {
        let mut group = SlowGroup::new(step_ms);
        // The lead in steps, the steps since the last report and those granted ahead, at the speed of the group.
        let lead_steps = (LEAD_MS + REPORT_INTERVAL_MS) / REPORTED_STEP_MS + GRANT_AHEAD_STEPS;
        let longest_ms = lead_steps * step_ms + STAGE_WAIT_MS;
        for change in 1..6 {
            let limit = group.now.plus_ms(longest_ms);
            let is_used = |group: &SlowGroup| {
                group.committed_steps.get(change - 1).is_some_and(|step| group.next_step > *step)
            };
            while !is_used(&group) {
                group.tick();
                assert!(
                    group.now < limit,
                    "map {change} of a group with steps of {step_ms} ms is not used after {longest_ms} ms: \
                     step {}, committed {:?}, {} aborts",
                    group.next_step,
                    group.committed_steps,
                    group.aborts
                );
            }
        }
        assert_eq!(group.aborts, 0, "with steps of {step_ms} ms");
        assert_eq!(group.ineffective_proposals, 0, "with steps of {step_ms} ms");
    }
}
