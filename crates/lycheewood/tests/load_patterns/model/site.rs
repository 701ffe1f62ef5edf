//! The sizes of the modelled deployments.

use lycheewood::EngineProfile;

use super::CLASSES;
use crate::engine_profile::ENGINE;

/// Sizes and targets of a deployment.
pub(crate) struct Site {
    pub(crate) engine: EngineProfile,
    pub(crate) ranks: usize,
    pub(crate) gateways: usize,
    /// Requests that an engine queues.
    pub(crate) engine_queue: usize,
    /// Interval at which a gateway learns the counts of the others, and their age by then, in milliseconds.
    pub(crate) refresh_ms: u64,
    pub(crate) count_age_ms: u64,
    /// Target of the first event, by class, and of the gaps, in milliseconds.
    pub(crate) target_ms: [u64; CLASSES],
    pub(crate) gap_ms: u64,
    /// Mean and largest number of events of a stream.
    pub(crate) mean_events: f64,
    pub(crate) max_events: u32,
    /// Mean number of tokens of a prompt. The ranks wait for the one that reads the most.
    pub(crate) prompt_tokens: f64,
    /// Value of a response on time, and the part of it that a late response keeps, by class.
    pub(crate) values: [(f64, f64); CLASSES],
}

/// 64 ranks in one group, whose requests all have the same priority.
pub(crate) const LARGE: Site = Site {
    engine: ENGINE,
    ranks: super::RANKS,
    gateways: 64,
    engine_queue: 12,
    refresh_ms: 300,
    count_age_ms: 0,
    target_ms: [600; CLASSES],
    gap_ms: 200,
    mean_events: 19.0,
    max_events: 38,
    prompt_tokens: 0.0,
    values: [(1.0, 0.5); CLASSES],
};

/// 72 ranks before which 72 gateways see about 4 requests per second each. Their counts of each other are 200 to 600 ms
/// old.
pub(crate) const THREE_GROUPS: Site = Site {
    engine: EngineProfile {
        slots: 10,
        step_ms: 4.84,
        per_request_ms: 0.435,
        tokens_per_event: 7,
        prefill_tokens_per_s: 74_800.0,
        typical_prompt_tokens: 830.0,
        cost: None,
        expert_share: 0.85,
    },
    ranks: 72,
    gateways: 72,
    engine_queue: 20,
    refresh_ms: 400,
    count_age_ms: 200,
    target_ms: [400, 400, 800],
    gap_ms: 120,
    mean_events: 23.0,
    max_events: 57,
    prompt_tokens: 830.0,
    values: [(3.1, 0.3), (1.6, 0.41), (0.8, 0.3)],
};

/// 72 ranks in one group before which 17 gateways see about 15 requests per second each. The time that a request adds to a
/// step is assumed.
pub(crate) const ONE_GROUP: Site = Site {
    engine: EngineProfile {
        slots: 10,
        step_ms: 4.55,
        per_request_ms: 0.9,
        tokens_per_event: 5,
        prefill_tokens_per_s: 61_400.0,
        typical_prompt_tokens: 830.0,
        cost: None,
        expert_share: 0.85,
    },
    gateways: 17,
    target_ms: [500; CLASSES],
    gap_ms: 150,
    mean_events: 19.0,
    max_events: 57,
    values: [(2.0, 0.5); CLASSES],
    ..THREE_GROUPS
};
