//! Metrics of the choice of endpoints.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::metrics::gateway::LATENCY_BUCKETS;
use crate::metrics::registrar::Registrar;

/// Metrics of the choice of endpoints.
#[derive(Debug)]
pub(crate) struct RoutingMetrics {
    pub(crate) answers_lost: IntCounter,
    pub(crate) waits: IntCounterVec,
    pub(crate) wait_seconds: Histogram,
    pub(crate) chosen_by_work: IntCounter,
    pub(crate) slow_endpoints: IntCounter,
    pub(crate) probes: IntCounter,
    pub(crate) evacuated_domains: IntGauge,
    pub(crate) refused_unusable: IntCounter,
    pub(crate) cold_sent: IntCounter,
    pub(crate) limits_unreadable: IntCounter,
    pub(crate) permit_replies: IntCounterVec,
    pub(crate) permits_used: IntCounter,
    pub(crate) fleet_assumed: IntGauge,
}

impl RoutingMetrics {
    pub(super) fn new(metrics: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            answers_lost: metrics.counter(
                "lycheewood_gateway_answers_lost_total",
                "Requests to plain services without a response in the expected time.",
            )?,
            waits: metrics.counters(
                "lycheewood_gateway_waits_total",
                "Requests that waited for a place at an endpoint, by end: granted, expired, too_late.",
                "end",
            )?,
            wait_seconds: metrics.histogram(
                "lycheewood_gateway_wait_seconds",
                "Time from a request that waited for a place to the end of its wait.",
                &LATENCY_BUCKETS,
            )?,
            chosen_by_work: metrics.counter(
                "lycheewood_gateway_chosen_by_work_total",
                "Endpoints chosen by estimated work instead of requests in flight.",
            )?,
            slow_endpoints: metrics.counter(
                "lycheewood_gateway_slow_endpoints_total",
                "Endpoints that turned slow against others of their group or service.",
            )?,
            probes: metrics.counter(
                "lycheewood_gateway_probes_total",
                "Requests sent to slow endpoints, which measure their pace.",
            )?,
            evacuated_domains: metrics.gauge(
                "lycheewood_gateway_evacuated_domains",
                "Failure domains that the operator has evacuated.",
            )?,
            refused_unusable: metrics.counter(
                "lycheewood_gateway_refused_unusable_total",
                "Requests refused because no listed endpoint of the service may get them.",
            )?,
            cold_sent: metrics.counter(
                "lycheewood_gateway_cold_sent_total",
                "Attempts at endpoints that were cold and whose service limits them.",
            )?,
            limits_unreadable: metrics.counter(
                "lycheewood_gateway_limits_unreadable_total",
                "Responses that name a limit of their endpoint which is not a rate.",
            )?,
            permit_replies: metrics.counters(
                "lycheewood_gateway_permit_replies_total",
                "Replies to requests for permits for limited endpoints, by result: granted, refused.",
                "result",
            )?,
            permits_used: metrics.counter(
                "lycheewood_gateway_permits_used_total",
                "Attempts at endpoints that have named a limit.",
            )?,
            fleet_assumed: metrics.gauge(
                "lycheewood_gateway_fleet_assumed",
                "Gateways that this one shares the limits of cold endpoints with.",
            )?,
        })
    }
}
