//! Runs one policy on one scenario and measures the result.

use lycheewood::{ExpertMap, LoadReport, Timestamp};

use crate::policies::{COSTS, Decider, Policy, replicate_pack};
use crate::scenario::{PERIOD_MS, Period, STEPS, Scenario, Tokens, to_f64};

/// Number of periods by which reports are delayed.
const REPORT_LAG: usize = 1;

/// The result of one policy in one scenario.
pub(crate) struct Row {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) skew_mean: f64,
    pub skew_p99: f64,
    /// Mean step time as a multiple of the lower bound, without stalls.
    pub(crate) step_over_bound: f64,
    /// Like `step_over_bound`, with stalls counted as lost time.
    pub(crate) total_over_bound: f64,
    pub(crate) moves: usize,
    pub(crate) stall_ms: f64,
    pub(crate) changes: u32,
    pub(crate) decision_ms: f64,
}

struct Group {
    map: ExpertMap,
    /// The map whose weights are being loaded, with the time of completion in milliseconds.
    pending: Option<(f64, ExpertMap)>,
    moves: usize,
    changes: u32,
}

pub(crate) fn run(scenario: &Scenario, periods: &[Period], policy: Policy) -> Row {
    let mut decider = Decider::new(policy, scenario.max_moves);
    let map = replicate_pack(&report(&periods[0], 0));
    let mut group = Group { map, pending: None, moves: 0, changes: 0 };
    let mut skews = Vec::new();
    let mut ratios = Vec::new();
    for (index, period) in (0_u64..).zip(periods) {
        let start_ms = index * PERIOD_MS;
        let reported =
            usize::try_from(index).ok().and_then(|index| index.checked_sub(1 + REPORT_LAG));
        if let Some(reported) = reported {
            let report = report(&periods[reported], start_ms - PERIOD_MS);
            group.decide(&mut decider, start_ms, &report);
        }
        for (step, tokens) in (0_u64..).zip(&period.steps) {
            group.switch(start_ms + (2 * step + 1) * PERIOD_MS / (2 * STEPS));
            let (skew, ratio) = measure(&group.map, tokens, &period.speeds);
            skews.push(skew);
            ratios.push(ratio);
        }
    }
    row(scenario, policy, &group, &decider, skews, &ratios)
}

fn row(
    scenario: &Scenario,
    policy: Policy,
    group: &Group,
    decider: &Decider,
    mut skews: Vec<f64>,
    ratios: &[f64],
) -> Row {
    skews.sort_by(f64::total_cmp);
    let stall_ms = f64::from(group.changes) * COSTS.stall_ms;
    let run_ms = to_f64(scenario.periods * PERIOD_MS);
    let step_over_bound = mean(ratios);
    Row {
        scenario: scenario.name,
        policy: policy.name(),
        skew_mean: mean(&skews),
        skew_p99: skews[(skews.len() * 99).div_ceil(100) - 1],
        step_over_bound,
        total_over_bound: step_over_bound * run_ms / (run_ms - stall_ms),
        moves: group.moves,
        stall_ms,
        changes: group.changes,
        decision_ms: decider.slowest_decision.as_secs_f64() * 1000.0,
    }
}

impl Group {
    fn decide(&mut self, decider: &mut Decider, now_ms: u64, report: &LoadReport<'_>) {
        if self.pending.is_some() {
            decider.observe(report);
            return;
        }
        let now = Timestamp::from_unix_ms(now_ms);
        let Some(next) = decider.decide(now, &self.map, report) else { return };
        assert_eq!(next.check(), Ok(()), "the policy returned an invalid map");
        let loads = self.map.moves_to(&next).len();
        let load_ms = COSTS.load_ms * f64::from(u32::try_from(loads).unwrap_or(u32::MAX));
        self.moves += loads;
        self.changes += 1;
        self.pending = Some((to_f64(now_ms) + load_ms, next));
    }

    fn switch(&mut self, now_ms: u64) {
        if let Some((_, next)) = self.pending.take_if(|(ready_ms, _)| *ready_ms <= to_f64(now_ms)) {
            self.map = next;
        }
    }
}

fn report(period: &Period, ended_ms: u64) -> LoadReport<'_> {
    LoadReport {
        ended: Timestamp::from_unix_ms(ended_ms),
        tokens: &period.reported,
        speeds: &period.reported_speeds,
    }
}

/// Returns the skew of a step, averaged over the layers, and its time as a multiple of the lower bound. Ranks
/// wait for each other in every layer.
fn measure(map: &ExpertMap, tokens: &Tokens, speeds: &[f64]) -> (f64, f64) {
    let (mut skews, mut slowest, mut bound) = (Vec::new(), 0.0, 0.0);
    for (holders, tokens) in map.layers.iter().zip(tokens) {
        let mut times = vec![0.0; speeds.len()];
        for (ranks, count) in holders.iter().zip(tokens) {
            let part = count / f64::from(u32::try_from(ranks.len()).unwrap_or(1));
            for &rank in ranks {
                times[rank] += part / speeds[rank];
            }
        }
        let most = times.iter().copied().fold(0.0, f64::max);
        let least = times.iter().copied().fold(f64::INFINITY, f64::min);
        skews.push((most - least) / mean(&times));
        slowest += most;
        bound += tokens.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    }
    (mean(&skews), slowest / bound)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX))
}
