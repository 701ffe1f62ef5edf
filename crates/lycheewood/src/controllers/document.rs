//! The document controller: applies the log stream `documents` and publishes the document in force.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;
use tokio::time::interval;

use crate::adapters::log::{LogClient, LogPage};
use crate::clock::Clock;
use crate::controllers::Progress;
use crate::controllers::tail::{TailRead, TailStep, record_views, tail};
use crate::decisions::publication::{
    OfferDecision, PageView, PublicationState, Record, RecordEffect, Snapshot, SnapshotView,
    StartPoint, choose_start, decide_offer, encode_record, is_inconsistent_page, is_snapshot_due,
};
use crate::document::checked::Document;
use crate::ids::Offset;
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries publications and snapshots.
pub(crate) const DOCUMENTS: &str = "documents";

/// The document in force on this node.
#[derive(Debug)]
pub(crate) struct CurrentDocument {
    /// Offset of its publication.
    pub(crate) version: Offset,
    /// Offset of the last record that this node has applied.
    pub(crate) upto: Option<Offset>,
    pub(crate) document: Arc<Document>,
}

/// How the controller processes the records that it reads.
enum ReadPhase {
    /// Collects all readable records, to choose the state to start from among them.
    Scanning { records: Vec<crate::adapters::log::LogRecord> },
    /// Applies record by record.
    Applying,
}

/// Whether this node writes the snapshots that replace expired records of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SnapshotRole {
    /// Appends a snapshot whenever one is due.
    Writer,
    /// Writes no snapshots and relies on those of other nodes.
    Reader,
}

/// Settings and dependencies of the controller.
pub(crate) struct DocumentConfig {
    pub(crate) log: LogClient,
    pub(crate) published: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) timing: Timing,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) snapshot_role: SnapshotRole,
}

/// Owns the state replayed from the stream `documents`.
#[derive(Actor)]
pub(crate) struct DocumentController {
    state: Option<PublicationState>,
    phase: ReadPhase,
    seen_end: Offset,
    log_available: bool,
    jitter_ms: u64,
    config: DocumentConfig,
}

/// Replaces the state by a peer's if the peer's is newer.
pub(crate) struct MergePeerSnapshot(pub(crate) Snapshot);

/// Asks for a snapshot of the state, if it is newer than the last offset that a peer has applied.
pub(crate) struct GetSnapshotAfter(pub(crate) Option<Offset>);

/// Asks whether this node needs a snapshot from its peers.
pub(crate) struct GetPeerStateNeed;

/// The snapshot that a node needs from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, kameo::Reply)]
pub(crate) enum PeerStateNeed {
    /// None, because the node applies the records of the log.
    Nothing,
    /// One whose `upto` is above this offset; any snapshot if `None`.
    SnapshotAfter(Option<Offset>),
}

/// Periodic message to write a snapshot if one is due.
struct SnapshotTick;

impl DocumentController {
    /// Starts the controller and its reader on the current runtime.
    pub(crate) fn start(config: DocumentConfig) -> ActorRef<Self> {
        config.metrics.document_version.set(-1);
        let (log, timing, snapshot_role) =
            (config.log.clone(), config.timing, config.snapshot_role);
        let controller = Self {
            state: None,
            phase: ReadPhase::Scanning { records: Vec::new() },
            seen_end: Offset(0),
            log_available: false,
            jitter_ms: rand::random_range(0..=timing.log_retention_ms / 6),
            config,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, DOCUMENTS, actor.clone(), timing));
        if snapshot_role == SnapshotRole::Writer {
            tokio::spawn(send_snapshot_ticks(actor.clone(), timing.log_retention_ms));
        }
        actor
    }

    /// Appends a snapshot if one is due. A failed append is retried at the next tick.
    fn write_snapshot_if_due(&self) {
        let Some(state) = &self.state else { return };
        let view = SnapshotView {
            state,
            retention_ms: self.config.timing.log_retention_ms,
            jitter_ms: self.jitter_ms,
        };
        // A node that cannot read the log does not know whether another node has written a snapshot.
        if !self.log_available || !is_snapshot_due(&view, self.config.clock.now()) {
            return;
        }
        let Some(snapshot) = state.to_snapshot() else { return };
        let payload = encode_record(&Record::Snapshot(snapshot));
        let (log, metrics) = (self.config.log.clone(), Arc::clone(&self.config.metrics));
        tokio::spawn(async move {
            if log.append(DOCUMENTS, payload).await.is_ok() {
                metrics.snapshots_written.inc();
            }
        });
    }

    fn merge_peer_snapshot(&mut self, snapshot: &Snapshot) {
        let OfferDecision::Adopt(state) = decide_offer(self.state.as_ref(), snapshot) else {
            return;
        };
        let before = self.state.as_ref().and_then(PublicationState::version);
        log::info!("document state replaced by a peer's upto={}", snapshot.upto);
        self.state = Some(state);
        self.publish(before);
    }

    fn apply(&mut self, page: &LogPage) -> TailStep {
        let views = record_views(&page.records);
        let view = PageView {
            first_offset: page.first_offset,
            end_offset: page.end_offset,
            records: &views,
        };
        if is_inconsistent_page(self.state.as_ref(), self.seen_end, &view) {
            self.config.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.next_offset());
        }
        self.seen_end = self.seen_end.max(page.end_offset);
        match &mut self.phase {
            ReadPhase::Applying => self.apply_records(&view),
            ReadPhase::Scanning { .. } => self.scan(page),
        }
    }

    /// Collects records until the end of the stream, then chooses the state to start from.
    fn scan(&mut self, page: &LogPage) -> TailStep {
        let ReadPhase::Scanning { records } = &mut self.phase else {
            return TailStep::Retry(self.next_offset());
        };
        records.extend(page.records.iter().cloned());
        let next = records.last().map_or(page.first_offset, |record| record.offset.next());
        if next < page.end_offset {
            return TailStep::Continue(next);
        }
        let records = std::mem::take(records);
        let views = record_views(&records);
        let all = PageView {
            first_offset: page.first_offset,
            end_offset: page.end_offset,
            records: &views,
        };
        match choose_start(self.state.as_ref(), &all) {
            StartPoint::Continue => {}
            StartPoint::Replace(state) => self.state = Some(state),
            StartPoint::Unavailable => {
                log::warn!("no usable snapshot first_offset={}", page.first_offset);
                return TailStep::Retry(page.first_offset);
            }
        }
        self.phase = ReadPhase::Applying;
        self.apply_records(&all)
    }

    fn apply_records(&mut self, page: &PageView<'_>) -> TailStep {
        let state = self.state.get_or_insert_default();
        let before = state.version();
        for record in page.records {
            match state.apply(record) {
                Ok(RecordEffect::Refused { reason, .. }) => {
                    log::info!("publication refused offset={} reason={reason}", record.offset);
                }
                Ok(_) => {}
                Err(gap) => {
                    log::warn!("document stream has a gap {gap}");
                    self.phase = ReadPhase::Scanning { records: Vec::new() };
                    return TailStep::Retry(page.first_offset);
                }
            }
        }
        if page.first_offset > state.next_offset() {
            self.phase = ReadPhase::Scanning { records: Vec::new() };
            return TailStep::Retry(page.first_offset);
        }
        self.publish(before);
        TailStep::Continue(self.next_offset())
    }

    fn publish(&self, before: Option<Offset>) {
        let Some(state) = &self.state else { return };
        let Some(published) = state.published() else { return };
        if before != Some(published.version) {
            log::info!("document in force version={}", published.version);
        }
        let version = i64::try_from(published.version.0).unwrap_or(i64::MAX);
        self.config.metrics.document_version.set(version);
        self.config.published.store(Some(Arc::new(CurrentDocument {
            version: published.version,
            upto: state.upto(),
            document: Arc::clone(&published.document),
        })));
        self.config.progress.send_if_modified(|progress| {
            progress.version.replace(published.version) != Some(published.version)
        });
    }

    fn next_offset(&self) -> Offset {
        self.state.as_ref().map_or(Offset(0), PublicationState::next_offset)
    }
}

impl Message<TailRead> for DocumentController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        let is_available = read.page.is_some();
        if is_available != self.log_available {
            self.log_available = is_available;
            log::info!("log availability changed stream={DOCUMENTS} up={is_available}");
        }
        if let Some(page) = read.page {
            return self.apply(&page);
        }
        self.config.metrics.log_errors.inc();
        TailStep::Retry(self.next_offset())
    }
}

impl Message<MergePeerSnapshot> for DocumentController {
    type Reply = ();

    async fn handle(
        &mut self,
        MergePeerSnapshot(snapshot): MergePeerSnapshot,
        _: &mut Context<Self, ()>,
    ) {
        self.merge_peer_snapshot(&snapshot);
    }
}

impl Message<GetSnapshotAfter> for DocumentController {
    type Reply = Option<Snapshot>;

    async fn handle(
        &mut self,
        GetSnapshotAfter(upto): GetSnapshotAfter,
        _: &mut Context<Self, Option<Snapshot>>,
    ) -> Option<Snapshot> {
        let state = self.state.as_ref().filter(|state| state.upto() > upto)?;
        state.to_snapshot()
    }
}

impl Message<GetPeerStateNeed> for DocumentController {
    type Reply = PeerStateNeed;

    async fn handle(
        &mut self,
        _: GetPeerStateNeed,
        _: &mut Context<Self, PeerStateNeed>,
    ) -> PeerStateNeed {
        let scanning = matches!(self.phase, ReadPhase::Scanning { .. });
        if self.log_available && !scanning {
            return PeerStateNeed::Nothing;
        }
        PeerStateNeed::SnapshotAfter(self.state.as_ref().and_then(PublicationState::upto))
    }
}

impl Message<SnapshotTick> for DocumentController {
    type Reply = ();

    async fn handle(&mut self, _: SnapshotTick, _: &mut Context<Self, ()>) {
        self.write_snapshot_if_due();
    }
}

/// Sends 60 snapshot ticks per retention period.
async fn send_snapshot_ticks(actor: ActorRef<DocumentController>, retention_ms: u64) {
    let mut ticks = interval(Duration::from_millis((retention_ms / 60).max(10)));
    loop {
        ticks.tick().await;
        if actor.tell(SnapshotTick).try_send().is_err() {
            return;
        }
    }
}
