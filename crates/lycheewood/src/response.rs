//! The buffered response of an attempt at its endpoint, so that it can be sent again on a new connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::watch;

use crate::ids::AttemptId;
use crate::wire::message::{Chunk, End, Failed, Frame, Head, Refused, RefusedReason, Start, Work};

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseEnd {
    /// All chunks were received.
    Complete,
    /// The attempt failed and may have run.
    Failed {
        /// Whether the engine or service process died during the attempt.
        engine_died: bool,
    },
    /// The attempt never started.
    NotStarted,
}

#[derive(Debug, Default)]
struct Content {
    head: Option<Head>,
    chunks: Vec<Bytes>,
    end: Option<ResponseEnd>,
}

/// A response that grows until it ends. One task writes it, and any number of tasks read it.
#[derive(Debug)]
pub(crate) struct ResponseBuffer {
    attempt: AttemptId,
    /// Index of the first chunk: above 0 when another endpoint sent the earlier ones.
    first_index: u64,
    content: Mutex<Content>,
    updates: watch::Sender<u64>,
}

impl ResponseBuffer {
    pub(crate) fn new(start: &Start) -> Self {
        let first_index = match &start.work {
            Work::Model { resume_from_token, .. } => *resume_from_token,
            Work::Service { .. } => 0,
        };
        let (updates, _) = watch::channel(0);
        Self { attempt: start.attempt, first_index, content: Mutex::default(), updates }
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Index of the next chunk to be written.
    pub(crate) fn next_index(&self) -> u64 {
        self.first_index + self.content().chunks.len() as u64
    }

    pub(crate) fn set_head(&self, status: u16, content_type: String) {
        self.content().head = Some(Head { attempt: self.attempt, status, content_type });
        self.notify();
    }

    pub(crate) fn push(&self, chunk: Bytes) {
        self.content().chunks.push(chunk);
        self.notify();
    }

    pub(crate) fn finish(&self, end: ResponseEnd) {
        self.content().end.get_or_insert(end);
        self.notify();
    }

    /// Creates a reader that starts at the chunk with index `from`.
    pub(crate) fn reader(&self, from: u64) -> ResponseReader {
        let next_index = from.max(self.first_index);
        ResponseReader { updates: self.updates.subscribe(), next_index, head_sent: false }
    }
}

/// A read position in a response.
pub(crate) struct ResponseReader {
    updates: watch::Receiver<u64>,
    next_index: u64,
    head_sent: bool,
}

impl ResponseReader {
    /// Waits until at least one frame is available, and returns all that are. The last one is final when
    /// the response has ended; a further call returns the final frame again. `None` if no writer is left.
    pub(crate) async fn frames(&mut self, buffer: &ResponseBuffer) -> Option<Vec<Frame>> {
        loop {
            self.updates.borrow_and_update();
            let frames = self.available(buffer);
            if !frames.is_empty() {
                return Some(frames);
            }
            self.updates.changed().await.ok()?;
        }
    }

    fn available(&mut self, buffer: &ResponseBuffer) -> Vec<Frame> {
        let content = buffer.content();
        let mut frames = Vec::new();
        if let (Some(head), false) = (&content.head, self.head_sent) {
            frames.push(Frame::Head(head.clone()));
            self.head_sent = true;
        }
        let attempt = buffer.attempt;
        let skip = usize::try_from(self.next_index.saturating_sub(buffer.first_index)).unwrap_or(0);
        for chunk in content.chunks.iter().skip(skip) {
            frames.push(Frame::Chunk(Chunk {
                attempt,
                index: self.next_index,
                bytes: chunk.clone(),
            }));
            self.next_index += 1;
        }
        match content.end {
            Some(ResponseEnd::Complete) => {
                let chunks = buffer.first_index + content.chunks.len() as u64;
                frames.push(Frame::End(End { attempt, chunks }));
            }
            Some(ResponseEnd::Failed { engine_died }) => {
                frames.push(Frame::Failed(Failed { attempt, engine_died }));
            }
            Some(ResponseEnd::NotStarted) => {
                let reason = RefusedReason::EngineDown;
                frames.push(Frame::Refused(Refused { attempt, reason }));
            }
            None => {}
        }
        frames
    }
}

/// Whether a frame ends a response.
pub(crate) fn is_final(frame: &Frame) -> bool {
    matches!(frame, Frame::End(_) | Frame::Failed(_) | Frame::Refused(_))
}
