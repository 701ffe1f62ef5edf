//! Executes a switch of a group's expert map as a sequence of orders to its ranks.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::demand::{DemandMonitor, DemandUpdate};
use crate::controllers::expert_groups::group::{copy_ms, max_copies, read_statuses};
use crate::controllers::expert_groups::lease::LeaseHandle;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{
    OrderReply, RankOrder, RankStatus, held_steps, imbalance, may_release_hold, next_map,
    switch_lead_ms, switch_step,
};
use crate::decisions::log_lease::holding_rank;
use crate::decisions::placement::ExpertMap;
use crate::decisions::units::index_below;
use crate::gateway::GatewayState;
use crate::group_ports::{RankAddress, RankClient as _};
use crate::lifecycle::map_switch::{Held, MapSwitch, Prepared, Preparing};

/// Interval at which ranks are polled until the new map is in use, in milliseconds; about one pass.
const ACTIVATION_POLL_MS: u64 = 30;
/// One of this many of these polls asks all ranks, also while the switch is not in use: a hold that takes effect late
/// must not stop the group for long.
const POLLS_PER_FULL_READ: u32 = 5;
/// Time in addition to the copy time within which every rank must be prepared, in milliseconds.
const PREPARE_TIMEOUT_MS: u64 = 8_000;
/// Interval at which ranks are polled until they are prepared, in milliseconds.
const PREPARE_POLL_MS: u64 = 30;
/// Interval at which demand is polled while ranks copy, in milliseconds.
const DEMAND_POLL_MS: u64 = 100;
/// A preparation is abandoned for a new map that lowers the load of the most loaded rank by this fraction of
/// the mean load. The copies start over and take some 400 ms, during which the current map stays in use.
const RESTART_GAIN: f64 = 0.4;
/// Assumed duration of a pass until one has been measured, in milliseconds.
const DEFAULT_PASS_MS: u64 = 40;
/// Bounds of the measured duration of a pass, in milliseconds. They limit the effect of idle time between two
/// status reads.
const MIN_PASS_MS: u64 = 5;
const MAX_PASS_MS: u64 = 250;
/// Delay before an order without a reply is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 50;
/// A prepared map is used only if it lowers the load of the most loaded rank by at least this fraction of
/// the mean load.
const MIN_GAIN: f64 = 0.05;
/// Minimum time from the hold order to the held pass after a hold was refused, in milliseconds.
const MIN_RETRY_LEAD_MS: u64 = 30;
/// Number of hold orders after which a switch is abandoned. A hold is refused if its pass has begun.
const MAX_HOLD_ATTEMPTS: u32 = 5;

/// Why a switch stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SwitchError {
    #[error("the lease has ended; the next holder continues from the state of the ranks")]
    LeaseOver,
    #[error(
        "a rank refused an order; the group has formed again or uses another map, and its state is read again"
    )]
    Refused,
    #[error("a rank was not prepared in time; check its agent and its link")]
    NotPrepared,
    #[error(
        "the hold was refused too often or the rank sent no status; the switch is tried again later"
    )]
    TooLate,
    #[error("demand has shifted; a map for the new demand is computed next")]
    Outdated,
}

/// The group of a switch, and the interfaces that the switch uses.
pub(super) struct SwitchContext<'a> {
    pub(super) state: &'a GatewayState,
    pub(super) ports: &'a GroupPorts,
    pub(super) lease: &'a LeaseHandle,
    pub(super) listed: &'a ListedGroup,
    /// Number of orders without a reply so far.
    pub(super) unanswered: usize,
}

impl SwitchContext<'_> {
    fn now(&self) -> Timestamp {
        self.state.clock.now()
    }

    /// Returns an error unless the lease permits orders.
    fn check_lease(&self) -> Result<(), SwitchError> {
        let is_valid = self.lease.may_issue_orders() && !self.ports.ranks.is_superseded();
        if is_valid { Ok(()) } else { Err(SwitchError::LeaseOver) }
    }

    /// Sends an order to several ranks concurrently, and repeats it until every rank has replied.
    async fn send_to_all(
        &mut self,
        epoch: u64,
        order: &RankOrder,
        ranks: Vec<usize>,
    ) -> Result<(), SwitchError> {
        let mut pending = ranks;
        while !pending.is_empty() {
            self.check_lease()?;
            let sends = pending.iter().map(|rank| self.send_order(epoch, order, *rank));
            let replies = join_all(sends).await;
            if replies
                .iter()
                .any(|reply| matches!(reply, OrderReply::Refused | OrderReply::OtherServer))
            {
                return Err(SwitchError::Refused);
            }
            let unanswered = pending.iter().zip(&replies);
            let unanswered = unanswered.filter(|(_, reply)| **reply == OrderReply::Unknown);
            pending = unanswered.map(|(rank, _)| *rank).collect();
            self.unanswered += pending.len();
            if !pending.is_empty() {
                sleep(Duration::from_millis(ORDER_RETRY_MS)).await;
            }
        }
        Ok(())
    }

    /// Sends the order to arm to a rank and reads its status. Returns `None` if there is no reply to either.
    async fn arm_and_read(
        &self,
        epoch: u64,
        order: &RankOrder,
        rank: usize,
    ) -> Result<Option<RankStatus>, SwitchError> {
        if !self.lease.may_issue_orders() {
            return Ok(None);
        }
        let address = &self.listed.ranks[rank];
        self.ports.ranks.allow_direct_orders(!self.lease.is_log_unreachable());
        let (reply, status) = self.ports.ranks.order_and_status(address, epoch, order).await;
        log_reply(address, epoch, order, reply);
        match reply {
            OrderReply::Done => Ok(status),
            OrderReply::Unknown => Ok(None),
            OrderReply::Refused | OrderReply::OtherServer => Err(SwitchError::Refused),
        }
    }

    /// The instance that relays a hold order, or `None` for other orders and if no instance is ready. The
    /// machine that sends a hold may fail right after it, and the held group must not depend on that machine.
    /// So it is neither this instance, which completes the switch, nor the machine of a rank.
    fn relay_for(&self, order: &RankOrder) -> Option<SocketAddr> {
        matches!(order, RankOrder::Hold { .. }).then(|| random_relay(self.state)).flatten()
    }

    async fn send_order(&self, epoch: u64, order: &RankOrder, rank: usize) -> OrderReply {
        if !self.lease.may_issue_orders() {
            return OrderReply::Unknown;
        }
        let address = &self.listed.ranks[rank];
        self.ports.ranks.allow_direct_orders(!self.lease.is_log_unreachable());
        let reply = match self.relay_for(order) {
            Some(relay) => self.ports.ranks.order_through(relay, address, epoch, order).await,
            None => self.ports.ranks.order(address, epoch, order).await,
        };
        log_reply(address, epoch, order, reply);
        reply
    }
}

/// Logs the reply to an order that is not confirmed.
fn log_reply(rank: &RankAddress, epoch: u64, order: &RankOrder, reply: OrderReply) {
    if reply != OrderReply::Done {
        log::info!(
            "order not confirmed server={} epoch={epoch} order={} reply={reply:?}",
            rank.endpoint,
            order_name(order)
        );
    }
}

/// A random other instance that is ready, or `None` if there is none.
fn random_relay(state: &GatewayState) -> Option<SocketAddr> {
    let (now, port) = (state.clock.now(), state.settings.relay_address.port());
    let peers = state.peers.load();
    let ready = peers.peers.iter().filter(|(_, peer)| peer.is_advertisable(now));
    let ready: Vec<IpAddr> = ready.map(|(address, _)| address.ip()).collect();
    let ip = *ready.get(index_below(rand::random(), ready.len().max(1)))?;
    Some(SocketAddr::new(ip, port))
}

/// Name of an order in log lines.
const fn order_name(order: &RankOrder) -> &'static str {
    match order {
        RankOrder::Prepare { .. } => "prepare",
        RankOrder::Arm { .. } => "arm",
        RankOrder::Hold { .. } => "hold",
        RankOrder::Release { .. } => "release",
    }
}

/// Switches a group to `next`. Returns the map once every rank uses it.
pub(super) async fn run(
    context: &mut SwitchContext<'_>,
    version: u64,
    next: ExpertMap,
    current: &ExpertMap,
    monitor: &mut DemandMonitor,
    last_step: &mut Option<(u64, Timestamp)>,
) -> Result<ExpertMap, SwitchError> {
    let started = context.now();
    let copy_ms = longest_copy_ms(context.listed, current, &next);
    let switch = MapSwitch::propose(version, context.listed.epoch, next);
    let (switch, map) = prepare(context, switch, copy_ms, current, monitor, last_step).await?;
    monitor.poll(context.state, context.ports, context.listed).await;
    if is_outdated(monitor, current, &map) {
        return Err(SwitchError::Outdated);
    }
    let prepared_at = context.now();
    let held = hold(context, switch, last_step).await?;
    let rank = holding_rank(version, context.listed.ranks.len());
    let held_at = context.now();
    arm_and_release(context, held).await?;
    log::info!(
        "map armed group={} version={version} prepare_ms={} hold_ms={} held_ms={}",
        context.listed.name,
        prepared_at.ms_since(started),
        held_at.ms_since(prepared_at),
        context.now().ms_since(held_at)
    );
    wait_until_active(context, version, rank).await?;
    Ok(map)
}

/// Waits until every rank reports that it uses the map. All ranks switch in the same pass, so most polls ask only
/// `rank`. An idle group runs no passes, so its ranks stay armed until requests arrive.
async fn wait_until_active(
    context: &mut SwitchContext<'_>,
    version: u64,
    rank: usize,
) -> Result<(), SwitchError> {
    let mut polls = 0_u32;
    loop {
        sleep_under_lease(context, ACTIVATION_POLL_MS).await?;
        polls += 1;
        let status = context.ports.ranks.status(&context.listed.ranks[rank]).await;
        let is_active = status.is_some_and(|status| status.map_version == version);
        if !is_active && !polls.is_multiple_of(POLLS_PER_FULL_READ) {
            continue;
        }
        let statuses = read_statuses(context.ports, context.listed).await.unwrap_or_default();
        if statuses.len() == context.listed.ranks.len()
            && statuses.iter().all(|status| status.map_version == version)
        {
            return Ok(());
        }
        // A hold order without a reply may take effect after the release.
        for (rank, step) in held_steps(&statuses) {
            release_hold(context, &statuses, step, rank).await;
        }
        // Ranks refuse orders to an earlier formation, so the switch ends when the list shows another epoch.
        if context.state.endpoints.load().table.entries().iter().any(|entry| {
            entry.group.as_ref().is_some_and(|group| {
                group.name == context.listed.name && group.epoch != context.listed.epoch
            })
        }) {
            return Err(SwitchError::Refused);
        }
    }
}

/// Whether the next map is no longer clearly better than the current one, given the demand while ranks copied.
/// A prepared map that is not armed has no further cost.
fn is_outdated(monitor: &DemandMonitor, current: &ExpertMap, next: &ExpertMap) -> bool {
    let Some(demand) = monitor.demand(current.ranks) else { return false };
    imbalance(current, &demand) < imbalance(next, &demand) + MIN_GAIN
}

/// Whether a map computed for the present demand would be clearly better than the one being copied.
fn should_restart(
    context: &SwitchContext<'_>,
    monitor: &DemandMonitor,
    current: &ExpertMap,
    next: &ExpertMap,
) -> bool {
    let Some(demand) = monitor.demand(current.ranks) else { return false };
    let candidate =
        next_map(current, &demand, &context.listed.shape, max_copies(&context.listed.shape));
    candidate.is_some_and(|candidate| {
        imbalance(&candidate, &demand) + RESTART_GAIN < imbalance(next, &demand)
    })
}

/// Copy time of the rank with the most new experts, in milliseconds.
fn longest_copy_ms(listed: &ListedGroup, current: &ExpertMap, next: &ExpertMap) -> u64 {
    let mut copies = vec![0_usize; current.ranks];
    for copy in current.moves_to(next) {
        copies[copy.rank] += 1;
    }
    let most = copies.into_iter().max().unwrap_or(0);
    crate::decisions::units::ceil_ms(copy_ms(&listed.shape, most))
}

/// Orders the ranks to copy the new map and waits until all have. `copy_ms` is the expected copy time, in
/// milliseconds.
async fn prepare(
    context: &mut SwitchContext<'_>,
    mut switch: MapSwitch<Preparing>,
    copy_ms: u64,
    current: &ExpertMap,
    monitor: &mut DemandMonitor,
    last_step: &mut Option<(u64, Timestamp)>,
) -> Result<(MapSwitch<Prepared>, ExpertMap), SwitchError> {
    let started = context.now();
    let all = (0..switch.ranks()).collect();
    context.send_to_all(switch.epoch(), &switch.prepare_order(), all).await?;
    let copy_due = started.plus_ms(copy_ms);
    loop {
        let wait_ms = copy_due.ms_since(context.now()).clamp(PREPARE_POLL_MS, DEMAND_POLL_MS);
        sleep_under_lease(context, wait_ms).await?;
        if monitor.poll(context.state, context.ports, context.listed).await == DemandUpdate::Jumped
            && should_restart(context, monitor, current, switch.map())
        {
            return Err(SwitchError::Outdated);
        }
        if context.now() < copy_due {
            continue;
        }
        // Ranks that are prepared stay so, and a group has too many to ask all of them each time.
        let pending: Vec<usize> = switch.pending_ranks().collect();
        let ranks = &context.listed.ranks;
        let requests = pending.iter().map(|rank| context.ports.ranks.status(&ranks[*rank]));
        let statuses = join_all(requests).await;
        let version = switch.version();
        for (rank, status) in pending.into_iter().zip(&statuses) {
            if status.as_ref().is_some_and(|status| status.prepared_versions.contains(&version)) {
                switch.record_prepared(rank);
            }
        }
        let step = statuses.iter().flatten().map(|status| status.step).max();
        *last_step = step.map(|step| (step, context.now())).or(*last_step);
        switch = match switch.complete() {
            Ok(complete) => return Ok(complete),
            Err(switch) => switch,
        };
        if context.now().ms_since(started) > PREPARE_TIMEOUT_MS + copy_ms {
            return Err(SwitchError::NotPrepared);
        }
    }
}

/// Sleeps and then checks the lease.
async fn sleep_under_lease(context: &SwitchContext<'_>, wait_ms: u64) -> Result<(), SwitchError> {
    sleep(Duration::from_millis(wait_ms)).await;
    context.check_lease()
}

/// Holds the group before a pass. Sends a hold for a later pass if one is refused.
async fn hold(
    context: &mut SwitchContext<'_>,
    mut switch: MapSwitch<Prepared>,
    last_step: &mut Option<(u64, Timestamp)>,
) -> Result<MapSwitch<Held>, SwitchError> {
    // Holds of different versions go to different ranks, so that they do not overwrite each other.
    let rank = holding_rank(switch.version(), switch.ranks());
    let mut lead_ms = switch_lead_ms(context.unanswered);
    for _ in 0..MAX_HOLD_ATTEMPTS {
        context.check_lease()?;
        let status = context.ports.ranks.status(&context.listed.ranks[rank]).await;
        let current_step = status.map(|status| status.step).ok_or(SwitchError::TooLate)?;
        let pass_ms = pass_ms(last_step, current_step, context.now());
        let holding = switch.hold(switch_step(current_step, pass_ms, lead_ms), rank);
        // The same hold is sent until the rank replies, because a different one could take effect in addition.
        match context.send_to_all(holding.epoch(), &holding.hold_order(), vec![rank]).await {
            Ok(()) => return Ok(holding.confirm_hold()),
            Err(SwitchError::Refused) => switch = holding.hold_refused(),
            Err(error) => return Err(error),
        }
        lead_ms = (lead_ms * 2).max(MIN_RETRY_LEAD_MS);
    }
    Err(SwitchError::TooLate)
}

/// Duration of a pass, in milliseconds, measured between the status read in `last_step` and the current one,
/// which replaces it.
fn pass_ms(last_step: &mut Option<(u64, Timestamp)>, current_step: u64, now: Timestamp) -> u64 {
    let previous = last_step.replace((current_step, now));
    let Some((step, at)) = previous.filter(|(step, _)| *step < current_step) else {
        return DEFAULT_PASS_MS;
    };
    (now.ms_since(at) / (current_step - step)).clamp(MIN_PASS_MS, MAX_PASS_MS)
}

/// Arms every rank of a held group, and releases the group once the status of every rank shows that it is armed.
async fn arm_and_release(
    context: &mut SwitchContext<'_>,
    mut switch: MapSwitch<Held>,
) -> Result<(), SwitchError> {
    let armed = loop {
        context.check_lease()?;
        let pending: Vec<usize> = switch.pending_ranks().collect();
        let (epoch, order) = (switch.epoch(), switch.arm_order());
        // Each rank is read as soon as it has replied, since the held group waits for the slowest rank only.
        let arming = pending.iter().map(|rank| context.arm_and_read(epoch, &order, *rank));
        let statuses = join_all(arming).await.into_iter().collect::<Result<Vec<_>, _>>()?;
        for (rank, status) in pending.into_iter().zip(statuses) {
            let is_confirmed = status.as_ref().is_some_and(|status| switch.confirm(rank, status));
            if !is_confirmed {
                context.unanswered += 1;
                log::info!(
                    "rank not armed group={} server={} version={} status={status:?}",
                    context.listed.name,
                    context.listed.ranks[rank].endpoint,
                    switch.version()
                );
            }
        }
        switch = match switch.complete() {
            Ok(armed) => break armed,
            Err(switch) => switch,
        };
        sleep(Duration::from_millis(ORDER_RETRY_MS)).await;
    };
    context.send_to_all(armed.epoch(), &armed.release_order(), vec![armed.rank()]).await
}

/// Finishes a switch that another process started, from its held or armed state.
pub(super) async fn finish(
    context: &mut SwitchContext<'_>,
    version: u64,
    step: u64,
    rank: usize,
) -> Result<(), SwitchError> {
    let (epoch, ranks) = (context.listed.epoch, context.listed.ranks.len());
    arm_and_release(context, MapSwitch::resume(version, epoch, ranks, step, rank)).await?;
    wait_until_active(context, version, rank).await
}

/// Releases a hold that belongs to no switch in progress, unless the statuses of all ranks show that the held pass would
/// begin with two maps.
pub(super) async fn release_hold(
    context: &mut SwitchContext<'_>,
    statuses: &[RankStatus],
    step: u64,
    rank: usize,
) {
    if !may_release_hold(statuses, step) {
        log::warn!("group stays held group={} step={step} ranks={statuses:?}", context.listed.name);
        return;
    }
    let order = RankOrder::Release { step };
    let result = context.send_to_all(context.listed.epoch, &order, vec![rank]).await;
    log::info!("group released group={} step={step} result={result:?}", context.listed.name);
}
