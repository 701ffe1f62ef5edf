//! Whether a reply belongs to the request that waits for one, and whether its connection is used again.

/// What to do with a reply and its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyDecision {
    /// The reply counts for the request.
    Accept {
        /// Whether the connection may carry another request.
        is_kept: bool,
    },
    /// The reply belongs to another request or cannot be assigned; the connection is closed.
    Reject,
}

/// Judges a reply by the id that it echoes. `is_reused` states whether the connection has carried a reply before: a
/// reply without an id may then be a late copy of an earlier one. On a new connection it can only belong to the
/// request, but no later reply could be assigned, so that connection is not kept.
#[must_use]
pub fn judge_reply(sent: &[u8], echo: Option<&[u8]>, is_reused: bool) -> ReplyDecision {
    match echo {
        Some(echo) if echo == sent => ReplyDecision::Accept { is_kept: true },
        None if !is_reused => ReplyDecision::Accept { is_kept: false },
        Some(_) | None => ReplyDecision::Reject,
    }
}
