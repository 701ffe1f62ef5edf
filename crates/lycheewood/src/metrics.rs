//! Counters and gauges of a process, in the Prometheus text format.

pub(crate) mod gateway;
mod groups;
mod registrar;

use prometheus::{Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};

use groups::GroupMetrics;
use registrar::Registrar;

/// All metrics of a process. Labels have few values; none names a workspace.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) requests_in_flight: IntGauge,
    pub(crate) attempts: IntCounterVec,
    pub(crate) answer_pieces: IntCounter,
    pub(crate) first_piece_seconds: Histogram,
    pub(crate) endpoints_connected: IntGauge,
    pub(crate) connections_silent: IntCounter,
    pub(crate) peers_closed: IntCounter,
    pub(crate) list_errors: IntCounter,
    pub(crate) log_errors: IntCounter,
    pub(crate) log_end_reversals: IntCounter,
    pub(crate) document_version: IntGauge,
    pub(crate) suspects_reported: IntCounter,
    pub(crate) callers_connected: IntGauge,
    pub(crate) memory_refusals: IntCounter,
    pub(crate) idle_closed: IntCounter,
    pub(crate) claim_appends: IntCounter,
    pub(crate) claim_append_errors: IntCounter,
    pub(crate) retries: IntCounter,
    pub(crate) suspects: IntGauge,
    pub(crate) snapshots_written: IntCounter,
    pub(crate) brownout: IntGauge,
    pub(crate) groups: GroupMetrics,
}

impl Metrics {
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Registrar(&registry);
        let first_piece_seconds = metrics.histogram(
            "lycheewood_first_piece_seconds",
            "Time from a request to the first piece of its answer; the first token for models.",
            &[],
        )?;
        Ok(Self {
            first_piece_seconds,
            requests: metrics.counters(
                "lycheewood_requests_total",
                "Requests by outcome: done, invalid, unknown, cut, or the code of a refusal as not run.",
                "outcome",
            )?,
            requests_in_flight: metrics.gauge("lycheewood_requests_in_flight", "Requests being served.")?,
            attempts: metrics.counters(
                "lycheewood_attempts_total",
                "Attempts by end: done, refused, failed, lost, not_sent.",
                "end",
            )?,
            answer_pieces: metrics.counter(
                "lycheewood_answer_pieces_total",
                "Pieces of answers relayed; a token each for models.",
            )?,
            endpoints_connected: metrics.gauge(
                "lycheewood_endpoints_connected",
                "Endpoint daemons with a working connection.",
            )?,
            connections_silent: metrics.counter(
                "lycheewood_connections_silent_total",
                "Connections closed because nothing arrived for the silence timeout.",
            )?,
            peers_closed: metrics.counter(
                "lycheewood_peer_connections_closed_total",
                "Connections without a hello closed to make room for new ones at an endpoint daemon.",
            )?,
            list_errors: metrics.counter(
                "lycheewood_instance_list_errors_total",
                "Reads of the instance list that failed.",
            )?,
            log_errors: metrics.counter("lycheewood_log_errors_total", "Reads of the log that failed.")?,
            log_end_reversals: metrics.counter(
                "lycheewood_log_end_reversals_total",
                "Replies of the log with an older end than seen before; they are not applied.",
            )?,
            document_version: metrics.gauge(
                "lycheewood_document_version",
                "Log offset of the document in force, -1 when there is none.",
            )?,
            suspects_reported: metrics.counter(
                "lycheewood_suspects_reported_total",
                "Requests reported as in flight when an engine died.",
            )?,
            callers_connected: metrics.gauge(
                "lycheewood_callers_connected",
                "Open connections of callers.",
            )?,
            memory_refusals: metrics.counter(
                "lycheewood_memory_refusals_total",
                "Requests refused because the memory budget was used up.",
            )?,
            idle_closed: metrics.counter(
                "lycheewood_idle_closed_total",
                "Idle connections of callers closed to make room for new ones.",
            )?,
            claim_appends: metrics.counter(
                "lycheewood_claim_appends_total",
                "Appends of claims to the log; each carries those that waited.",
            )?,
            claim_append_errors: metrics.counter(
                "lycheewood_claim_append_errors_total",
                "Appends of claims without a reply; they are appended again.",
            )?,
            suspects: metrics.gauge(
                "lycheewood_suspects",
                "Requests that are suspected or quarantined because an engine died under them.",
            )?,
            snapshots_written: metrics.counter(
                "lycheewood_document_snapshots_written_total",
                "Snapshots of the document stream that this instance has written.",
            )?,
            retries: metrics.counter(
                "lycheewood_retries_total",
                "Attempts made again within the retry budget.",
            )?,
            brownout: metrics.gauge(
                "lycheewood_brownout_step",
                "Brownout step: 0 off, 1 no retries, 2 and 3 shed low priorities.",
            )?,
            groups: GroupMetrics::new(&registry)?,
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
