//! Starts the span of a request as a child of the caller's span.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;

use crate::entry_state::EntryState;
use crate::filters::exchange::{Exchange, Received, Traced};

pub(crate) fn apply<'r>(
    state: &EntryState,
    exchange: Exchange<'r, Received>,
) -> Exchange<'r, Traced> {
    let request = exchange.request;
    let attributes = vec![KeyValue::new("lycheewood.target", request.call.target().to_owned())];
    let parent = request.traceparent.as_deref();
    let span = state.telemetry.span("request", SpanKind::Server, parent, attributes);
    exchange.advance(|Received| Traced { span: Arc::new(span) })
}
