//! Estimated work of one request at an engine.
//!
//! The prompt's size is exact. The length of the answer is not known: the caller's hint, the answers of the same route
//! and workspace, and the largest length that the caller allows bound it.

pub(crate) mod answers;

use crate::decisions::cost::answers::AnswerEstimate;
use crate::routes::raw::{CostProfile, EngineProfile};

/// Largest number of tokens that a caller's figures may state. Larger ones are absurd and count as this many.
const MAX_TOKENS: u32 = 1 << 20;
/// Longest header text that is read as figures.
const MAX_TEXT_BYTES: usize = 64;
/// Longest time that is charged for one prompt, in milliseconds, so that an absurd size does not outweigh all other
/// requests of an engine.
const MAX_PROMPT_MS: f64 = 60_000.0;

/// A header whose figures cannot be read; the request counts as one without them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the header has no readable token counts; write whole numbers of tokens")]
pub struct UnreadableTokens;

/// Tokens of a request as its caller states them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the answer, if the caller limits it.
    pub max_answer_tokens: Option<u32>,
}

impl TryFrom<&str> for TokenUsage {
    type Error = UnreadableTokens;

    fn try_from(text: &str) -> Result<Self, UnreadableTokens> {
        let mut parts = text.split(',');
        let prompt_tokens = tokens(parts.next().ok_or(UnreadableTokens)?)?;
        // An answer without a readable limit is one without a limit; the size of the prompt still counts.
        let max_answer_tokens = parts.next().and_then(|part| tokens(part).ok());
        Ok(Self { prompt_tokens, max_answer_tokens })
    }
}

/// The caller's estimate of the tokens of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthHint {
    /// Tokens of the answer; at least 1.
    pub answer_tokens: u32,
}

impl TryFrom<&str> for LengthHint {
    type Error = UnreadableTokens;

    fn try_from(text: &str) -> Result<Self, UnreadableTokens> {
        tokens(text).map(|answer_tokens| Self { answer_tokens })
    }
}

/// Reads a positive number of tokens and clamps it to [`MAX_TOKENS`]. A fraction is cut off.
fn tokens(text: &str) -> Result<u32, UnreadableTokens> {
    let text = text.trim();
    let whole = text.split('.').next().unwrap_or_default();
    let is_number = !whole.is_empty() && whole.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || text.len() > MAX_TEXT_BYTES {
        return Err(UnreadableTokens);
    }
    let count = whole.parse().unwrap_or(u32::MAX).min(MAX_TOKENS);
    if count == 0 { Err(UnreadableTokens) } else { Ok(count) }
}

/// What is known of a request before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Token counts of the caller.
    pub usage: TokenUsage,
    /// The caller's estimate of the answer's length.
    pub hint: Option<LengthHint>,
    /// Events that the caller already has, if it resumes a stream.
    pub events_received: u64,
}

/// Estimated work of a request, in milliseconds of an engine that runs nothing else.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// Time to read the prompt.
    pub prompt_ms: f64,
    /// Number of steps in which the prompt is read.
    pub prompt_steps: f64,
    /// Time that the request adds to the steps of one event.
    pub event_ms: f64,
    /// Expected number of events.
    pub events: f64,
    /// Largest number of events that the caller allows.
    pub max_events: f64,
}

impl RequestCost {
    /// The whole work, in milliseconds.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.prompt_ms + self.event_ms * self.events
    }

    /// Cost of a request whose caller states nothing, from the profile of its engine.
    #[must_use]
    pub fn typical(engine: &EngineProfile, cost: &CostProfile) -> Self {
        let events = cost.typical_answer_tokens / tokens_per_event(engine);
        Self::of_tokens(engine, cost, engine.typical_prompt_tokens, events.max(1.0), f64::INFINITY)
    }

    fn of_tokens(
        engine: &EngineProfile,
        cost: &CostProfile,
        prompt_tokens: f64,
        events: f64,
        max_events: f64,
    ) -> Self {
        let pairs_m = prompt_tokens * prompt_tokens / 2.0 / 1e6;
        let read_ms = prompt_tokens / engine.prefill_tokens_per_s.max(1.0) * 1_000.0;
        let tokens = tokens_per_event(engine);
        let context_k = (prompt_tokens + events * tokens / 2.0) / 1_000.0;
        Self {
            prompt_ms: (read_ms + pairs_m * cost.pairs_ms_per_m).min(MAX_PROMPT_MS),
            prompt_steps: cost
                .chunk_tokens
                .map_or(1.0, |chunk| (prompt_tokens / chunk.max(1.0)).ceil()),
            event_ms: tokens * (engine.per_request_ms + cost.context_ms_per_k * context_k),
            events,
            max_events,
        }
    }
}

/// Tokens of one event of a stream.
pub(crate) fn tokens_per_event(engine: &EngineProfile) -> f64 {
    f64::from(engine.tokens_per_event.max(1))
}

/// Estimates the work of a request. `answer` is what the answers of its route and workspace show.
#[must_use]
pub fn estimate_cost(
    engine: &EngineProfile,
    cost: &CostProfile,
    facts: &RequestFacts,
    answer: &AnswerEstimate,
) -> RequestCost {
    let received = u32::try_from(facts.events_received).unwrap_or(u32::MAX).min(MAX_TOKENS);
    let received_tokens = f64::from(received) * tokens_per_event(engine);
    let limit = facts.usage.max_answer_tokens.map_or(f64::INFINITY, f64::from);
    let hint = facts.hint.map(|hint| f64::from(hint.answer_tokens));
    let expected = answer.expected_tokens(hint, received_tokens).min(limit);
    let left = |tokens: f64| ((tokens - received_tokens) / tokens_per_event(engine)).max(1.0);
    // An engine that resumes a stream reads the part of the answer that the caller already has like a prompt.
    let prompt_tokens = f64::from(facts.usage.prompt_tokens) + received_tokens;
    RequestCost::of_tokens(engine, cost, prompt_tokens, left(expected), left(limit))
}
