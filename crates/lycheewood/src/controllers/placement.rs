//! The placement controller of an entry: holds leases of expert groups and changes their expert maps.

mod group;
mod held;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::time::timeout;

use crate::adapters::log::LogClient;
use crate::clock::Clock;
use crate::controllers::document::CurrentDocument;
use crate::controllers::leases::{LEASES, LeaseFeed};
use crate::controllers::load::EndpointTable;
use crate::controllers::placement::group::Group;
use crate::decisions::leases::encode_record;
use crate::ids::{Incarnation, ScopeName};
use crate::metrics::Metrics;
use crate::settings::Timing;
use crate::wire::message::{RankReport, StageDone, StageRefused};

/// Number of checks per lease duration, so that a failed renewal is repeated in time.
const CHECKS_PER_LEASE: u64 = 20;

/// A message from the daemon of a rank to the lease holder.
#[derive(Debug)]
pub(crate) enum RankMessage {
    /// A rank has staged a change.
    Staged(StageDone),
    /// A rank can no longer stage a change.
    Refused(StageRefused),
    /// Measurements of the engine of a rank.
    Report(Box<RankReport>),
}

/// Sent after each read of the stream, and at the check interval.
struct Wake;

/// Configuration and dependencies of the controller.
pub(crate) struct PlacementConfig {
    pub(crate) incarnation: Incarnation,
    pub(crate) log: LogClient,
    pub(crate) feed: LeaseFeed,
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) endpoints: Arc<ArcSwap<EndpointTable>>,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
}

impl PlacementConfig {
    /// Appends a record to the stream. Its effect is known only once the record is read back.
    fn append<T: serde::Serialize>(&self, record: &T) {
        let Ok(payload) = encode_record(record) else { return };
        let (log, payload) = (self.log.clone(), String::from_utf8_lossy(&payload).into_owned());
        tokio::spawn(async move { log.append(LEASES, payload).await });
    }
}

/// Owns the state of every group: its lease as this process sees it, and the change that this process drives.
#[derive(Actor)]
pub(crate) struct PlacementController {
    config: PlacementConfig,
    groups: BTreeMap<ScopeName, Group>,
}

impl PlacementController {
    /// Starts the controller and the task that wakes it on the current Tokio runtime.
    pub(crate) fn start(config: PlacementConfig) -> ActorRef<Self> {
        let (feed, check_interval_ms) =
            (config.feed.clone(), config.timing.lease_ms / CHECKS_PER_LEASE);
        let controller = Self { config, groups: BTreeMap::new() };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(wake_periodically(feed, actor.clone(), check_interval_ms));
        actor
    }

    fn advance(&mut self) {
        let state = self.config.feed.load();
        if state.replay_error().is_some() {
            return;
        }
        for (scope, maps) in state.groups() {
            let group = self.groups.entry(scope.clone()).or_default();
            group.advance(&self.config, scope, maps, state.leases().current(scope));
        }
    }
}

impl Message<Wake> for PlacementController {
    type Reply = ();

    async fn handle(&mut self, _: Wake, _: &mut Context<Self, ()>) {
        self.advance();
    }
}

impl Message<RankMessage> for PlacementController {
    type Reply = ();

    async fn handle(&mut self, message: RankMessage, _: &mut Context<Self, ()>) {
        let (RankMessage::Staged(StageDone { scope, .. })
        | RankMessage::Refused(StageRefused { scope, .. })) = &message
        else {
            if let RankMessage::Report(report) = message
                && let Some(held) = self.groups.get_mut(&report.scope).and_then(Group::held)
            {
                held.report(&report, &self.config);
                self.advance();
            }
            return;
        };
        if let Some(held) = self.groups.get_mut(scope).and_then(Group::held) {
            held.record_status(&message);
            self.advance();
        }
    }
}

/// Wakes the controller after each read of the stream, and at least once per `check_interval_ms`.
async fn wake_periodically(
    feed: LeaseFeed,
    actor: ActorRef<PlacementController>,
    check_interval_ms: u64,
) {
    let mut reads = feed.reads();
    loop {
        let next_read = timeout(Duration::from_millis(check_interval_ms.max(1)), reads.changed());
        if let Ok(Err(_)) = next_read.await {
            return;
        }
        if actor.ask(Wake).await.is_err() {
            return;
        }
    }
}
