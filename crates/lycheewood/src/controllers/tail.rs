//! Tails a stream of the log from its start.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use tokio::time::sleep;

use crate::adapters::log::{LogClient, LogPage, LogRecord};
use crate::decisions::publication::{PageView, RecordView, is_inconsistent_page};
use crate::ids::Offset;
use crate::settings::Timing;

/// Where to continue reading, as decided by the actor that owns the stream's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, kameo::Reply)]
pub(crate) enum TailStep {
    /// The page was applied; read the next one from this offset.
    Continue(Offset),
    /// The page was not applied; read from this offset after a random delay.
    Retry(Offset),
}

/// The result of one read, sent to the owner of the stream's state.
#[derive(Debug)]
pub(crate) struct TailRead {
    /// The page, or `None` when the read failed.
    pub(crate) page: Option<LogPage>,
}

/// Reads a stream by long polling and sends the result of each read to its owner, until the owner stops.
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

/// Borrows records as the views that deciding functions take.
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

/// Whether a page is inconsistent with earlier reads of its stream: its end offset decreased, or its
/// offsets are out of order. `next` is the offset of the next record to apply.
pub(crate) fn is_inconsistent(page: &LogPage, seen_end: Offset, next: Offset) -> bool {
    let records = record_views(&page.records);
    let view = PageView {
        first_offset: page.first_offset,
        end_offset: page.end_offset,
        records: &records,
    };
    is_inconsistent_page(None, seen_end.max(next), &view)
}
