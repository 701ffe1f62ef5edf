//! The answer of an attempt at its endpoint, kept so that it can be sent again on a new connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::watch;

use crate::ids::AttemptId;
use crate::wire::message::{Chunk, End, Failed, Frame, Head, Refused, RefusedReason, Start, Work};

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerEnd {
    /// All pieces are there.
    Whole,
    /// It may have run and has failed.
    Failed {
        /// Whether the engine or service process died under it.
        engine_died: bool,
    },
    /// It never started.
    NotStarted,
}

#[derive(Debug, Default)]
struct Content {
    head: Option<Head>,
    pieces: Vec<Bytes>,
    end: Option<AnswerEnd>,
}

/// An answer that grows until it ends. Written by one task, read by any number.
#[derive(Debug)]
pub(crate) struct AnswerBuffer {
    attempt: AttemptId,
    /// Index of the first piece: above 0 when another endpoint sent the earlier ones.
    first_index: u64,
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
}

impl AnswerBuffer {
    pub(crate) fn new(start: &Start) -> Self {
        let first_index = match &start.work {
            Work::Model { resume_from_token, .. } => *resume_from_token,
            Work::Service { .. } => 0,
        };
        let (changed, _) = watch::channel(0);
        Self { attempt: start.attempt, first_index, content: Mutex::default(), changed }
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Index of the next piece to be written.
    pub(crate) fn next_index(&self) -> u64 {
        self.first_index + self.content().pieces.len() as u64
    }

    pub(crate) fn set_head(&self, status: u16, content_type: String) {
        self.content().head = Some(Head { attempt: self.attempt, status, content_type });
        self.notify();
    }

    pub(crate) fn push(&self, piece: Bytes) {
        self.content().pieces.push(piece);
        self.notify();
    }

    pub(crate) fn finish(&self, end: AnswerEnd) {
        self.content().end.get_or_insert(end);
        self.notify();
    }

    /// A reader that starts at the piece with index `from`.
    pub(crate) fn reader(&self, from: u64) -> AnswerReader {
        let next = from.max(self.first_index);
        AnswerReader { changed: self.changed.subscribe(), next, head_sent: false }
    }
}

/// A position in an answer.
pub(crate) struct AnswerReader {
    changed: watch::Receiver<u64>,
    next: u64,
    head_sent: bool,
}

impl AnswerReader {
    /// The frames that have become available, the last one final when the answer has ended.
    /// Waits until there is at least one. Gives `None` after the final frame.
    pub(crate) async fn frames(&mut self, buffer: &AnswerBuffer) -> Option<Vec<Frame>> {
        loop {
            self.changed.borrow_and_update();
            let frames = self.available(buffer);
            if !frames.is_empty() {
                return Some(frames);
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn available(&mut self, buffer: &AnswerBuffer) -> Vec<Frame> {
        let content = buffer.content();
        let mut frames = Vec::new();
        if let (Some(head), false) = (&content.head, self.head_sent) {
            frames.push(Frame::Head(head.clone()));
            self.head_sent = true;
        }
        let attempt = buffer.attempt;
        let skip = usize::try_from(self.next.saturating_sub(buffer.first_index)).unwrap_or(0);
        for piece in content.pieces.iter().skip(skip) {
            frames.push(Frame::Chunk(Chunk { attempt, index: self.next, bytes: piece.clone() }));
            self.next += 1;
        }
        match content.end {
            Some(AnswerEnd::Whole) => {
                let chunks = buffer.first_index + content.pieces.len() as u64;
                frames.push(Frame::End(End { attempt, chunks }));
            }
            Some(AnswerEnd::Failed { engine_died }) => {
                frames.push(Frame::Failed(Failed { attempt, engine_died }));
            }
            Some(AnswerEnd::NotStarted) => {
                let reason = RefusedReason::EngineDown;
                frames.push(Frame::Refused(Refused { attempt, reason }));
            }
            None => {}
        }
        frames
    }
}

/// Whether a frame ends an answer.
pub(crate) fn is_final(frame: &Frame) -> bool {
    matches!(frame, Frame::End(_) | Frame::Failed(_) | Frame::Refused(_))
}
