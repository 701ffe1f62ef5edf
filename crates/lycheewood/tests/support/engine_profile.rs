//! Profile of an engine whose passes take some 140 ms at a full batch.

use lycheewood::EngineProfile;

pub(crate) const ENGINE: EngineProfile = EngineProfile {
    slots: 6,
    step_ms: 4.55,
    per_request_ms: 1.99,
    tokens_per_event: 6,
    prefill_tokens_per_s: 61_400.0,
    typical_prompt_tokens: 830.0,
    expert_share: 0.85,
    cost: None,
};
