//! Seeded generators of the load of a group and of its reports.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(crate) const RANKS: usize = 32;
pub(crate) const SLOTS: usize = 10;
pub(crate) const EXPERTS: usize = 256;
/// Length of a report period; a decision is made at the start of each.
pub(crate) const PERIOD_MS: u64 = 30_000;
/// Steps measured in each period.
pub(crate) const STEPS: u64 = 4;
/// Tokens of one step in one layer. A token counts once for each expert that processes it.
const STEP_TOKENS: f64 = 131_072.0;
/// Relative standard deviation of an expert's tokens between steps, beyond sampling noise.
const STEP_SPREAD: f64 = 0.03;
/// Standard deviation of the logarithm of expert popularity.
const POPULARITY_SPREAD: f64 = 0.8;
/// Number of periods in which popularity drifts to an independent state.
const DRIFT_PERIODS: u64 = 120;
/// Shape parameter of the Pareto distribution in scenarios with heavy tails.
const TAIL_SHAPE: f64 = 1.3;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Steady,
    Noise,
    Drift,
    Flip,
    HeavyTails,
    Straggler,
}

#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) layers: usize,
    pub(crate) periods: u64,
    pub(crate) max_moves: u32,
}

pub(crate) const SCENARIOS: [Scenario; 8] = [
    scenario("steady", Kind::Steady),
    scenario("steady_noise", Kind::Noise),
    scenario("drift", Kind::Drift),
    scenario("flip", Kind::Flip),
    scenario("heavy_tails", Kind::HeavyTails),
    scenario("straggler", Kind::Straggler),
    large_scenario("drift_61_layers", Kind::Drift),
    large_scenario("flip_61_layers", Kind::Flip),
];

const fn scenario(name: &'static str, kind: Kind) -> Scenario {
    Scenario { name, kind, layers: 8, periods: 120, max_moves: 64 }
}

/// A group of the target size, for the decision time.
const fn large_scenario(name: &'static str, kind: Kind) -> Scenario {
    Scenario { name, kind, layers: 61, periods: 24, max_moves: 488 }
}

/// Tokens by layer and then by expert.
pub(crate) type Tokens = Vec<Vec<f64>>;

/// One period: the tokens of the measured steps, and the report at its end.
pub(crate) struct Period {
    pub(crate) steps: Vec<Tokens>,
    pub(crate) speeds: Vec<f64>,
    pub(crate) reported: Tokens,
    pub(crate) reported_speeds: Vec<f64>,
}

pub(crate) fn periods(scenario: &Scenario) -> Vec<Period> {
    let mut random = Random::seeded(7);
    let mut popularity = Popularity::new(scenario, &mut random);
    (0..scenario.periods)
        .map(|index| {
            popularity.advance(index, &mut random);
            period(scenario, &popularity, index, &mut random)
        })
        .collect()
}

fn period(scenario: &Scenario, popularity: &Popularity, index: u64, random: &mut Random) -> Period {
    let report_spread = if scenario.kind == Kind::Noise { 0.2 } else { 0.02 };
    let mut speeds = vec![1.0; RANKS];
    if scenario.kind == Kind::Straggler && index >= scenario.periods / 4 {
        speeds[5] = 0.6;
    }
    let reported_speeds =
        speeds.iter().map(|s| s * 0.01f64.mul_add(random.normal(), 1.0)).collect();
    let shares = popularity.shares();
    let steps = (0..STEPS).map(|_| sample(&shares, STEP_TOKENS, STEP_SPREAD, random)).collect();
    let reported = sample(&shares, 500.0 * STEP_TOKENS, report_spread, random);
    Period { steps, speeds, reported, reported_speeds }
}

fn sample(shares: &Tokens, total: f64, spread: f64, random: &mut Random) -> Tokens {
    let mut count = |share: &f64| {
        let mean = share * total;
        let noise = mean.sqrt().mul_add(random.normal(), spread * mean * random.normal());
        (mean + noise).max(0.0)
    };
    shares.iter().map(|layer| layer.iter().map(&mut count).collect()).collect()
}

/// The true popularity of the experts, which reports contain with noise.
struct Popularity {
    kind: Kind,
    periods: u64,
    from: Tokens,
    to: Tokens,
    progress: f64,
}

impl Popularity {
    fn new(scenario: &Scenario, random: &mut Random) -> Self {
        let mut draw = || {
            let layer = |random: &mut Random| (0..EXPERTS).map(|_| random.normal()).collect();
            (0..scenario.layers).map(|_| layer(random)).collect::<Tokens>()
        };
        let (mut from, to) = (draw(), draw());
        if scenario.kind == Kind::HeavyTails {
            for weight in from.iter_mut().flatten() {
                *weight = random.tail();
            }
        }
        Self { kind: scenario.kind, periods: scenario.periods, from, to, progress: 0.0 }
    }

    fn advance(&mut self, index: u64, random: &mut Random) {
        match self.kind {
            Kind::Steady | Kind::Noise | Kind::Straggler => {}
            Kind::Drift => self.progress = to_f64(index) / to_f64(DRIFT_PERIODS),
            Kind::Flip => self.progress = if index < self.periods / 2 { 0.0 } else { 1.0 },
            // Every 20 periods, the popularity of some experts changes abruptly.
            Kind::HeavyTails => {
                if index % 20 == 19 {
                    for weight in self.from.iter_mut().flatten() {
                        if random.unit() < 0.03 {
                            *weight = random.tail();
                        }
                    }
                }
            }
        }
    }

    fn shares(&self) -> Tokens {
        let weight = |(from, to): (&f64, &f64)| {
            let mixed = (1.0 - self.progress).mul_add(*from, self.progress * to);
            let spread = if self.kind == Kind::HeavyTails { 1.0 } else { POPULARITY_SPREAD };
            (spread * mixed).exp()
        };
        let layers = self.from.iter().zip(&self.to);
        layers.map(|(from, to)| normalised(from.iter().zip(to).map(weight).collect())).collect()
    }
}

fn normalised(mut weights: Vec<f64>) -> Vec<f64> {
    let total = weights.iter().sum::<f64>();
    for weight in &mut weights {
        *weight /= total;
    }
    weights
}

pub(crate) fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

struct Random(StdRng);

impl Random {
    fn seeded(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Uniform in (0, 1].
    fn unit(&mut self) -> f64 {
        1.0 - self.0.random::<f64>()
    }

    /// Standard normal, by the Box-Muller transform.
    fn normal(&mut self) -> f64 {
        let radius = (-2.0 * self.unit().ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }

    /// Logarithm of a Pareto variate.
    fn tail(&mut self) -> f64 {
        -self.unit().ln() / TAIL_SHAPE
    }
}
