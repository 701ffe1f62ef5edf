//! The placement controller of an entry: leases of groups, and changes of their expert maps.

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

/// A lease is looked at this many times while it lasts, so that a renewal that failed is repeated.
const LOOKS_PER_LEASE: u64 = 20;

/// What a rank's daemon tells the holder of the lease.
#[derive(Debug)]
pub(crate) enum RankNews {
    /// A rank has staged a change.
    Staged(StageDone),
    /// A rank cannot stage a change any more.
    Refused(StageRefused),
    /// What a rank's engine measured.
    Report(Box<RankReport>),
}

/// The stream has been read, or time has passed.
struct Wake;

/// What the controller needs.
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
    /// Appends a record to the stream. What becomes of it shows when it is read back.
    fn append<T: serde::Serialize>(&self, record: &T) {
        let Ok(payload) = encode_record(record) else { return };
        let (log, payload) = (self.log.clone(), String::from_utf8_lossy(&payload).into_owned());
        tokio::spawn(async move { log.append(LEASES, payload).await });
    }
}

/// Owns this process's part in every group.
#[derive(Actor)]
pub(crate) struct PlacementController {
    config: PlacementConfig,
    groups: BTreeMap<ScopeName, Group>,
}

impl PlacementController {
    /// Starts the controller and the task that wakes it on the present runtime.
    pub(crate) fn start(config: PlacementConfig) -> ActorRef<Self> {
        let (feed, look_ms) = (config.feed.clone(), config.timing.lease_ms / LOOKS_PER_LEASE);
        let controller = Self { config, groups: BTreeMap::new() };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(follow_stream(feed, actor.clone(), look_ms));
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

impl Message<RankNews> for PlacementController {
    type Reply = ();

    async fn handle(&mut self, news: RankNews, _: &mut Context<Self, ()>) {
        let (RankNews::Staged(StageDone { scope, .. })
        | RankNews::Refused(StageRefused { scope, .. })) = &news
        else {
            if let RankNews::Report(report) = news
                && let Some(held) = self.groups.get_mut(&report.scope).and_then(Group::held)
            {
                held.report(&report, &self.config);
                self.advance();
            }
            return;
        };
        if let Some(held) = self.groups.get_mut(scope).and_then(Group::held) {
            held.record_status(&news);
            self.advance();
        }
    }
}

/// Wakes the controller after each read of the stream, and at fractions of a lease.
async fn follow_stream(feed: LeaseFeed, actor: ActorRef<PlacementController>, look_ms: u64) {
    let mut reads = feed.reads();
    loop {
        let look = timeout(Duration::from_millis(look_ms.max(1)), reads.changed());
        if let Ok(Err(_)) = look.await {
            return;
        }
        if actor.ask(Wake).await.is_err() {
            return;
        }
    }
}
