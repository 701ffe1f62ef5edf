//! The document controller: folds the log stream `documents` and publishes the document in force.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use kameo::Actor;
use kameo::actor::Spawn;
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use crate::adapters::log::{LogClient, LogPage};
use crate::controllers::Progress;
use crate::controllers::tail::{TailRead, TailStep, record_views, tail};
use crate::decisions::publication::{FoldState, Folded, Page, Start, choose_start, is_faulty};
use crate::document::checked::Document;
use crate::ids::Offset;
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries publications and snapshots.
pub(crate) const DOCUMENTS: &str = "documents";

/// The document in force on this node.
#[derive(Debug)]
pub(crate) struct DocumentInForce {
    /// Offset of its publication.
    pub(crate) version: Offset,
    /// The last record that this node has folded.
    pub(crate) upto: Option<Offset>,
    pub(crate) document: Arc<Document>,
}

/// Where the controller stands in the stream.
enum Reading {
    /// Collects all readable records, to choose the start of the fold among them.
    Scanning { records: Vec<crate::adapters::log::LogRecord> },
    /// Folds record by record.
    Folding,
}

/// Owns the fold of the stream `documents`.
#[derive(Actor)]
pub(crate) struct DocumentController {
    state: Option<FoldState>,
    reading: Reading,
    seen_end: Offset,
    log_up: bool,
    published: Arc<ArcSwapOption<DocumentInForce>>,
    progress: watch::Sender<Progress>,
    metrics: Arc<Metrics>,
}

impl DocumentController {
    /// Starts the controller and its reader on the present runtime.
    pub(crate) fn start(
        log: LogClient,
        published: Arc<ArcSwapOption<DocumentInForce>>,
        progress: watch::Sender<Progress>,
        timing: Timing,
        metrics: Arc<Metrics>,
    ) {
        metrics.document_version.set(-1);
        let controller = Self {
            state: None,
            reading: Reading::Scanning { records: Vec::new() },
            seen_end: Offset(0),
            log_up: false,
            published,
            progress,
            metrics,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, DOCUMENTS, actor, timing));
    }

    fn apply(&mut self, page: &LogPage) -> TailStep {
        let views = record_views(&page.records);
        let view =
            Page { first_offset: page.first_offset, end_offset: page.end_offset, records: &views };
        if is_faulty(self.state.as_ref(), self.seen_end, &view) {
            self.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.next_offset());
        }
        self.seen_end = self.seen_end.max(page.end_offset);
        match &mut self.reading {
            Reading::Folding => self.fold(&view),
            Reading::Scanning { .. } => self.scan(page),
        }
    }

    /// Collects records until all readable ones are there, then chooses the start among them.
    fn scan(&mut self, page: &LogPage) -> TailStep {
        let Reading::Scanning { records } = &mut self.reading else {
            return TailStep::Retry(self.next_offset());
        };
        records.extend(page.records.iter().cloned());
        let next = records.last().map_or(page.first_offset, |record| record.offset.next());
        if next < page.end_offset {
            return TailStep::Continue(next);
        }
        let records = std::mem::take(records);
        let views = record_views(&records);
        let all =
            Page { first_offset: page.first_offset, end_offset: page.end_offset, records: &views };
        match choose_start(self.state.as_ref(), &all) {
            Start::Continue => {}
            Start::Replace(state) => self.state = Some(state),
            Start::Unavailable => return TailStep::Retry(page.first_offset),
        }
        self.reading = Reading::Folding;
        self.fold(&all)
    }

    fn fold(&mut self, page: &Page<'_>) -> TailStep {
        let state = self.state.get_or_insert_default();
        let before = state.version();
        for record in page.records {
            match state.fold(record) {
                Ok(Folded::Refused { because, .. }) => {
                    log::info!("publication refused offset={} reason={because}", record.offset);
                }
                Ok(_) => {}
                Err(gap) => {
                    log::warn!("document stream has a gap {gap}");
                    self.reading = Reading::Scanning { records: Vec::new() };
                    return TailStep::Retry(page.first_offset);
                }
            }
        }
        if page.first_offset > state.next() {
            self.reading = Reading::Scanning { records: Vec::new() };
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
        self.metrics.document_version.set(version);
        self.published.store(Some(Arc::new(DocumentInForce {
            version: published.version,
            upto: state.upto(),
            document: Arc::clone(&published.document),
        })));
        self.progress.send_if_modified(|progress| {
            progress.version.replace(published.version) != Some(published.version)
        });
    }

    fn next_offset(&self) -> Offset {
        self.state.as_ref().map_or(Offset(0), FoldState::next)
    }
}

impl Message<TailRead> for DocumentController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        let up = read.page.is_some();
        if up != self.log_up {
            self.log_up = up;
            log::info!("log state changed stream={DOCUMENTS} up={up}");
        }
        if let Some(page) = read.page {
            return self.apply(&page);
        }
        self.metrics.log_errors.inc();
        TailStep::Retry(self.next_offset())
    }
}
