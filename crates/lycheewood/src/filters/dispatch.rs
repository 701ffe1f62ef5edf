//! Sends an attempt to its endpoint.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;

use crate::adapters::peer::link::{AttemptEvents, Flight, Link, Ticket};
use crate::controllers::claims::ReleaseClaim;
use crate::controllers::load::ConnectedEndpoint;
use crate::controllers::quarantine::WithdrawTrial;
use crate::entry_state::EntryState;
use crate::filters::exchange::{Admitted, Claimed, Exchange};
use crate::filters::request::Call;
use crate::filters::route::NO_ENDPOINT_RETRY_MS;
use crate::ids::{Incarnation, VersionName};
use crate::lifecycle::attempt::{Attempt, Dispatched};
use crate::outcome::{NotRunCode, RequestError};
use crate::telemetry::HopSpan;
use crate::wire::message::{Start, Work};

/// The attempt has been sent; the endpoint's replies arrive as events.
pub(crate) struct Sent {
    pub(crate) admitted: Admitted,
    pub(crate) attempt: Attempt<Dispatched>,
    pub(crate) events: AttemptEvents,
    pub(crate) link: Arc<Link>,
    pub(crate) endpoint: Incarnation,
    pub(crate) flight: Flight,
    pub(crate) span: HopSpan,
    pub(crate) run_alone: bool,
}

/// Outcome of sending an attempt.
pub(crate) enum DispatchOutcome<'r> {
    /// Some of the attempt may have reached the endpoint.
    Sent(Box<Exchange<'r, Sent>>),
    /// Nothing was sent.
    NotSent(Exchange<'r, Admitted>),
}

pub(crate) async fn apply<'r>(
    state: &EntryState,
    exchange: Exchange<'r, Claimed<'r>>,
) -> Result<DispatchOutcome<'r>, RequestError> {
    let span = span(state, &exchange.stage);
    let start = start(&exchange, &span);
    let Exchange { request, view, document, now, stage } = exchange;
    let Claimed { mut admitted, endpoint, ticket, run_alone } = stage;
    let link = Arc::clone(&endpoint.link);
    let flight = link.start(state.clock);
    match link.open(ticket, start).await {
        Ok((attempt, events)) => {
            let endpoint = endpoint.incarnation;
            let sent = Sent { admitted, attempt, events, link, endpoint, flight, span, run_alone };
            let exchange = Exchange { request, view, document, now, stage: sent };
            Ok(DispatchOutcome::Sent(Box::new(exchange)))
        }
        Err(Some(unsent)) => {
            state.metrics.attempts.with_label_values(&["not_sent"]).inc();
            if run_alone {
                let fingerprint = admitted.spec.fingerprint.into();
                let withdraw = WithdrawTrial { fingerprint, attempt: unsent.attempt() };
                let _ = state.quarantine.tell(withdraw).try_send();
            }
            if let Ticket::Claimed(claim, _) = unsent {
                let _ = state.claims.tell(ReleaseClaim(claim.abandon())).try_send();
            }
            admitted.tried_endpoints.push(link.instance.clone());
            let exchange = Exchange { request, view, document, now, stage: admitted };
            Ok(DispatchOutcome::NotSent(exchange))
        }
        // The ticket was lost with the link's task. Its claim stays in the log, so the key remains held
        // and a later request with the same key queries the endpoint.
        Err(None) => {
            let exchange = Exchange { request, view, document, now, stage: admitted };
            Err(exchange.refuse(NotRunCode::NoEndpoint, NO_ENDPOINT_RETRY_MS))
        }
    }
}

fn span(state: &EntryState, claimed: &Claimed<'_>) -> HopSpan {
    let attributes = vec![
        KeyValue::new("lycheewood.endpoint", claimed.endpoint.link.instance.to_string()),
        KeyValue::new("lycheewood.attempt", claimed.ticket.attempt().to_string()),
    ];
    let parent = claimed.admitted.spec.span.traceparent();
    state.telemetry.span("attempt", SpanKind::Client, parent, attributes)
}

fn start(exchange: &Exchange<'_, Claimed<'_>>, span: &HopSpan) -> Box<Start> {
    let Claimed { admitted, endpoint, ticket, run_alone } = &exchange.stage;
    let request = exchange.request;
    Box::new(Start {
        attempt: ticket.attempt(),
        endpoint_incarnation: endpoint.incarnation,
        fingerprint: admitted.spec.fingerprint,
        key: request.key,
        claim_offset: ticket.claim_offset(),
        deadline: admitted.spec.deadline,
        priority: admitted.spec.priority,
        run_alone: *run_alone,
        work: work(&request.call, admitted, endpoint),
        traceparent: span.traceparent().map(str::to_owned),
    })
}

fn work(call: &Call, admitted: &Admitted, endpoint: &ConnectedEndpoint) -> Work {
    let target = admitted.spec.target.clone();
    match call {
        Call::Completion { prompt, max_tokens, .. } => Work::Model {
            model: target,
            version: version(admitted, endpoint),
            prompt: prompt.clone(),
            max_tokens: *max_tokens,
            resume_from_token: admitted.next_chunk,
        },
        // Unreachable: `classify` refuses lookups, which run nothing.
        Call::Lookup => Work::Service {
            service: target,
            method: String::new(),
            path: String::new(),
            content_type: String::new(),
            body: Vec::new(),
        },
        Call::Service { method, path, content_type, body, .. } => Work::Service {
            service: target,
            method: method.clone(),
            path: path.clone(),
            content_type: content_type.clone(),
            body: body.clone(),
        },
    }
}

/// Returns the version that the route filter selected.
fn version(admitted: &Admitted, endpoint: &ConnectedEndpoint) -> VersionName {
    let version = admitted.version.as_ref().or(endpoint.version.as_ref());
    version.cloned().unwrap_or_else(|| VersionName::new(""))
}
