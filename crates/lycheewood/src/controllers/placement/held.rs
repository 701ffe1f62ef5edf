//! The work of a lease holder for its group: renew the lease, propose maps, and commit or abort changes.

use crate::clock::Timestamp;
use crate::controllers::placement::{PlacementConfig, RankMessage};
use crate::decisions::groups::group_rank_count;
use crate::decisions::leases::CurrentLease;
use crate::decisions::map_change::{
    GroupMaps, ProposalLead, RankProgress, Resolution, StageStatus, resolve_change,
};
use crate::decisions::placement::{
    ChangeCosts, ExpertMap, LoadForecast, LoadReport, PlacementDecision, PlacementView,
    decide_placement,
};
use crate::ids::{Incarnation, Offset};
use crate::lifecycle::lease::{Held, Lease, LeaseExpired};
use crate::lifecycle::map_change::{MapChange, Proposed};
use crate::wire::message::{RankReport, StageAsk};

/// Time to load the weights of one expert, as in the placement benchmark.
const EXPERT_LOAD_MS: f64 = 5.0;
/// Stall of the group when it switches to another map, as in the placement benchmark.
const SWITCH_STALL_MS: f64 = 150.0;
/// A change must recover its cost within this time. Expert popularity drifts over hours, not minutes.
const PAYBACK_HORIZON_MS: f64 = 600_000.0;
/// Orders and appends without a visible effect are repeated after the staging timeout divided by this.
const REPEAT_DIVISOR: u64 = 10;

/// A change without a decision, proposed by this process or by a former lease holder.
struct UndecidedChange {
    change: MapChange<Proposed>,
    statuses: Vec<StageStatus>,
    started_at: Timestamp,
    orders_sent_at: Option<Timestamp>,
    decision_sent_at: Option<Timestamp>,
}

/// A group whose lease this process holds.
pub(super) struct HeldGroup {
    lease: Lease<Held>,
    renewal_sent_at: Timestamp,
    undecided: Option<UndecidedChange>,
    reports: Vec<Option<RankReport>>,
    forecast: LoadForecast,
    /// The newest map and when it was first read, for the minimum interval between changes.
    newest_map: Option<(Offset, Timestamp)>,
    last_proposed_at: Option<Timestamp>,
    lead: ProposalLead,
}

impl HeldGroup {
    pub(super) fn new(lease: Lease<Held>, maps: &GroupMaps, now: Timestamp) -> Self {
        // The forecast takes its dimensions from the first input, so it waits for the reports of all ranks.
        let ranks = group_rank_count(lease.scope()).unwrap_or(0);
        Self {
            lease,
            renewal_sent_at: now,
            undecided: None,
            reports: vec![None; ranks],
            forecast: LoadForecast::new(),
            // A new holder does not know when the map was changed, so it assumes that it was just now.
            newest_map: maps.newest().map(|map| (map.change, now)),
            last_proposed_at: None,
            lead: ProposalLead::new(),
        }
    }

    /// Stores the measurements of the engine of a rank, and updates the forecast with them.
    pub(super) fn report(&mut self, report: &RankReport, config: &PlacementConfig) {
        let Some(slot) = self.reports.get_mut(report.rank) else { return };
        *slot = Some(report.clone());
        if report.tokens.is_empty() {
            return;
        }
        let Some(reports) = self.reports.iter().map(Option::as_ref).collect::<Option<Vec<_>>>()
        else {
            return;
        };
        let speeds: Vec<f64> = reports.iter().map(|report| report.speed).collect();
        let (ended, tokens) = (report.ended, &report.tokens);
        self.forecast.observe(&LoadReport { ended, tokens, speeds: &speeds });
        let step_times_ms: Vec<f64> = reports.iter().map(|report| report.step_ms).collect();
        config.metrics.groups.step_time_skew.set(skew_permille(&step_times_ms));
    }

    /// Stores the status of a rank for the pending change.
    pub(super) fn record_status(&mut self, message: &RankMessage) {
        let (rank, change, status) = match message {
            RankMessage::Staged(done) => {
                (done.rank, done.change, StageStatus::Staged(done.incarnation))
            }
            RankMessage::Refused(refused) => (refused.rank, refused.change, StageStatus::Refused),
            RankMessage::Report(_) => return,
        };
        let Some(pending) = self.undecided.as_mut().filter(|c| c.change.change() == change) else {
            return;
        };
        if let Some(slot) = pending.statuses.get_mut(rank) {
            *slot = status;
        }
    }

    /// Renews the lease if due, then drives the pending change to a decision or proposes a map.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease has ended or another one is current.
    pub(super) fn advance(
        &mut self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        current: Option<CurrentLease>,
        now: Timestamp,
    ) -> Result<(), LeaseExpired> {
        self.lease.confirm_renewal(current);
        let fencing = self.lease.fencing_token(now)?.number();
        if current.is_none_or(|lease| lease.fencing != fencing) {
            return Err(LeaseExpired);
        }
        self.renew(config, now)?;
        self.track_newest_map(maps, now);
        if maps.pending().is_some() {
            return self.drive_to_decision(config, maps, now);
        }
        self.undecided = None;
        self.propose(config, maps, now)
    }

    fn renew(&mut self, config: &PlacementConfig, now: Timestamp) -> Result<(), LeaseExpired> {
        // Renews after a third of the duration and repeats every tenth, so that a lost append is repeated well
        // before the end.
        let duration_ms = config.timing.lease_ms;
        let is_fresh = self.lease.deadline().ms_since(now) > duration_ms * 2 / 3;
        if is_fresh || now.ms_since(self.renewal_sent_at) < duration_ms / 10 {
            return Ok(());
        }
        self.renewal_sent_at = now;
        let record = self.lease.request_renewal(now)?;
        config.append(&record);
        Ok(())
    }

    fn track_newest_map(&mut self, maps: &GroupMaps, now: Timestamp) {
        let newest = maps.newest().map(|map| map.change);
        if newest != self.newest_map.map(|(change, _)| change) {
            self.newest_map = newest.map(|change| (change, now));
            self.lead = ProposalLead::new();
        }
    }

    /// Orders the ranks to stage the pending change, then appends its commit or abort.
    fn drive_to_decision(
        &mut self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        now: Timestamp,
    ) -> Result<(), LeaseExpired> {
        let Some(pending) = maps.pending() else { return Ok(()) };
        let repeat_ms = (config.timing.stage_wait_ms / REPEAT_DIVISOR).max(1);
        let is_due = |at: Option<Timestamp>| at.is_none_or(|at| now.ms_since(at) >= repeat_ms);
        if self.undecided.as_ref().is_none_or(|c| c.change.change() != pending.change) {
            let ranks = pending.map.ranks;
            let Some(change) = MapChange::from_pending(self.lease.scope(), maps, ranks) else {
                return Ok(());
            };
            let statuses = vec![StageStatus::Pending; ranks];
            self.undecided = Some(UndecidedChange {
                change,
                statuses,
                started_at: now,
                orders_sent_at: None,
                decision_sent_at: None,
            });
        }
        let Some(change) = &mut self.undecided else { return Ok(()) };
        let is_past_deadline = now.ms_since(change.started_at) >= config.timing.stage_wait_ms;
        match resolve_change(maps, &change.statuses, is_past_deadline) {
            Resolution::Wait if is_due(change.orders_sent_at) => {
                change.orders_sent_at = Some(now);
                send_stage_orders(config, maps, &self.lease, change, now)
            }
            Resolution::Commit(_) if is_due(change.decision_sent_at) => {
                change.decision_sent_at = Some(now);
                append_commit(config, maps, &self.lease, &change.statuses, now)
            }
            Resolution::Abort if is_due(change.decision_sent_at) => {
                change.decision_sent_at = Some(now);
                let ranks: Vec<_> = self.reports.iter().flatten().map(rank_progress).collect();
                self.lead.record_abort(pending, &change.statuses, &ranks, now);
                config.append(&change.change.abort(&self.lease, now)?);
                Ok(())
            }
            Resolution::Wait | Resolution::Commit(_) | Resolution::Abort => Ok(()),
        }
    }

    /// Proposes the first map, or a new one if it is worth the cost of the change.
    fn propose(
        &mut self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        now: Timestamp,
    ) -> Result<(), LeaseExpired> {
        let repeat_ms = config.timing.stage_wait_ms / REPEAT_DIVISOR;
        if self.last_proposed_at.is_some_and(|at| now.ms_since(at) < repeat_ms.max(1)) {
            return Ok(());
        }
        let Some(processes) = maps.processes() else { return Ok(()) };
        let Some(ranks) = self.progress(&processes) else { return Ok(()) };
        let lead_ms = config.timing.map_lead_ms;
        let Some(step) = self.lead.proposal_step(maps, &ranks, lead_ms, now) else { return Ok(()) };
        let Some((map, moves)) = self.choose_map(config, maps, now) else { return Ok(()) };
        log::info!("map proposed scope={} step={step} moves={moves}", self.lease.scope());
        config.append(&MapChange::propose(&self.lease, step, map, now)?);
        self.last_proposed_at = Some(now);
        Ok(())
    }

    /// The progress reported by each rank, or `None` until the current processes of all ranks have reported.
    fn progress(&self, processes: &[Incarnation]) -> Option<Vec<RankProgress>> {
        let progress = |(rank, process): (usize, &Incarnation)| {
            let report = self.reports.get(rank)?.as_ref()?;
            (report.incarnation == *process).then(|| rank_progress(report))
        };
        processes.iter().enumerate().map(progress).collect()
    }

    /// The map to propose, and the number of expert weights that it moves.
    fn choose_map(
        &self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        now: Timestamp,
    ) -> Option<(ExpertMap, u64)> {
        let Some(newest) = maps.newest() else {
            let report = self.reports.first()?.as_ref()?;
            let experts = report.tokens.first()?.len();
            let (ranks, layers) = (self.reports.len(), report.tokens.len());
            return Some((ExpertMap::round_robin(ranks, report.slots, experts, layers), 0));
        };
        let document = config.document.load();
        let policy = &document.as_ref()?.document.placement;
        let costs = ChangeCosts {
            load_ms: EXPERT_LOAD_MS,
            stall_ms: SWITCH_STALL_MS,
            horizon_ms: PAYBACK_HORIZON_MS,
        };
        let view = PlacementView {
            now,
            map: &newest.map,
            forecast: &self.forecast,
            policy,
            costs: &costs,
            last_changed: self.newest_map.map(|(_, at)| at),
        };
        match decide_placement(&view) {
            PlacementDecision::Change(change) => Some((change.map, change.moves.len() as u64)),
            PlacementDecision::Keep(_) => None,
        }
    }
}

fn rank_progress(report: &RankReport) -> RankProgress {
    RankProgress { next_step: report.next_step, step_ms: report.step_ms, measured: report.ended }
}

/// Difference between the slowest and the fastest step time, in thousandths of the mean.
#[allow(clippy::cast_possible_truncation, reason = "a float conversion saturates")]
fn skew_permille(step_times_ms: &[f64]) -> i64 {
    let slowest = step_times_ms.iter().copied().fold(0.0, f64::max);
    let fastest = step_times_ms.iter().copied().fold(f64::INFINITY, f64::min);
    let count = step_times_ms.iter().map(|_| 1.0).sum::<f64>();
    let mean = step_times_ms.iter().sum::<f64>() / count;
    if mean > 0.0 { ((slowest - fastest) / mean * 1_000.0) as i64 } else { 0 }
}

/// Orders every rank whose current process has not staged the change to stage it.
fn send_stage_orders(
    config: &PlacementConfig,
    maps: &GroupMaps,
    lease: &Lease<Held>,
    change: &UndecidedChange,
    now: Timestamp,
) -> Result<(), LeaseExpired> {
    let order = change.change.stage_order(lease, now)?;
    let endpoints = config.endpoints.load();
    for (rank, status) in change.statuses.iter().enumerate() {
        let process = maps.process(rank);
        if matches!(status, StageStatus::Staged(staged) if Some(*staged) == process) {
            continue;
        }
        let endpoint_of_rank = endpoints.endpoints.iter().find(|e| Some(e.incarnation) == process);
        if let Some(endpoint) = endpoint_of_rank {
            endpoint.link.stage(StageAsk {
                scope: lease.scope().clone(),
                change: order.change,
                step: order.step,
                fencing: order.fencing,
            });
        }
    }
    Ok(())
}

/// Appends the commit of the pending change, if every rank has staged it according to `statuses`.
fn append_commit(
    config: &PlacementConfig,
    maps: &GroupMaps,
    lease: &Lease<Held>,
    statuses: &[StageStatus],
    now: Timestamp,
) -> Result<(), LeaseExpired> {
    let Some(mut change) = MapChange::from_pending(lease.scope(), maps, statuses.len()) else {
        return Ok(());
    };
    for (rank, status) in statuses.iter().enumerate() {
        if let StageStatus::Staged(incarnation) = status {
            change.record_staged(rank, *incarnation, change.change());
        }
    }
    if let Ok(staged) = change.complete() {
        config.append(&staged.commit(lease, now)?);
    }
    Ok(())
}
