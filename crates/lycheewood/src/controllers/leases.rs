//! The lease controller of every node: leases and map decisions from stream `leases`.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::adapters::log::{LogClient, LogPage};
use crate::controllers::tail::{TailRead, TailStep, contradicts, tail};
use crate::decisions::groups::{GroupEffect, GroupLog};
use crate::decisions::leases::LeaseEffect;
use crate::decisions::map_change::MapEffect;
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries leases, joins and decisions on maps.
pub(crate) const LEASES: &str = "leases";

/// The fold of the stream for readers, with a signal after each read that was applied.
#[derive(Clone, Default)]
pub(crate) struct LeaseFeed {
    published: Arc<ArcSwap<GroupLog>>,
    reads: watch::Sender<u64>,
}

impl LeaseFeed {
    /// The fold as far as it has been read.
    pub(crate) fn load(&self) -> Arc<GroupLog> {
        self.published.load_full()
    }

    /// Whether the log has answered at least once.
    pub(crate) fn is_read(&self) -> bool {
        *self.reads.borrow() > 0
    }

    /// Counts the reads.
    pub(crate) fn reads(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }
}

/// Owns the fold of the stream.
#[derive(Actor)]
pub(crate) struct LeaseController {
    fold: GroupLog,
    feed: LeaseFeed,
    metrics: Arc<Metrics>,
}

impl LeaseController {
    /// Starts the controller and its reader on the present runtime.
    pub(crate) fn start(log: LogClient, timing: Timing, metrics: Arc<Metrics>) -> LeaseFeed {
        let feed = LeaseFeed::default();
        let controller = Self { fold: GroupLog::default(), feed: feed.clone(), metrics };
        let actor: ActorRef<Self> = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, LEASES, actor, timing));
        feed
    }

    fn apply(&mut self, page: &LogPage) -> TailStep {
        if contradicts(page, self.fold.end_offset(), self.fold.next_offset()) {
            self.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.fold.next_offset());
        }
        let stopped = self.fold.stopped();
        self.fold.read_bounds(page.first_offset, page.end_offset);
        for record in &page.records {
            let payload = record.payload.as_bytes();
            if let Some(effect) = self.fold.fold(record.offset, record.appended, payload) {
                self.count(effect);
            }
        }
        self.feed.published.store(Arc::new(self.fold.clone()));
        self.feed.reads.send_modify(|reads| *reads += 1);
        match self.fold.stopped() {
            // Without the rest of the stream this node neither grants nor decides; it reads on at the
            // pace of retries, since the records do not go away.
            Some(reason) => {
                if stopped.is_none() {
                    log::error!("lease stream stopped reason={reason}");
                }
                TailStep::Retry(self.fold.next_offset())
            }
            None => TailStep::Continue(self.fold.next_offset()),
        }
    }

    fn count(&self, effect: GroupEffect) {
        let (counters, label) = match effect {
            GroupEffect::Lease(LeaseEffect::Granted(_)) => {
                (&self.metrics.groups.lease_changes, "granted")
            }
            GroupEffect::Lease(LeaseEffect::Released(_)) => {
                (&self.metrics.groups.lease_changes, "released")
            }
            GroupEffect::Map(MapEffect::Committed(change)) => {
                self.metrics.groups.weights_moved.inc_by(self.fold.weights_moved(change));
                (&self.metrics.groups.map_changes, "committed")
            }
            GroupEffect::Map(MapEffect::Aborted(_)) => {
                (&self.metrics.groups.map_changes, "aborted")
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
        self.metrics.log_errors.inc();
        TailStep::Retry(self.fold.next_offset())
    }
}
