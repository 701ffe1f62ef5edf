//! Metrics of leases and expert maps.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of leases and expert maps. Labels have two values; none names a group.
#[derive(Debug)]
pub(crate) struct GroupMetrics {
    pub(crate) map_changes: IntCounterVec,
    pub(crate) weights_moved: IntCounter,
    pub(crate) step_time_skew: IntGauge,
    pub(crate) lease_changes: IntCounterVec,
}

impl GroupMetrics {
    /// # Errors
    ///
    /// When another metric has one of the names.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| -> Result<_, prometheus::Error> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let weights_moved = IntCounter::new(
            "lycheewood_weights_moved_total",
            "Experts loaded onto ranks by committed changes read from the log; a first map counts none.",
        )?;
        registry.register(Box::new(weights_moved.clone()))?;
        let step_time_skew = IntGauge::new(
            "lycheewood_step_time_skew_permille",
            "Slowest minus fastest rank of the last report, over the mean, in thousandths.",
        )?;
        registry.register(Box::new(step_time_skew.clone()))?;
        Ok(Self {
            map_changes: counters(
                "lycheewood_map_changes_total",
                "Changes of expert maps read from the log, by decision: committed, aborted.",
                "decision",
            )?,
            weights_moved,
            step_time_skew,
            lease_changes: counters(
                "lycheewood_lease_changes_total",
                "Leases read from the log, by change: granted, released.",
                "change",
            )?,
        })
    }
}
