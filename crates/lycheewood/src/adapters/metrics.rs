//! Serves the metrics of a gateway as text.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use tokio::net::TcpListener;

use crate::adapters::api_port::{ApiLimits, serve_api};
use crate::gateway::GatewayState;

/// Readers of metrics are few. Each has 2 s to send its request.
const LIMITS: ApiLimits = ApiLimits { max_connections: 16, head_timeout_ms: 2_000 };

pub(crate) async fn serve(listener: TcpListener, state: Arc<GatewayState>) {
    let handle = move |_| {
        let used_bytes = i64::try_from(state.memory.used_bytes()).unwrap_or(i64::MAX);
        state.metrics.limits.memory_used.set(used_bytes);
        let mut reply = Response::new(Full::new(Bytes::from(state.metrics.encode())));
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        reply.headers_mut().insert(CONTENT_TYPE, text);
        // Reads are seconds apart, so a kept connection would only hold a place.
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        std::future::ready(reply)
    };
    serve_api(listener, LIMITS, handle).await;
}
