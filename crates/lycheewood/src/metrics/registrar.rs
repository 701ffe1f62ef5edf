//! Makes metrics and registers them.

use prometheus::{
    Error, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Registers the metrics that it makes. Each fails when another one has its name.
pub(super) struct Registrar<'r>(pub(super) &'r Registry);

impl Registrar<'_> {
    pub(super) fn counter(&self, name: &str, help: &str) -> Result<IntCounter, Error> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    pub(super) fn counters(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, Error> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// `buckets` are upper bounds; the library's own when empty.
    pub(super) fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, Error> {
        let mut options = HistogramOpts::new(name, help);
        if !buckets.is_empty() {
            options = options.buckets(buckets.to_vec());
        }
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}
