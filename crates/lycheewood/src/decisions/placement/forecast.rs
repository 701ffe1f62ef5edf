//! Forecast of expert shares and rank speeds from delayed and noisy reports.

use crate::clock::Timestamp;

/// Smoothing factor of the level of a share.
const LEVEL_GAIN: f64 = 0.3;
/// Smoothing factor of the trend of a share.
const TREND_GAIN: f64 = 0.1;
/// Factor by which the trend decays in each report period. An undamped trend overshoots when popularity
/// stops drifting.
const TREND_DAMPING: f64 = 0.85;
/// Smoothing factor of the speed of a rank.
const SPEED_GAIN: f64 = 0.3;
/// Smoothing factor of the forecast error.
const ERROR_GAIN: f64 = 0.1;
/// Error assumed before the first reports. Its weight fades within some ten reports.
const INITIAL_ERROR: f64 = 0.1;
/// A share that deviates by more than this many times the mean error has jumped, so its old level is
/// discarded. Normally distributed noise deviates that much about once in 16 000 reports.
const JUMP_ERROR_FACTOR: f64 = 5.0;
/// Lower bound of a speed. With a speed of zero, the time for any load would be infinite.
const MIN_SPEED: f64 = 0.05;

/// Tokens and speeds of a group, measured over one period.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport<'a> {
    /// End of the period.
    pub ended: Timestamp,
    /// Number of tokens by layer and then by expert.
    pub tokens: &'a [Vec<f64>],
    /// Speed of each rank, relative to the nominal speed.
    pub speeds: &'a [f64],
}

/// Forecast of one group, by double exponential smoothing: level and damped trend of each expert's share of
/// its layer.
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
    /// Smoothed sum of the absolute errors of the shares, with each error capped at the jump threshold.
    error: f64,
}

impl LoadForecast {
    /// A forecast without reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the forecast with a report. A report that does not end later than the previous one is ignored,
    /// and so is one of another shape than the first.
    pub fn observe(&mut self, report: &LoadReport<'_>) {
        let Some(ended) = self.ended else {
            self.layers = report.tokens.iter().map(|t| LayerForecast::new(t)).collect();
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
        for (speed, &reported) in self.speeds.iter_mut().zip(report.speeds) {
            *speed = SPEED_GAIN.mul_add(reported - *speed, *speed).max(MIN_SPEED);
        }
    }

    /// Expected share of each expert in its layer at time `at`, by layer and then by expert.
    #[must_use]
    pub fn shares_at(&self, at: Timestamp) -> Vec<Vec<f64>> {
        let ahead_ms = self.ended.map_or(0, |ended| at.ms_since(ended));
        let periods = ahead_ms.checked_div(self.period_ms).unwrap_or(0);
        // After 64 periods the sum of the damped trend no longer changes.
        let periods = i32::try_from(periods.min(64)).unwrap_or(0);
        let trend_sum = TREND_DAMPING * (1.0 - TREND_DAMPING.powi(periods)) / (1.0 - TREND_DAMPING);
        self.layers.iter().map(|layer| layer.shares(trend_sum)).collect()
    }

    /// Smoothed speed of each rank.
    #[must_use]
    pub fn speeds(&self) -> &[f64] {
        &self.speeds
    }

    /// Relative standard error of the levels in each layer. Part of the measured error is real change of the
    /// shares, so this is an upper estimate.
    #[must_use]
    pub fn share_errors(&self) -> Vec<f64> {
        // The standard deviation of a normally distributed error is sqrt(pi / 2) times its mean absolute
        // value, and smoothing leaves gain / (2 - gain) of the variance.
        let variance_factor = std::f64::consts::FRAC_PI_2 * LEVEL_GAIN / (2.0 - LEVEL_GAIN);
        self.layers.iter().map(|layer| layer.error * variance_factor.sqrt()).collect()
    }

    fn has_shape_of(&self, report: &LoadReport<'_>) -> bool {
        let layers = self.layers.iter().map(|layer| layer.levels.len());
        layers.eq(report.tokens.iter().map(Vec::len)) && self.speeds.len() == report.speeds.len()
    }
}

impl LayerForecast {
    fn new(tokens: &[f64]) -> Self {
        Self { levels: shares_of(tokens), trends: vec![0.0; tokens.len()], error: INITIAL_ERROR }
    }

    fn observe(&mut self, tokens: &[f64]) {
        if tokens.iter().sum::<f64>() <= 0.0 {
            return;
        }
        let shares = shares_of(tokens);
        let mut error = 0.0;
        for ((level, trend), share) in self.levels.iter_mut().zip(&mut self.trends).zip(shares) {
            let expected = TREND_DAMPING.mul_add(*trend, *level);
            let jump_threshold = JUMP_ERROR_FACTOR * self.error * expected.max(0.0);
            let deviation = (share - expected).abs();
            error += deviation.min(jump_threshold);
            if deviation > jump_threshold {
                (*level, *trend) = (share, 0.0);
                continue;
            }
            let next = LEVEL_GAIN.mul_add(share - expected, expected);
            let difference = next - *level;
            *trend =
                TREND_GAIN.mul_add(difference - TREND_DAMPING * *trend, TREND_DAMPING * *trend);
            *level = next;
        }
        self.error = ERROR_GAIN.mul_add(error - self.error, self.error);
    }

    fn shares(&self, trend_sum: f64) -> Vec<f64> {
        let expected = self.levels.iter().zip(&self.trends);
        shares_of(
            &expected
                .map(|(level, trend)| trend_sum.mul_add(*trend, *level).max(0.0))
                .collect::<Vec<_>>(),
        )
    }
}

/// Share of each expert in the total; equal shares if there are no tokens.
fn shares_of(tokens: &[f64]) -> Vec<f64> {
    let total = tokens.iter().sum::<f64>();
    if total > 0.0 {
        return tokens.iter().map(|count| count / total).collect();
    }
    let equal = tokens.iter().map(|_| 1.0).sum::<f64>().recip();
    vec![equal; tokens.len()]
}
