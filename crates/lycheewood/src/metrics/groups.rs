//! Metrics of leases and expert maps.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};

use super::registrar::Registrar;

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
        let metrics = Registrar(registry);
        let weights_moved = metrics.counter(
            "lycheewood_weights_moved_total",
            "Experts loaded onto ranks by committed changes read from the log; a first map counts none.",
        )?;
        let step_time_skew = metrics.gauge(
            "lycheewood_step_time_skew_permille",
            "Slowest minus fastest rank of the last report, over the mean, in thousandths.",
        )?;
        Ok(Self {
            map_changes: metrics.counters(
                "lycheewood_map_changes_total",
                "Changes of expert maps read from the log, by decision: committed, aborted.",
                "decision",
            )?,
            weights_moved,
            step_time_skew,
            lease_changes: metrics.counters(
                "lycheewood_lease_changes_total",
                "Leases read from the log, by change: granted, released.",
                "change",
            )?,
        })
    }
}
