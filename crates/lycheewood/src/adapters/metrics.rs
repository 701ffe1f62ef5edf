//! Serves the metrics of a gateway as text.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::metrics::gateway::GatewayMetrics;

/// The longest time that a reader of metrics takes, in milliseconds.
const SERVE_MS: u64 = 2_000;

pub(crate) async fn serve(listener: TcpListener, metrics: Arc<GatewayMetrics>) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else { continue };
        let metrics = Arc::clone(&metrics);
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let mut reply = Response::new(Full::new(Bytes::from(metrics.encode())));
                let text = HeaderValue::from_static("text/plain; version=0.0.4");
                reply.headers_mut().insert(CONTENT_TYPE, text);
                async move { Ok::<_, Infallible>(reply) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .keep_alive(false)
                .serve_connection(TokioIo::new(tcp), service);
            let _ = timeout(Duration::from_millis(SERVE_MS), connection).await;
        });
    }
}
