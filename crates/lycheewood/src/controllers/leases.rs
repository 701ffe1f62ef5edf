//! The lease controller of every node: replays leases and map decisions from the log stream `leases`.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;
use tokio::time::interval;

use crate::adapters::log::{LogClient, LogPage};
use crate::clock::Clock;
use crate::controllers::document::SnapshotRole;
use crate::controllers::tail::{TailRead, TailStep, is_inconsistent, tail};
use crate::decisions::groups::{GroupEffect, GroupSnapshotView, GroupState, group_snapshot_due};
use crate::decisions::leases::{LeaseEffect, encode_record};
use crate::decisions::map_change::MapEffect;
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries leases, joins and decisions on maps.
pub(crate) const LEASES: &str = "leases";

/// The replayed state for readers, who are notified after each page.
#[derive(Clone, Default)]
pub(crate) struct LeaseFeed {
    published: Arc<ArcSwap<GroupState>>,
    reads: watch::Sender<u64>,
}

impl LeaseFeed {
    /// The state as far as the stream has been read.
    pub(crate) fn load(&self) -> Arc<GroupState> {
        self.published.load_full()
    }

    /// Whether at least one page has been read.
    pub(crate) fn is_read(&self) -> bool {
        *self.reads.borrow() > 0
    }

    /// The number of pages read; changes after each page.
    pub(crate) fn reads(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }
}

/// Settings and dependencies of the controller.
pub(crate) struct LeaseConfig {
    pub(crate) log: LogClient,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) snapshot_role: SnapshotRole,
}

/// Periodic message to write a snapshot if one is due.
struct SnapshotTick;

/// Owns the state replayed from the stream `leases`.
#[derive(Actor)]
pub(crate) struct LeaseController {
    state: GroupState,
    feed: LeaseFeed,
    jitter_ms: u64,
    config: LeaseConfig,
}

impl LeaseController {
    /// Starts the controller and its reader on the current runtime.
    pub(crate) fn start(config: LeaseConfig) -> LeaseFeed {
        let feed = LeaseFeed::default();
        let (log, timing, snapshot_role) =
            (config.log.clone(), config.timing, config.snapshot_role);
        let controller = Self {
            state: GroupState::default(),
            feed: feed.clone(),
            jitter_ms: rand::random_range(0..=timing.log_retention_ms / 6),
            config,
        };
        let actor: ActorRef<Self> = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        if snapshot_role == SnapshotRole::Writer {
            tokio::spawn(send_snapshot_ticks(actor.clone(), timing.log_retention_ms));
        }
        tokio::spawn(tail(log, LEASES, actor, timing));
        feed
    }

    /// Appends a snapshot if one is due. A failed append is retried at the next tick.
    fn write_snapshot_if_due(&self) {
        let view = GroupSnapshotView {
            state: &self.state,
            retention_ms: self.config.timing.log_retention_ms,
            jitter_ms: self.jitter_ms,
        };
        if !group_snapshot_due(&view, self.config.clock.now()) {
            return;
        }
        let payload = self.state.snapshot().and_then(|snapshot| encode_record(&snapshot).ok());
        let Some(payload) = payload.and_then(|bytes| String::from_utf8(bytes).ok()) else { return };
        let log = self.config.log.clone();
        tokio::spawn(async move { log.append(LEASES, payload).await });
    }

    fn apply(&mut self, page: &LogPage) -> TailStep {
        if is_inconsistent(page, self.state.end_offset(), self.state.next_offset()) {
            self.config.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.state.next_offset());
        }
        let previous_error = self.state.replay_error();
        self.state.observe_bounds(page.first_offset, page.end_offset);
        for record in &page.records {
            let payload = record.payload.as_bytes();
            if let Some(effect) = self.state.apply(record.offset, record.appended, payload) {
                self.count_effect(effect);
            }
        }
        self.feed.published.store(Arc::new(self.state.clone()));
        self.feed.reads.send_modify(|reads| *reads += 1);
        match self.state.replay_error() {
            // Without the rest of the stream this instance neither grants leases nor decides map changes. It
            // reads only at the retry interval, since the records that it cannot apply stay in the stream.
            Some(reason) => {
                if previous_error.is_none() {
                    log::error!("replay of the lease stream stopped reason={reason}");
                }
                TailStep::Retry(self.state.next_offset())
            }
            None => TailStep::Continue(self.state.next_offset()),
        }
    }

    fn count_effect(&self, effect: GroupEffect) {
        let (counters, label) = match effect {
            GroupEffect::Lease(LeaseEffect::Granted(_)) => {
                (&self.config.metrics.groups.lease_changes, "granted")
            }
            GroupEffect::Lease(LeaseEffect::Released(_)) => {
                (&self.config.metrics.groups.lease_changes, "released")
            }
            GroupEffect::Map(MapEffect::Committed(change)) => {
                self.config.metrics.groups.weights_moved.inc_by(self.state.weights_moved(change));
                (&self.config.metrics.groups.map_changes, "committed")
            }
            GroupEffect::Map(MapEffect::Aborted(_)) => {
                (&self.config.metrics.groups.map_changes, "aborted")
            }
            GroupEffect::Lease(_) | GroupEffect::Map(_) => return,
        };
        counters.with_label_values(&[label]).inc();
    }
}

impl Message<TailRead> for LeaseController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        if let Some(page) = read.page {
            return self.apply(&page);
        }
        self.config.metrics.log_errors.inc();
        TailStep::Retry(self.state.next_offset())
    }
}

impl Message<SnapshotTick> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, _: SnapshotTick, _: &mut Context<Self, ()>) {
        self.write_snapshot_if_due();
    }
}

/// Sends 60 snapshot ticks per retention period.
async fn send_snapshot_ticks(actor: ActorRef<LeaseController>, retention_ms: u64) {
    let mut ticks = interval(Duration::from_millis((retention_ms / 60).max(10)));
    loop {
        ticks.tick().await;
        if actor.tell(SnapshotTick).try_send().is_err() {
            return;
        }
    }
}
