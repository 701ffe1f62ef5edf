//! Metrics of a gateway.

pub(crate) mod limits;
pub(crate) mod routing;

use prometheus::{Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};

use super::registrar::Registrar;
use crate::metrics::gateway::limits::LimitMetrics;
use crate::metrics::gateway::routing::RoutingMetrics;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];

/// All metrics of a gateway. Labels have few values; none names a workspace or an endpoint.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) retries: IntCounter,
    pub(crate) retries_denied: IntCounter,
    pub(crate) resumed: IntCounter,
    pub(crate) silences: IntCounterVec,
    pub(crate) version_refusals: IntCounter,
    pub(crate) endpoint_crashes: IntCounter,
    pub(crate) trial_waits: IntCounter,
    pub(crate) suspects: IntGauge,
    /// The choice of endpoints.
    pub(crate) routing: RoutingMetrics,
    /// The bounds on memory and connections.
    pub(crate) limits: LimitMetrics,
    pub(crate) first_byte_seconds: Histogram,
    pub(crate) request_seconds: Histogram,
    pub(crate) requests_in_flight: IntGauge,
    pub(crate) callers_connected: IntGauge,
    pub(crate) route_version: IntGauge,
    pub(crate) endpoints_listed: IntGauge,
    pub(crate) peers_heard: IntGauge,
    pub(crate) state_fetches: IntCounterVec,
    pub(crate) records_unreadable: IntCounter,
}

impl GatewayMetrics {
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Registrar(&registry);
        Ok(Self {
            requests: metrics.counters(
                "lycheewood_gateway_requests_total",
                "Requests by outcome: answered, cut, left, or the code of a refusal.",
                "outcome",
            )?,
            attempts: metrics.counters(
                "lycheewood_gateway_attempts_total",
                "Attempts by end: answered, not_sent, not_run, failed, server_error.",
                "end",
            )?,
            retries: metrics.counter(
                "lycheewood_gateway_retries_total",
                "Attempts made again at another endpoint.",
            )?,
            retries_denied: metrics.counter(
                "lycheewood_gateway_retries_denied_total",
                "Attempts not made again because the retry budget was used up.",
            )?,
            resumed: metrics.counter(
                "lycheewood_gateway_streams_resumed_total",
                "Broken streams continued at another endpoint.",
            )?,
            silences: metrics.counters(
                "lycheewood_gateway_silent_answers_total",
                "Silent answers for which another endpoint was asked, by result: moved, returned, refused.",
                "result",
            )?,
            version_refusals: metrics.counter(
                "lycheewood_gateway_version_refusals_total",
                "Attempts answered with 421 for a request that expects a version.",
            )?,
            trial_waits: metrics.counter(
                "lycheewood_gateway_trial_waits_total",
                "Requests that waited for the end of a trial of the same request or prompt part.",
            )?,
            endpoint_crashes: metrics.counter(
                "lycheewood_gateway_endpoint_crashes_total",
                "Requests whose endpoint ended while it may have run them.",
            )?,
            suspects: metrics.gauge(
                "lycheewood_gateway_suspects",
                "Requests that are suspected to crash endpoints, or quarantined.",
            )?,
            routing: RoutingMetrics::new(&metrics)?,
            limits: LimitMetrics::new(&metrics)?,
            first_byte_seconds: metrics.histogram(
                "lycheewood_gateway_first_byte_seconds",
                "Time from a request to the head of its answer.",
                &LATENCY_BUCKETS,
            )?,
            request_seconds: metrics.histogram(
                "lycheewood_gateway_request_seconds",
                "Time from a request to the end of its answer.",
                &LATENCY_BUCKETS,
            )?,
            requests_in_flight: metrics
                .gauge("lycheewood_gateway_requests_in_flight", "Requests being served.")?,
            callers_connected: metrics
                .gauge("lycheewood_gateway_callers_connected", "Open connections of callers.")?,
            route_version: metrics.gauge(
                "lycheewood_gateway_route_version",
                "Version of the route table in force, -1 when there is none.",
            )?,
            endpoints_listed: metrics
                .gauge("lycheewood_gateway_servers_listed", "Endpoints that take requests.")?,
            peers_heard: metrics.gauge(
                "lycheewood_gateway_peers_heard",
                "Other instances that are ready and were heard lately.",
            )?,
            state_fetches: metrics.counters(
                "lycheewood_gateway_state_fetches_total",
                "State fetched from another instance, by result: ok, failed.",
                "result",
            )?,
            records_unreadable: metrics.counter(
                "lycheewood_gateway_records_unreadable_total",
                "Records of the platform that could not be read; they change nothing.",
            )?,
            registry,
        })
    }

    /// All metrics as text.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector fails only for metric families without a name or a value.
        TextEncoder::new().encode(&self.registry.gather(), &mut text).unwrap_or_default();
        text
    }
}
