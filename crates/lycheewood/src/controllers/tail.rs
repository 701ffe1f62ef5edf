//! Reading a stream of the log from its start onwards.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use tokio::time::sleep;

use crate::adapters::log::{LogClient, LogPage, LogRecord};
use crate::decisions::publication::{PageView, RecordView, is_inconsistent_page};
use crate::ids::Offset;
use crate::settings::Timing;

/// What the owner of a stream's state makes of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, kameo::Reply)]
pub(crate) enum TailStep {
    /// The page was applied; read on from this offset.
    Continue(Offset),
    /// The page was not applied; read again after a pause.
    Retry(Offset),
}

/// The result of one read, for the owner of the stream's state.
#[derive(Debug)]
pub(crate) struct TailRead {
    /// The page, or `None` when the log gave none.
    pub(crate) page: Option<LogPage>,
}

/// Reads a stream by long poll and hands each page to its owner, for as long as the owner runs.
pub(crate) async fn tail<A>(
    client: LogClient,
    stream: &'static str,
    owner: ActorRef<A>,
    timing: Timing,
) where
    A: Actor + Message<TailRead, Reply = TailStep>,
{
    let mut from = Offset(0);
    let mut wait_ms = 0;
    loop {
        let page = client.read(stream, from, wait_ms).await.ok();
        match owner.ask(TailRead { page }).await {
            Ok(TailStep::Continue(next)) => {
                from = next;
                wait_ms = timing.long_poll_ms;
            }
            Ok(TailStep::Retry(next)) => {
                from = next;
                wait_ms = 0;
                let bound_ms = timing.reconnect_max_ms.max(2);
                sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
            }
            Err(_) => return,
        }
    }
}

/// Borrowed views of records, as decisions take them.
pub(crate) fn record_views(records: &[LogRecord]) -> Vec<RecordView<'_>> {
    records
        .iter()
        .map(|record| RecordView {
            offset: record.offset,
            appended: record.appended,
            payload: &record.payload,
        })
        .collect()
}

/// Whether a page contradicts what was seen of its stream: its end went back, or its offsets are out of
/// order. `next` is the offset of the next record to apply.
pub(crate) fn is_inconsistent(page: &LogPage, seen_end: Offset, next: Offset) -> bool {
    let records = record_views(&page.records);
    let view = PageView {
        first_offset: page.first_offset,
        end_offset: page.end_offset,
        records: &records,
    };
    is_inconsistent_page(None, seen_end.max(next), &view)
}
