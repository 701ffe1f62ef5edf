//! Learned length of answers by route and workspace.
//!
//! Lengths and the errors of hints are spread over orders of magnitude, so both are kept as logarithms. The median and
//! the quartiles of the recent samples are not moved by a few absurd ones.

use std::collections::HashMap;

use crate::clock::Timestamp;
use crate::decisions::work::OVERRUN_SHARE;
use crate::ids::WorkspaceName;

/// Recent samples of one route and workspace. Quartiles of 32 samples are off by a fifth of the spread.
const SAMPLES: usize = 32;
/// Age at which a sample is dropped, in milliseconds.
const SAMPLE_LIFE_MS: u64 = 120_000;
/// Number of samples at which what was learned weighs as much as what was assumed before.
const PRIOR_SAMPLES: f64 = 6.0;
/// Most routes for which samples are kept, and most pairs of a route and a workspace. Each takes 1 KiB.
const MAX_ROUTES: usize = 64;
const MAX_WORKSPACES: usize = 256;
/// Assumed spread of the length of answers, as the standard deviation of the logarithm. That of an exponential
/// distribution within the quartiles is 1.2; limits of callers cut off its tail.
const ASSUMED_SPREAD: f64 = 0.9;
/// Assumed spread of the error of hints.
const ASSUMED_HINT_SPREAD: f64 = 0.7;
/// Smallest spread, so that a series of equal answers does not count as certainty.
const MIN_SPREAD: f64 = 0.05;
/// Distance of the quartiles of a normal distribution, in standard deviations.
const QUARTILE_DISTANCE: f64 = 1.349;

/// Median and spread of a logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Spread {
    median: f64,
    deviation: f64,
}

impl Spread {
    /// Median and quartiles of unsorted values, which must not be empty.
    fn of(values: &mut [f64]) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |quarter: usize| values[(values.len() - 1) * quarter / 4];
        Self { median: at(2), deviation: ((at(3) - at(1)) / QUARTILE_DISTANCE).max(MIN_SPREAD) }
    }

    /// Mixture of this spread with a prior one, by the number of samples.
    fn mixed_with(self, prior: Self, samples: usize) -> Self {
        let samples = f64::from(u32::try_from(samples).unwrap_or(u32::MAX));
        let weight = samples / (samples + PRIOR_SAMPLES);
        let mix = |own: f64, prior: f64| prior + weight * (own - prior);
        Self {
            median: mix(self.median, prior.median),
            deviation: mix(self.deviation, prior.deviation),
        }
    }
}

/// What is known of the length of an answer before it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerEstimate {
    /// Logarithm of the tokens of an answer.
    length: Spread,
    /// Logarithm of the tokens of an answer over the hint.
    hint_error: Spread,
}

impl AnswerEstimate {
    /// The estimate before any answer was observed, from the mean length of answers.
    #[must_use]
    pub fn from_typical(typical_tokens: f64) -> Self {
        // The mean of a log-normal distribution exceeds its median.
        let median = typical_tokens.max(1.0).ln() - ASSUMED_SPREAD * ASSUMED_SPREAD / 2.0;
        Self {
            length: Spread { median, deviation: ASSUMED_SPREAD },
            hint_error: Spread { median: 0.0, deviation: ASSUMED_HINT_SPREAD },
        }
    }

    /// Expected tokens of an answer with the caller's hint, of which `received_tokens` have already been sent.
    ///
    /// The hint and the usual length are weighed by their spreads. Without a hint the length counts as one standard
    /// deviation above the median, because a long answer that is taken for a short one does more harm than the
    /// opposite.
    #[must_use]
    pub fn expected_tokens(&self, hint_tokens: Option<f64>, received_tokens: f64) -> f64 {
        let (length, error) = (self.length, self.hint_error);
        let expected = match hint_tokens {
            None => (length.median + length.deviation).exp(),
            Some(hint) => {
                let (length_var, error_var) =
                    (length.deviation * length.deviation, error.deviation * error.deviation);
                let hint_weight = length_var / (length_var + error_var);
                let hinted = hint.max(1.0).ln() + error.median;
                let median = length.median + hint_weight * (hinted - length.median);
                (median + hint_weight * error_var / 2.0).exp()
            }
        };
        expected.max(received_tokens * (1.0 + OVERRUN_SHARE))
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    length: f64,
    hint_error: Option<f64>,
    at: Timestamp,
}

/// Recent samples of one key with their median and spread, computed when one is added.
#[derive(Clone, Debug, Default)]
struct Samples {
    recent: Vec<Sample>,
    next: usize,
    updated: Timestamp,
    length: Option<Spread>,
    hint_error: Option<(Spread, usize)>,
}

impl Samples {
    fn add(&mut self, sample: Sample) {
        let now = sample.at;
        let is_stale = |sample: &Sample| now.ms_since(sample.at) >= SAMPLE_LIFE_MS;
        self.recent.retain(|sample| !is_stale(sample));
        if self.recent.len() < SAMPLES {
            self.recent.push(sample);
        } else {
            self.next = (self.next + 1) % SAMPLES;
            self.recent[self.next] = sample;
        }
        self.updated = now;
        let mut lengths: Vec<f64> = self.recent.iter().map(|sample| sample.length).collect();
        self.length = Some(Spread::of(&mut lengths));
        let mut errors: Vec<f64> = self.recent.iter().filter_map(|s| s.hint_error).collect();
        self.hint_error = (!errors.is_empty()).then(|| (Spread::of(&mut errors), errors.len()));
    }

    /// The estimate of these samples, as far as they go beyond `prior`.
    fn refine(&self, prior: AnswerEstimate, now: Timestamp) -> AnswerEstimate {
        if now.ms_since(self.updated) >= SAMPLE_LIFE_MS {
            return prior;
        }
        let count = self.recent.len();
        let length = self.length.map(|own| own.mixed_with(prior.length, count));
        let error = self.hint_error.map(|(own, count)| own.mixed_with(prior.hint_error, count));
        AnswerEstimate {
            length: length.unwrap_or(prior.length),
            hint_error: error.unwrap_or(prior.hint_error),
        }
    }
}

/// Lengths of completed answers by route and workspace, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct AnswerTable {
    routes: HashMap<String, Samples>,
    /// By workspace and route. Nested, so that a look-up copies no name.
    workspaces: HashMap<WorkspaceName, HashMap<String, Samples>>,
}

impl AnswerTable {
    /// Records a complete answer of `answer_tokens`.
    pub fn record(
        &mut self,
        route: &str,
        workspace: Option<&WorkspaceName>,
        answer_tokens: f64,
        hint_tokens: Option<f64>,
        now: Timestamp,
    ) {
        let length = answer_tokens.max(1.0).ln();
        let hint_error = hint_tokens.map(|hint| length - hint.max(1.0).ln());
        let sample = Sample { length, hint_error, at: now };
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            remove_oldest(&mut self.routes);
        }
        self.routes.entry(route.to_owned()).or_default().add(sample);
        let Some(workspace) = workspace else { return };
        let is_known = self.of_workspace(route, workspace).is_some();
        if !is_known && self.workspaces.values().map(HashMap::len).sum::<usize>() >= MAX_WORKSPACES
        {
            self.remove_oldest_workspace();
        }
        let of_workspace = self.workspaces.entry(workspace.clone()).or_default();
        of_workspace.entry(route.to_owned()).or_default().add(sample);
    }

    fn of_workspace(&self, route: &str, workspace: &WorkspaceName) -> Option<&Samples> {
        self.workspaces.get(workspace)?.get(route)
    }

    fn remove_oldest_workspace(&mut self) {
        let updated = |routes: &HashMap<String, Samples>| {
            routes.values().map(|samples| samples.updated).min().unwrap_or_default()
        };
        if let Some(routes) = self.workspaces.values_mut().min_by_key(|routes| updated(routes)) {
            remove_oldest(routes);
        }
        self.workspaces.retain(|_, routes| !routes.is_empty());
    }

    /// What is known of the answers of a route and workspace. Few samples of a workspace are completed by those of
    /// its route, and few of the route by `typical_tokens`.
    #[must_use]
    pub fn estimate(
        &self,
        route: &str,
        workspace: Option<&WorkspaceName>,
        typical_tokens: f64,
        now: Timestamp,
    ) -> AnswerEstimate {
        let assumed = AnswerEstimate::from_typical(typical_tokens);
        let Some(samples) = self.routes.get(route) else { return assumed };
        let of_route = samples.refine(assumed, now);
        let own = workspace.and_then(|workspace| self.of_workspace(route, workspace));
        own.map_or(of_route, |own| own.refine(of_route, now))
    }
}

/// Removes the route that was updated the longest time ago.
fn remove_oldest(routes: &mut HashMap<String, Samples>) {
    let oldest = routes.iter().min_by_key(|(_, samples)| samples.updated);
    if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
        routes.remove(&oldest);
    }
}
