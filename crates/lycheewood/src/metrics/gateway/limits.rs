//! Metrics of the bounds on memory and connections.

use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::metrics::registrar::Registrar;

/// Metrics of the bounds on memory and connections.
#[derive(Debug)]
pub(crate) struct LimitMetrics {
    pub(crate) memory_refusals: IntCounter,
    pub(crate) bodies_late: IntCounter,
    pub(crate) idle_closed: IntCounter,
    pub(crate) accepting: IntGauge,
    pub(crate) instance_ended: IntCounterVec,
    pub(crate) datagrams_unreadable: IntCounter,
    pub(crate) memory_used: IntGauge,
}

impl LimitMetrics {
    pub(super) fn new(metrics: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            memory_refusals: metrics.counter(
                "lycheewood_gateway_memory_refusals_total",
                "Requests refused because the memory budget was used up.",
            )?,
            bodies_late: metrics.counter(
                "lycheewood_gateway_bodies_late_total",
                "Requests refused because their body stood still or took too long.",
            )?,
            idle_closed: metrics.counter(
                "lycheewood_gateway_idle_closed_total",
                "Idle connections of callers closed to make room for new ones.",
            )?,
            accepting: metrics.gauge(
                "lycheewood_gateway_accepting",
                "Whether a further connection of a caller can be taken, 1 or 0.",
            )?,
            instance_ended: metrics.counters(
                "lycheewood_gateway_instance_connections_ended_total",
                "Connections at the ports between instances ended without a reply to a call, by reason: room, late, too_large.",
                "reason",
            )?,
            datagrams_unreadable: metrics.counter(
                "lycheewood_gateway_datagrams_unreadable_total",
                "Datagrams at the port for other instances that could not be read; they change nothing.",
            )?,
            memory_used: metrics.gauge(
                "lycheewood_gateway_memory_used_bytes",
                "Bytes of the memory budget in use.",
            )?,
        })
    }
}
