//! Forecast of expert shares and rank speeds from reports that are late and noisy.

use crate::clock::Timestamp;

/// Weight of a new report in the level of a share.
const LEVEL_GAIN: f64 = 0.3;
/// Weight of a new difference in the trend of a share.
const TREND_GAIN: f64 = 0.1;
/// Share of the trend that is left after each report period. A trend that is not damped overshoots
/// when popularity stops drifting.
const TREND_DAMPING: f64 = 0.85;
/// Weight of a new report in the speed of a rank.
const SPEED_GAIN: f64 = 0.3;
/// Weight of a new report in the error of the forecast.
const ERROR_GAIN: f64 = 0.1;
/// Error assumed before there are reports to tell. It fades within some ten reports.
const FIRST_ERROR: f64 = 0.1;
/// A share that is off by more than this many times the usual error has jumped: its old level says
/// nothing about it. Normal noise gets there about once in 16 000 reports.
const JUMP_ERRORS: f64 = 5.0;
/// Slowest speed that is believed. Zero would make every load infinite.
const MIN_SPEED: f64 = 0.05;

/// Tokens and speeds that a group measured over one period.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport<'a> {
    /// End of the period.
    pub ended: Timestamp,
    /// Tokens by layer and then by expert.
    pub tokens: &'a [Vec<f64>],
    /// Speed of each rank; 1 is nominal, a slow rank has less.
    pub speeds: &'a [f64],
}

/// Folded reports of one group: level and damped trend of each expert's share of its layer.
#[derive(Clone, Debug, Default)]
pub struct LoadForecast {
    ended: Option<Timestamp>,
    period_ms: u64,
    layers: Vec<LayerForecast>,
    speeds: Vec<f64>,
}

#[derive(Clone, Debug)]
struct LayerForecast {
    levels: Vec<f64>,
    trends: Vec<f64>,
    /// Smoothed sum of the absolute errors of the shares.
    error: f64,
}

impl LoadForecast {
    /// A forecast that has seen no report.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Folds a report in. A report that ended no later than an earlier one is ignored, and so is one
    /// of another shape than the first.
    pub fn observe(&mut self, report: &LoadReport<'_>) {
        let Some(ended) = self.ended else {
            self.layers = report.tokens.iter().map(|t| LayerForecast::start(t)).collect();
            self.speeds = report.speeds.iter().map(|s| s.max(MIN_SPEED)).collect();
            self.ended = Some(report.ended);
            return;
        };
        if report.ended <= ended || !self.has_shape_of(report) {
            return;
        }
        self.period_ms = report.ended.ms_since(ended);
        self.ended = Some(report.ended);
        for (layer, tokens) in self.layers.iter_mut().zip(report.tokens) {
            layer.observe(tokens);
        }
        for (speed, &seen) in self.speeds.iter_mut().zip(report.speeds) {
            *speed = SPEED_GAIN.mul_add(seen - *speed, *speed).max(MIN_SPEED);
        }
    }

    /// Expected share of each expert in its layer at the time `at`, by layer and then by expert.
    #[must_use]
    pub fn shares_at(&self, at: Timestamp) -> Vec<Vec<f64>> {
        let ahead_ms = self.ended.map_or(0, |ended| at.ms_since(ended));
        let periods = ahead_ms.checked_div(self.period_ms).unwrap_or(0);
        // Beyond this the damped sum no longer changes.
        let periods = i32::try_from(periods.min(64)).unwrap_or(0);
        let reach = TREND_DAMPING * (1.0 - TREND_DAMPING.powi(periods)) / (1.0 - TREND_DAMPING);
        self.layers.iter().map(|layer| layer.shares(reach)).collect()
    }

    /// Smoothed speed of each rank.
    #[must_use]
    pub fn speeds(&self) -> &[f64] {
        &self.speeds
    }

    /// Relative standard error of each layer's shares: how far a typical level is from the share that
    /// it stands for. Part of the error of a report is real change, so this is an upper estimate.
    #[must_use]
    pub fn share_errors(&self) -> Vec<f64> {
        // The standard deviation of a normal error is sqrt(pi / 2) times its mean absolute value, and
        // smoothing leaves gain / (2 - gain) of the variance.
        let left = std::f64::consts::FRAC_PI_2 * LEVEL_GAIN / (2.0 - LEVEL_GAIN);
        self.layers.iter().map(|layer| layer.error * left.sqrt()).collect()
    }

    fn has_shape_of(&self, report: &LoadReport<'_>) -> bool {
        let layers = self.layers.iter().map(|layer| layer.levels.len());
        layers.eq(report.tokens.iter().map(Vec::len)) && self.speeds.len() == report.speeds.len()
    }
}

impl LayerForecast {
    fn start(tokens: &[f64]) -> Self {
        Self { levels: shares_of(tokens), trends: vec![0.0; tokens.len()], error: FIRST_ERROR }
    }

    fn observe(&mut self, tokens: &[f64]) {
        if tokens.iter().sum::<f64>() <= 0.0 {
            return;
        }
        let shares = shares_of(tokens);
        let mut error = 0.0;
        for ((level, trend), share) in self.levels.iter_mut().zip(&mut self.trends).zip(shares) {
            let expected = TREND_DAMPING.mul_add(*trend, *level);
            let usual = JUMP_ERRORS * self.error * expected.max(0.0);
            let miss = (share - expected).abs();
            error += miss.min(usual);
            if miss > usual {
                (*level, *trend) = (share, 0.0);
                continue;
            }
            let next = LEVEL_GAIN.mul_add(share - expected, expected);
            let step = next - *level;
            *trend = TREND_GAIN.mul_add(step - TREND_DAMPING * *trend, TREND_DAMPING * *trend);
            *level = next;
        }
        self.error = ERROR_GAIN.mul_add(error - self.error, self.error);
    }

    fn shares(&self, reach: f64) -> Vec<f64> {
        let ahead = self.levels.iter().zip(&self.trends);
        shares_of(
            &ahead.map(|(level, trend)| reach.mul_add(*trend, *level).max(0.0)).collect::<Vec<_>>(),
        )
    }
}

/// Shares of the total. Equal ones when there are no tokens.
fn shares_of(tokens: &[f64]) -> Vec<f64> {
    let total = tokens.iter().sum::<f64>();
    if total > 0.0 {
        return tokens.iter().map(|count| count / total).collect();
    }
    let equal = tokens.iter().map(|_| 1.0).sum::<f64>().recip();
    vec![equal; tokens.len()]
}
