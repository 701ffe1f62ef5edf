//! What the holder of a group's lease does: renews it, proposes maps and drives changes to their end.

use crate::clock::Timestamp;
use crate::controllers::placement::{PlacementConfig, RankNews};
use crate::controllers::rank::GRANT_AHEAD_STEPS;
use crate::decisions::groups::group_rank_count;
use crate::decisions::leases::CurrentLease;
use crate::decisions::map_change::{GroupMaps, Resolution, StageStatus, resolve_change};
use crate::decisions::placement::{
    ChangeCosts, ExpertMap, LoadForecast, LoadReport, PlacementDecision, PlacementView,
    decide_placement,
};
use crate::ids::{Incarnation, Offset};
use crate::lifecycle::lease::{Held, Lease, LeaseExpired};
use crate::lifecycle::map_change::{MapChange, Proposed};
use crate::wire::message::{RankReport, StageAsk};

/// Weight store and switch as in the bench of placement: one expert in 5 ms, a stall of 150 ms.
const LOAD_MS: f64 = 5.0;
const STALL_MS: f64 = 150.0;
/// A change has to pay off within this time. Popularity drifts within hours, not minutes.
const HORIZON_MS: f64 = 600_000.0;
/// The lead of a proposal grows by at most this factor when ranks refuse because it came too late.
const MAX_LEAD_FACTOR: u64 = 16;
/// An order or append whose effect has not shown is repeated after this part of the time to stage.
const REPEAT_PARTS: u64 = 10;

/// A pending change, this process's own or that of a former holder.
struct Driven {
    change: MapChange<Proposed>,
    statuses: Vec<StageStatus>,
    since: Timestamp,
    asked: Option<Timestamp>,
    decided: Option<Timestamp>,
}

/// A group whose lease this process holds.
pub(super) struct HeldGroup {
    lease: Lease<Held>,
    renewed: Timestamp,
    change: Option<Driven>,
    reports: Vec<Option<RankReport>>,
    forecast: LoadForecast,
    /// When the newest map was first read, for the least interval between changes.
    changed: Option<(Offset, Timestamp)>,
    /// When a map was last proposed.
    proposed: Option<Timestamp>,
    lead_factor: u64,
}

impl HeldGroup {
    pub(super) fn new(lease: Lease<Held>, maps: &GroupMaps, now: Timestamp) -> Self {
        // The forecast takes its shape from the first report, so it waits for every rank.
        let ranks = group_rank_count(lease.scope()).unwrap_or(0);
        Self {
            lease,
            renewed: now,
            change: None,
            reports: vec![None; ranks],
            forecast: LoadForecast::new(),
            // A new holder does not know when the map was changed; it may have been just now.
            changed: maps.newest().map(|map| (map.change, now)),
            proposed: None,
            lead_factor: 1,
        }
    }

    /// Updates the forecast with the measurements of a rank's engine.
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
        let times: Vec<f64> = reports.iter().map(|report| report.step_ms).collect();
        config.metrics.groups.step_time_skew.set(skew_permille(&times));
    }

    /// Stores the status of a rank for the pending change.
    pub(super) fn record_status(&mut self, news: &RankNews) {
        let (rank, change, status) = match news {
            RankNews::Staged(done) => {
                (done.rank, done.change, StageStatus::Staged(done.incarnation))
            }
            RankNews::Refused(refused) => (refused.rank, refused.change, StageStatus::Refused),
            RankNews::Report(_) => return,
        };
        let Some(pending) = self.change.as_mut().filter(|c| c.change.change() == change) else {
            return;
        };
        if let Some(slot) = pending.statuses.get_mut(rank) {
            *slot = status;
        }
    }

    /// Does what the stream and the time allow now.
    ///
    /// # Errors
    ///
    /// [`LeaseExpired`] when the lease is over.
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
        self.note_newest(maps, now);
        if maps.pending().is_some() {
            return self.drive(config, maps, now);
        }
        self.change = None;
        self.propose(config, maps, now)
    }

    fn renew(&mut self, config: &PlacementConfig, now: Timestamp) -> Result<(), LeaseExpired> {
        // Renewed after a third; an append that was lost is repeated well before the end.
        let duration_ms = config.timing.lease_ms;
        let is_fresh = self.lease.deadline().ms_since(now) > duration_ms * 2 / 3;
        if is_fresh || now.ms_since(self.renewed) < duration_ms / 10 {
            return Ok(());
        }
        self.renewed = now;
        let record = self.lease.request_renewal(now)?;
        config.append(&record);
        Ok(())
    }

    fn note_newest(&mut self, maps: &GroupMaps, now: Timestamp) {
        let newest = maps.newest().map(|map| map.change);
        if newest != self.changed.map(|(change, _)| change) {
            self.changed = newest.map(|change| (change, now));
            self.lead_factor = 1;
        }
    }

    /// Brings the pending change to its decision.
    fn drive(
        &mut self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        now: Timestamp,
    ) -> Result<(), LeaseExpired> {
        let Some(pending) = maps.pending() else { return Ok(()) };
        let repeat_ms = (config.timing.stage_wait_ms / REPEAT_PARTS).max(1);
        let is_due = |at: Option<Timestamp>| at.is_none_or(|at| now.ms_since(at) >= repeat_ms);
        if self.change.as_ref().is_none_or(|c| c.change.change() != pending.change) {
            let ranks = pending.map.ranks;
            let Some(change) = MapChange::from_pending(self.lease.scope(), maps, ranks) else {
                return Ok(());
            };
            let statuses = vec![StageStatus::Pending; ranks];
            self.change = Some(Driven { change, statuses, since: now, asked: None, decided: None });
        }
        let Some(change) = &mut self.change else { return Ok(()) };
        let is_late = now.ms_since(change.since) >= config.timing.stage_wait_ms;
        match resolve_change(maps, &change.statuses, is_late) {
            Resolution::Wait if is_due(change.asked) => {
                change.asked = Some(now);
                ask_ranks(config, maps, &self.lease, change, now)
            }
            Resolution::Commit(_) if is_due(change.decided) => {
                change.decided = Some(now);
                commit(config, maps, &self.lease, &change.statuses, now)
            }
            Resolution::Abort if is_due(change.decided) => {
                change.decided = Some(now);
                self.lead_factor = (self.lead_factor * 2).min(MAX_LEAD_FACTOR);
                config.append(&change.change.abort(&self.lease, now)?);
                Ok(())
            }
            Resolution::Wait | Resolution::Commit(_) | Resolution::Abort => Ok(()),
        }
    }

    /// Proposes the first map, or a better one if the decision finds one.
    fn propose(
        &mut self,
        config: &PlacementConfig,
        maps: &GroupMaps,
        now: Timestamp,
    ) -> Result<(), LeaseExpired> {
        let repeat_ms = config.timing.stage_wait_ms / REPEAT_PARTS;
        if self.proposed.is_some_and(|at| now.ms_since(at) < repeat_ms.max(1)) {
            return Ok(());
        }
        let Some(processes) = maps.processes() else { return Ok(()) };
        let Some((present, later)) = self.change_steps(config, &processes, now) else {
            return Ok(());
        };
        let Some((map, moves)) = self.wanted_map(config, maps, now) else { return Ok(()) };
        // Without a map no rank runs a step, so the first one begins where the group stands.
        let step = maps.newest().map_or(present, |newest| later.max(newest.step + 1));
        log::info!("map proposed scope={} step={step} moves={moves}", self.lease.scope());
        config.append(&MapChange::propose(&self.lease, step, map, now)?);
        self.proposed = Some(now);
        Ok(())
    }

    /// The step that the group runs next, and one that no rank will have granted when it gets the
    /// order, by the last reports of the present processes. `None` until all have reported.
    fn change_steps(
        &self,
        config: &PlacementConfig,
        processes: &[Incarnation],
        now: Timestamp,
    ) -> Option<(u64, u64)> {
        let (mut present, mut later) = (0, 0);
        for (rank, process) in processes.iter().enumerate() {
            let report = self.reports.get(rank)?.as_ref()?;
            if report.incarnation != *process {
                return None;
            }
            let lead_ms = config.timing.map_lead_ms.saturating_mul(self.lead_factor);
            let ahead_ms = lead_ms.saturating_add(now.ms_since(report.ended));
            let ahead = steps_in(ahead_ms, report.step_ms).saturating_add(GRANT_AHEAD_STEPS);
            present = present.max(report.next_step);
            later = later.max(report.next_step.saturating_add(ahead));
        }
        Some((present, later))
    }

    /// The map to propose, with the weights that it moves.
    fn wanted_map(
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
        let costs = ChangeCosts { load_ms: LOAD_MS, stall_ms: STALL_MS, horizon_ms: HORIZON_MS };
        let view = PlacementView {
            now,
            map: &newest.map,
            forecast: &self.forecast,
            policy,
            costs: &costs,
            last_changed: self.changed.map(|(_, at)| at),
        };
        match decide_placement(&view) {
            PlacementDecision::Change(change) => Some((change.map, change.moves.len() as u64)),
            PlacementDecision::Keep(_) => None,
        }
    }
}

/// Steps that a group runs in a time, rounded up; at the rate of one a millisecond if unknown.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a float conversion saturates, and the result is an estimate"
)]
fn steps_in(duration_ms: u64, step_ms: f64) -> u64 {
    (duration_ms as f64 / step_ms.max(1.0)).ceil() as u64
}

#[allow(clippy::cast_possible_truncation, reason = "a float conversion saturates")]
fn skew_permille(times: &[f64]) -> i64 {
    let slowest = times.iter().copied().fold(0.0, f64::max);
    let fastest = times.iter().copied().fold(f64::INFINITY, f64::min);
    let count = times.iter().map(|_| 1.0).sum::<f64>();
    let mean = times.iter().sum::<f64>() / count;
    if mean > 0.0 { ((slowest - fastest) / mean * 1_000.0) as i64 } else { 0 }
}

/// Sends the order to every rank that has not staged the change.
fn ask_ranks(
    config: &PlacementConfig,
    maps: &GroupMaps,
    lease: &Lease<Held>,
    change: &Driven,
    now: Timestamp,
) -> Result<(), LeaseExpired> {
    let order = change.change.stage_order(lease, now)?;
    let endpoints = config.endpoints.load();
    for (rank, status) in change.statuses.iter().enumerate() {
        let process = maps.process(rank);
        if matches!(status, StageStatus::Staged(staged) if Some(*staged) == process) {
            continue;
        }
        let of_rank = endpoints.endpoints.iter().find(|e| Some(e.incarnation) == process);
        if let Some(endpoint) = of_rank {
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

/// Appends the commit of the pending change, which the processes in `statuses` have staged.
fn commit(
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
