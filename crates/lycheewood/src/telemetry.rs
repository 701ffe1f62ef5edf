//! A trace span for each hop, with W3C trace context, exported over OTLP to the collector of the
//! settings. Without a collector, the caller's context is passed through unchanged.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, Response};
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{Span, SpanContext, SpanKind, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use tokio::runtime::Handle;

use crate::adapters::http::HttpClient;
use crate::settings::Settings;

const TRACEPARENT: &str = "traceparent";
const EXPORT_PATH: &str = "/v1/traces";

/// Sends spans with the node's own HTTP client, on the node's own runtime.
#[derive(Debug)]
struct ExportClient {
    http: HttpClient,
    runtime: Handle,
    timeout_ms: u64,
}

#[async_trait]
impl opentelemetry_http::HttpClient for ExportClient {
    async fn send_bytes(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, opentelemetry_http::HttpError> {
        let (http, timeout_ms) = (self.http.clone(), self.timeout_ms);
        // The exporter's thread has no runtime of its own.
        let reply = self.runtime.spawn(async move {
            let headers = [("content-type", "application/json")];
            let body = request.into_body();
            http.open(Method::POST, EXPORT_PATH, &headers, body, timeout_ms).await
        });
        let response = reply.await??;
        let mut reply = Response::new(Bytes::new());
        *reply.status_mut() = response.status();
        Ok(reply)
    }
}

/// Makes the spans of a process.
#[derive(Debug)]
pub(crate) struct Telemetry {
    exporting: Option<(SdkTracer, SdkTracerProvider)>,
}

impl Telemetry {
    /// Starts exporting when the settings name a collector.
    pub(crate) fn start(settings: &Settings, runtime: &Handle) -> Self {
        let exporting = settings.collector_address.and_then(|collector| {
            let provider = provider(settings, collector, runtime)?;
            Some((provider.tracer("lycheewood"), provider))
        });
        Self { exporting }
    }

    /// Opens a span below `parent`, a `traceparent` of the hop before.
    pub(crate) fn span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: Option<&str>,
        attributes: Vec<KeyValue>,
    ) -> HopSpan {
        let Some((tracer, _)) = &self.exporting else {
            return HopSpan { span: None, traceparent: parent.map(str::to_owned) };
        };
        let span = tracer
            .span_builder(name)
            .with_kind(kind)
            .with_attributes(attributes)
            .start_with_context(tracer, &context(parent));
        let traceparent = Some(traceparent(span.span_context()));
        HopSpan { span: Some(Mutex::new(span)), traceparent }
    }

    /// Exports what is left. Blocks until the collector has replied or timed out.
    pub(crate) fn flush(&self) {
        if let Some((_, provider)) = &self.exporting {
            // Spans that a collector does not take are lost; requests do not depend on them.
            let _ = provider.shutdown();
        }
    }
}

fn provider(
    settings: &Settings,
    collector: SocketAddr,
    runtime: &Handle,
) -> Option<SdkTracerProvider> {
    let timing = &settings.timing;
    let client = ExportClient {
        http: HttpClient::new(collector, timing.connect_ms),
        runtime: runtime.clone(),
        timeout_ms: timing.platform_reply_ms,
    };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(format!("http://{collector}{EXPORT_PATH}"))
        .build();
    let exporter = match exporter {
        Ok(exporter) => exporter,
        Err(error) => {
            log::warn!("spans are not exported reason={error}");
            return None;
        }
    };
    let resource = Resource::builder_empty()
        .with_attribute(KeyValue::new("service.name", "lycheewood"))
        .with_attribute(KeyValue::new("service.instance.id", settings.instance.to_string()))
        .build();
    let provider =
        SdkTracerProvider::builder().with_batch_exporter(exporter).with_resource(resource).build();
    Some(provider)
}

fn context(parent: Option<&str>) -> Context {
    let mut carrier = HashMap::new();
    if let Some(parent) = parent {
        carrier.insert(TRACEPARENT.to_owned(), parent.to_owned());
    }
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

fn traceparent(context: &SpanContext) -> String {
    let flags = context.trace_flags().to_u8();
    format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
}

/// The span of one hop. It ends when it is dropped.
#[derive(Debug)]
pub(crate) struct HopSpan {
    span: Option<Mutex<opentelemetry_sdk::trace::Span>>,
    traceparent: Option<String>,
}

impl HopSpan {
    /// The context to send to the next hop.
    pub(crate) fn traceparent(&self) -> Option<&str> {
        self.traceparent.as_deref()
    }

    /// Notes how the hop ended.
    pub(crate) fn set_outcome(&self, outcome: &'static str) {
        if let Some(span) = &self.span {
            let mut span = span.lock().unwrap_or_else(PoisonError::into_inner);
            span.set_attribute(KeyValue::new("lycheewood.outcome", outcome));
        }
    }
}
