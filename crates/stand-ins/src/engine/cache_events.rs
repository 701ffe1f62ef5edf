//! The cache of prompt prefixes and its events, which come late and with gaps.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use serde_json::json;

use super::tokens::digest;
use super::{EngineFake, EngineState};
use crate::clock::unix_ms;
use crate::http::{self, Call, Reply};

/// Prompts that share this many bytes share a cache entry.
const PREFIX_BYTES: usize = 256;

/// Events kept; a reader that is further behind sees a gap.
const MAX_EVENTS: usize = 4_096;

/// What happened to a cache entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix is now in the cache.
    Stored,
    /// The prefix made room for another.
    Evicted,
}

/// One event of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with every event, published or not.
    pub offset: u64,
    /// What happened.
    pub change: CacheChange,
    /// Digest of the prompt's first bytes.
    pub prefix_digest: u64,
    /// The request that stored the prefix.
    pub request_id: String,
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A prompt's prefix and the request that brought it.
#[derive(Clone, Debug)]
pub(super) struct Prefix {
    pub(super) digest: u64,
    pub(super) request_id: String,
}

impl Prefix {
    pub(super) fn of(prompt: &str, request_id: &str) -> Self {
        let bytes = prompt.as_bytes();
        let digest = digest(&[&bytes[..bytes.len().min(PREFIX_BYTES)]]);
        Self { digest, request_id: request_id.to_owned() }
    }
}

#[derive(Default)]
pub(super) struct Cache {
    /// Least recently used first.
    entries: VecDeque<Prefix>,
    events: VecDeque<CacheEvent>,
    next_offset: u64,
}

impl Cache {
    /// Uses a prefix; whether it was in the cache.
    pub(super) fn touch(&mut self, prefix: &Prefix, capacity: u64, now_unix_ms: u64) -> bool {
        if let Some(index) = self.entries.iter().position(|entry| entry.digest == prefix.digest) {
            let entry = self.entries.remove(index);
            self.entries.extend(entry);
            return true;
        }
        self.publish(CacheChange::Stored, prefix, now_unix_ms);
        self.entries.push_back(prefix.clone());
        while self.entries.len() as u64 > capacity {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.publish(CacheChange::Evicted, &oldest, now_unix_ms);
        }
        false
    }

    /// Empties the cache without events, as a crash does.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.events.clear();
    }

    fn publish(&mut self, change: CacheChange, prefix: &Prefix, at_unix_ms: u64) {
        let Prefix { digest: prefix_digest, request_id } = prefix.clone();
        let offset = self.next_offset;
        self.next_offset += 1;
        self.events.push_back(CacheEvent { offset, change, prefix_digest, request_id, at_unix_ms });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events from `from` on that happened at or before `until_unix_ms`, without every
    /// `gap_every`-th.
    fn visible(&self, from: u64, until_unix_ms: u64, gap_every: u64) -> Vec<CacheEvent> {
        let lost = |offset: u64| gap_every > 0 && (offset + 1).is_multiple_of(gap_every);
        let events = self.events.iter().take_while(|event| event.at_unix_ms <= until_unix_ms);
        events.filter(|event| event.offset >= from && !lost(event.offset)).cloned().collect()
    }
}

/// Handles `GET /cache-events`.
pub(super) async fn read(fake: &EngineFake, call: &Call) -> Reply {
    let from = call.number("from", 0);
    let view = move |state: &EngineState| {
        let until_unix_ms = unix_ms().saturating_sub(state.faults.cache_lag_ms);
        state.cache.visible(from, until_unix_ms, state.faults.cache_gap_every)
    };
    http::ok(&json!({ "events": fake.control.read(view).await }))
}
