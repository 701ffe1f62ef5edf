//! Limits that endpoints name: the requests per second that one takes from all gateways together.
//!
//! Every gateway learns of a limit from the responses that it gets itself, and from the heartbeats of others. Whoever
//! has seen the newest response is right, so what is passed on carries its age.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Timestamp;

/// Longest time between two requests to a limited endpoint, in milliseconds. An endpoint that takes none at all must still
/// get one now and then, because only a response shows that its limit has ended.
const MAX_INTERVAL_MS: u64 = 10_000;
/// How long a gateway tells the others that it has seen a limit end, in milliseconds. Several heartbeats, since datagrams
/// are occasionally lost.
const ENDED_TOLD_MS: u64 = 5_000;
/// How long a limit is kept without a response of its endpoint, in milliseconds. Far longer than the time between two
/// requests to a limited endpoint, so that what is forgotten is not in use.
const LIMIT_MEMORY_MS: u64 = 600_000;

/// A rate of requests, in requests per 1,000 seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate {
    per_1000_s: u32,
}

/// Error for text that is not a rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "not a rate; an endpoint must name its limit as a decimal number of requests per second, such as 2.5"
)]
pub struct RequestRateError;

impl TryFrom<&str> for RequestRate {
    type Error = RequestRateError;

    /// Parses requests per second.
    fn try_from(text: &str) -> Result<Self, RequestRateError> {
        let per_s: f64 = text.trim().parse().map_err(|_| RequestRateError)?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(RequestRateError);
        }
        let per_1000_s = per_s.min(f64::from(u32::MAX) / 1_000.0) * 1_000.0;
        // Within the range of the type, as checked above.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Ok(Self { per_1000_s: per_1000_s.round() as u32 })
    }
}

impl RequestRate {
    /// Requests per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }

    /// Time between two requests when `part` of `whole` gateways use the rate, in milliseconds.
    #[must_use]
    pub fn interval_ms(self, part: u32, whole: u32) -> u64 {
        let (part, whole) = (u64::from(part.clamp(1, whole.max(1))), u64::from(whole.max(1)));
        let used = u64::from(self.per_1000_s) * part;
        (1_000_000 * whole).checked_div(used).map_or(MAX_INTERVAL_MS, |ms| ms.min(MAX_INTERVAL_MS))
    }
}

/// What one instance has seen in a response of an endpoint, as it tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Tag of the endpoint.
    #[serde(rename = "t")]
    pub tag: u32,
    /// The limit, or `None` if it has ended.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RequestRate>,
    /// Time since the response, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    limit: Option<RequestRate>,
    seen: Timestamp,
    is_own: bool,
}

/// The limits of endpoints, by tag. Endpoints that have never named one have no entry.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    observations: HashMap<u32, Observation>,
}

impl LimitBook {
    /// The limit of an endpoint.
    #[must_use]
    pub fn limit(&self, tag: u32) -> Option<RequestRate> {
        self.observations.get(&tag)?.limit
    }

    /// Records the limit that a response of the endpoint names, or that it names none. Returns whether the limit changes.
    pub fn observe(&mut self, tag: u32, limit: Option<RequestRate>, now: Timestamp) -> bool {
        let known = self.limit(tag);
        if limit.is_some() || self.observations.contains_key(&tag) {
            self.observations.insert(tag, Observation { limit, seen: now, is_own: true });
        }
        known != limit
    }

    /// Records what another instance has seen, unless a newer response is known. Returns whether the limit changes.
    pub fn adopt(&mut self, report: &LimitReport, now: Timestamp) -> bool {
        let seen = Timestamp::from_unix_ms(now.unix_ms().saturating_sub(report.age_ms));
        let known = self.observations.get(&report.tag);
        if known.is_some_and(|known| known.seen >= seen) {
            return false;
        }
        let is_change = known.and_then(|known| known.limit) != report.limit;
        if known.is_some() || report.limit.is_some() {
            let observation = Observation { limit: report.limit, seen, is_own: false };
            self.observations.insert(report.tag, observation);
        }
        is_change
    }

    /// What this instance has seen itself. What it was told is not passed on, so that a report that was delayed on its
    /// way does not go around as a new one.
    #[must_use]
    pub fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let own = self.observations.iter().filter(|(_, observation)| observation.is_own);
        let reports = own.map(|(tag, observation)| LimitReport {
            tag: *tag,
            limit: observation.limit,
            age_ms: now.ms_since(observation.seen),
        });
        reports.filter(|r| r.limit.is_some() || r.age_ms < ENDED_TOLD_MS).collect()
    }

    /// Removes limits without a response for a long time, and those that have ended and of which all were told.
    pub fn expire(&mut self, now: Timestamp) {
        self.observations.retain(|_, observation| {
            let memory_ms =
                if observation.limit.is_some() { LIMIT_MEMORY_MS } else { ENDED_TOLD_MS };
            now.ms_since(observation.seen) < memory_ms
        });
    }
}
