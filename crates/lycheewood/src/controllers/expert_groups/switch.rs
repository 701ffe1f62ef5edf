//! Carries a switch of a group's map out, order by order.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::clock::Timestamp;
use crate::controllers::expert_groups::demand::{Demand, DemandWatch};
use crate::controllers::expert_groups::group::{copy_ms, max_copies, statuses};
use crate::controllers::expert_groups::lease::LeaseKeeper;
use crate::controllers::expert_groups::{GroupPorts, ListedGroup};
use crate::decisions::expert_groups::{
    OrderReply, RankOrder, held_steps, imbalance, next_map, switch_lead_ms, switch_step,
};
use crate::decisions::log_lease::holding_rank;
use crate::decisions::placement::ExpertMap;
use crate::decisions::units::index_below;
use crate::gateway::GatewayState;
use crate::group_ports::RankClient as _;
use crate::lifecycle::map_switch::{Held, MapSwitch, Prepared, Preparing};

/// Time between two looks at whether a switch has taken effect, in milliseconds; about a pass.
const SETTLE_LOOK_MS: u64 = 30;
/// The longest time until every rank must be prepared, in milliseconds.
const PREPARE_MS: u64 = 8_000;
/// Time between two looks at whether ranks are prepared, in milliseconds.
const PREPARE_LOOK_MS: u64 = 30;
/// Time between two looks at demand while ranks copy, in milliseconds.
const DEMAND_LOOK_MS: u64 = 100;
/// Ranks that copy begin anew if that makes the most loaded rank lighter by this part of the mean load. A
/// copy takes some 400 ms, in which the present map goes on.
const RESTART_GAIN: f64 = 0.4;
/// Time of a pass that is assumed before one was measured, in milliseconds.
const PASS_MS: u64 = 40;
/// Bounds of the measured time of a pass, in milliseconds. Idle time between two looks is not part of a
/// pass.
const MIN_PASS_MS: u64 = 5;
const MAX_PASS_MS: u64 = 250;
/// Time until an order that got no reply is given again, in milliseconds.
const REPEAT_MS: u64 = 50;
/// A prepared map is used only if it makes the most loaded rank lighter by at least this part of the
/// mean load.
const MIN_GAIN: f64 = 0.05;
/// How long before a switch the group is asked to hold after such an order was refused, in milliseconds.
const MIN_REPEATED_LEAD_MS: u64 = 30;
/// Holds that may be refused because their pass had begun, until the switch is given up.
const MAX_HOLDS: u32 = 5;

/// Why a switch stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SwitchStop {
    #[error("the lease is over")]
    LeaseOver,
    #[error("a rank refuses; the group has formed anew or has another map")]
    Refused,
    #[error("a rank does not become prepared in time")]
    NotPrepared,
    #[error("the group is too fast for the lead time")]
    TooLate,
    #[error("demand has shifted; another map is better by now")]
    Outdated,
}

/// What a switch works with.
pub(super) struct SwitchRun<'a> {
    pub(super) state: &'a GatewayState,
    pub(super) ports: &'a GroupPorts,
    pub(super) lease: &'a LeaseKeeper,
    pub(super) listed: &'a ListedGroup,
    /// Orders that got no reply so far.
    pub(super) lost: usize,
}

impl SwitchRun<'_> {
    fn now(&self) -> Timestamp {
        self.state.clock.now()
    }

    /// Orders are given only under the lease.
    fn check_lease(&self) -> Result<(), SwitchStop> {
        let is_held = self.lease.may_order() && !self.ports.ranks.is_superseded();
        if is_held { Ok(()) } else { Err(SwitchStop::LeaseOver) }
    }

    /// Gives an order to some ranks at once, and again to those that do not reply, until all have.
    async fn order_all(
        &mut self,
        epoch: u64,
        order: &RankOrder,
        ranks: Vec<usize>,
    ) -> Result<(), SwitchStop> {
        let mut missing = ranks;
        while !missing.is_empty() {
            self.check_lease()?;
            let given = missing.iter().map(|rank| self.order(epoch, order, *rank));
            let replies = join_all(given).await;
            if replies
                .iter()
                .any(|reply| matches!(reply, OrderReply::Refused | OrderReply::OtherServer))
            {
                return Err(SwitchStop::Refused);
            }
            let unanswered = missing.iter().zip(&replies);
            let unanswered = unanswered.filter(|(_, reply)| **reply == OrderReply::Unknown);
            missing = unanswered.map(|(rank, _)| *rank).collect();
            self.lost += missing.len();
            if !missing.is_empty() {
                sleep(Duration::from_millis(REPEAT_MS)).await;
            }
        }
        Ok(())
    }

    /// The instance that gives an order to hold. A machine that fails right after it has done so must not
    /// be one that the held group waits for: neither this one nor that of a rank.
    fn relay(&self, order: &RankOrder) -> Option<SocketAddr> {
        matches!(order, RankOrder::Hold { .. }).then(|| any_relay(self.state)).flatten()
    }

    async fn order(&self, epoch: u64, order: &RankOrder, rank: usize) -> OrderReply {
        if !self.lease.may_order() {
            return OrderReply::Unknown;
        }
        let address = &self.listed.ranks[rank];
        self.ports.ranks.allow_direct_orders(!self.lease.is_log_away());
        let reply = match self.relay(order) {
            Some(relay) => self.ports.ranks.order_through(relay, address, epoch, order).await,
            None => self.ports.ranks.order(address, epoch, order).await,
        };
        if reply != OrderReply::Done {
            log::info!(
                "order not confirmed server={} epoch={epoch} order={} reply={reply:?}",
                address.endpoint,
                name(order)
            );
        }
        reply
    }
}

/// Any other instance that is ready.
fn any_relay(state: &GatewayState) -> Option<SocketAddr> {
    let (now, port) = (state.clock.now(), state.settings.relay_address.port());
    let peers = state.peers.load();
    let ready = peers.peers.iter().filter(|(_, peer)| peer.is_advertisable(now));
    let ready: Vec<IpAddr> = ready.map(|(address, _)| address.ip()).collect();
    let ip = *ready.get(index_below(rand::random(), ready.len().max(1)))?;
    Some(SocketAddr::new(ip, port))
}

const fn name(order: &RankOrder) -> &'static str {
    match order {
        RankOrder::Prepare { .. } => "prepare",
        RankOrder::Arm { .. } => "arm",
        RankOrder::Hold { .. } => "hold",
        RankOrder::Release { .. } => "release",
    }
}

/// Switches a group to `next`. Gives the map once all ranks are armed and the group is released.
pub(super) async fn run(
    run: &mut SwitchRun<'_>,
    version: u64,
    next: ExpertMap,
    present: &ExpertMap,
    watch: &mut DemandWatch,
    step: &mut Option<(u64, Timestamp)>,
) -> Result<ExpertMap, SwitchStop> {
    let begun = run.now();
    let copy_ms = longest_copy_ms(run.listed, present, &next);
    let switch = MapSwitch::propose(version, run.listed.epoch, next);
    let (switch, map) = prepare(run, switch, copy_ms, present, watch, step).await?;
    watch.read(run.state, run.ports, run.listed).await;
    if is_outdated(watch, present, &map) {
        return Err(SwitchStop::Outdated);
    }
    let prepared = run.now();
    let held = hold(run, switch, step).await?;
    let holding = run.now();
    arm_and_release(run, held).await?;
    log::info!(
        "map armed group={} version={version} prepare_ms={} hold_ms={} held_ms={}",
        run.listed.name,
        prepared.ms_since(begun),
        holding.ms_since(prepared),
        run.now().ms_since(holding)
    );
    settle(run, version).await?;
    Ok(map)
}

/// Waits until every rank shows that it uses the map. An idle group makes no passes, and its ranks stay
/// armed until requests come.
async fn settle(run: &mut SwitchRun<'_>, version: u64) -> Result<(), SwitchStop> {
    loop {
        sleep_under_lease(run, SETTLE_LOOK_MS).await?;
        let statuses = statuses(run.ports, run.listed).await.unwrap_or_default();
        if statuses.len() == run.listed.ranks.len()
            && statuses.iter().all(|status| status.map_version == version)
        {
            return Ok(());
        }
        // An order to hold that got no reply may be carried out after the release.
        for (rank, step) in held_steps(&statuses) {
            release(run, step, rank).await;
        }
        // Orders to a formation that is gone are refused; the list tells of it.
        if run.state.endpoints.load().table.entries().iter().any(|entry| {
            entry.group.as_ref().is_some_and(|group| {
                group.name == run.listed.name && group.epoch != run.listed.epoch
            })
        }) {
            return Err(SwitchStop::Refused);
        }
    }
}

/// Whether the present map is about as good as the next one, by what was chosen while ranks copied. A
/// map that is not armed costs nothing more.
fn is_outdated(watch: &DemandWatch, present: &ExpertMap, next: &ExpertMap) -> bool {
    let Some(demand) = watch.demand(present.ranks) else { return false };
    imbalance(present, &demand) < imbalance(next, &demand) + MIN_GAIN
}

/// Whether a map made from the present one now would be clearly better than one that is being copied.
fn is_surpassed(
    run: &SwitchRun<'_>,
    watch: &DemandWatch,
    present: &ExpertMap,
    next: &ExpertMap,
) -> bool {
    let Some(demand) = watch.demand(present.ranks) else { return false };
    let fresh = next_map(present, &demand, &run.listed.shape, max_copies(&run.listed.shape));
    fresh.is_some_and(|fresh| imbalance(&fresh, &demand) + RESTART_GAIN < imbalance(next, &demand))
}

/// How long the slowest rank copies, in milliseconds.
fn longest_copy_ms(listed: &ListedGroup, present: &ExpertMap, next: &ExpertMap) -> u64 {
    let mut copies = vec![0_usize; present.ranks];
    for copied in present.moves_to(next) {
        copies[copied.rank] += 1;
    }
    let most = copies.into_iter().max().unwrap_or(0);
    crate::decisions::units::ceil_ms(copy_ms(&listed.shape, most))
}

async fn prepare(
    run: &mut SwitchRun<'_>,
    mut switch: MapSwitch<Preparing>,
    copy_ms: u64,
    present: &ExpertMap,
    watch: &mut DemandWatch,
    step: &mut Option<(u64, Timestamp)>,
) -> Result<(MapSwitch<Prepared>, ExpertMap), SwitchStop> {
    let begun = run.now();
    let all = (0..switch.ranks()).collect();
    run.order_all(switch.epoch(), &switch.prepare_order(), all).await?;
    let copied_from = begun.plus_ms(copy_ms);
    loop {
        let wait_ms = copied_from.ms_since(run.now()).clamp(PREPARE_LOOK_MS, DEMAND_LOOK_MS);
        sleep_under_lease(run, wait_ms).await?;
        if watch.read(run.state, run.ports, run.listed).await == Demand::Jumped
            && is_surpassed(run, watch, present, switch.map())
        {
            return Err(SwitchStop::Outdated);
        }
        if run.now() < copied_from {
            continue;
        }
        if let Some(statuses) = statuses(run.ports, run.listed).await {
            let version = switch.version();
            for (rank, status) in statuses.iter().enumerate() {
                if status.prepared_versions.contains(&version) {
                    switch.record_prepared(rank);
                }
            }
            *step = statuses.iter().map(|status| status.step).max().map(|step| (step, run.now()));
        }
        switch = match switch.complete() {
            Ok(complete) => return Ok(complete),
            Err(switch) => switch,
        };
        if run.now().ms_since(begun) > PREPARE_MS + copy_ms {
            return Err(SwitchStop::NotPrepared);
        }
    }
}

/// Sleeps, and checks that the lease still lasts.
async fn sleep_under_lease(run: &SwitchRun<'_>, wait_ms: u64) -> Result<(), SwitchStop> {
    sleep(Duration::from_millis(wait_ms)).await;
    run.check_lease()
}

async fn hold(
    run: &mut SwitchRun<'_>,
    mut switch: MapSwitch<Prepared>,
    step: &mut Option<(u64, Timestamp)>,
) -> Result<MapSwitch<Held>, SwitchStop> {
    // Holds of different versions go to different ranks, so that none takes the place of another.
    let rank = holding_rank(switch.version(), switch.ranks());
    let mut lead_ms = switch_lead_ms(run.lost);
    for _ in 0..MAX_HOLDS {
        run.check_lease()?;
        let status = run.ports.ranks.status(&run.listed.ranks[rank]).await;
        let present = status.map(|status| status.step).ok_or(SwitchStop::TooLate)?;
        let pass_ms = pass_ms(step, present, run.now());
        let holding = switch.hold(switch_step(present, pass_ms, lead_ms), rank);
        // The same hold is given until the rank replies: another one could be carried out as well.
        match run.order_all(holding.epoch(), &holding.hold_order(), vec![rank]).await {
            Ok(()) => return Ok(holding.confirm_hold()),
            Err(SwitchStop::Refused) => switch = holding.hold_refused(),
            Err(reason) => return Err(reason),
        }
        lead_ms = (lead_ms * 2).max(MIN_REPEATED_LEAD_MS);
    }
    Err(SwitchStop::TooLate)
}

/// Time of a pass, from the last two looks.
fn pass_ms(last: &mut Option<(u64, Timestamp)>, present: u64, now: Timestamp) -> u64 {
    let former = last.replace((present, now));
    let Some((step, at)) = former.filter(|(step, _)| *step < present) else { return PASS_MS };
    (now.ms_since(at) / (present - step)).clamp(MIN_PASS_MS, MAX_PASS_MS)
}

async fn arm_and_release(
    run: &mut SwitchRun<'_>,
    mut switch: MapSwitch<Held>,
) -> Result<(), SwitchStop> {
    let missing: Vec<usize> = switch.pending_ranks().collect();
    run.order_all(switch.epoch(), &switch.arm_order(), missing.clone()).await?;
    for rank in missing {
        switch.record_armed(rank);
    }
    // All ranks were noted above, so the switch is complete.
    let Ok(armed) = switch.complete() else { return Err(SwitchStop::Refused) };
    run.order_all(armed.epoch(), &armed.release_order(), vec![armed.rank()]).await
}

/// Finishes a switch that another process has begun.
pub(super) async fn finish(
    run: &mut SwitchRun<'_>,
    version: u64,
    step: u64,
    rank: usize,
) -> Result<(), SwitchStop> {
    let (epoch, ranks) = (run.listed.epoch, run.listed.ranks.len());
    arm_and_release(run, MapSwitch::resume(version, epoch, ranks, step, rank)).await?;
    settle(run, version).await
}

/// Releases a group that is held for a switch that armed no rank.
pub(super) async fn release(run: &mut SwitchRun<'_>, step: u64, rank: usize) {
    let order = RankOrder::Release { step };
    let result = run.order_all(run.listed.epoch, &order, vec![rank]).await;
    log::info!("group released group={} step={step} result={result:?}", run.listed.name);
}
