//! The HTTP front end for operators: metrics, liveness, readiness and state.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::adapters::api_port::{ApiLimits, serve_api};
use crate::controllers::document::CurrentDocument;
use crate::controllers::{Progress, wait_for_progress};
use crate::decisions::groups::GroupState;
use crate::entry_state::EntryState;
use crate::ids::Offset;
use crate::roles::endpoint::EndpointState;
use crate::runtime::stopped;

/// The node whose state is shown.
#[derive(Clone)]
pub(crate) enum AdminSource {
    Entry(Arc<EntryState>),
    Endpoint(Arc<EndpointState>),
}

impl AdminSource {
    fn metrics(&self) -> Vec<u8> {
        match self {
            Self::Entry(state) => state.metrics.encode(),
            Self::Endpoint(state) => state.metrics.encode(),
        }
    }

    /// An entry is ready with a document in force while it can take a connection, an endpoint daemon with a backend
    /// that responds.
    fn is_ready(&self) -> bool {
        match self {
            Self::Entry(state) => state.document.load().is_some() && state.callers.has_room(),
            Self::Endpoint(state) => {
                let status = *state.status.borrow();
                status.engine_up && !status.draining
            }
        }
    }

    fn state(&self) -> Value {
        match self {
            Self::Entry(state) => entry_state(state),
            Self::Endpoint(state) => endpoint_state(state),
        }
    }

    fn progress(&self) -> &watch::Sender<Progress> {
        match self {
            Self::Entry(state) => &state.progress,
            Self::Endpoint(state) => &state.progress,
        }
    }

    fn header_timeout_ms(&self) -> u64 {
        match self {
            Self::Entry(state) => state.settings.bounds.header_timeout_ms,
            Self::Endpoint(state) => state.settings.bounds.header_timeout_ms,
        }
    }
}

fn document_state(document: Option<&CurrentDocument>) -> Value {
    document.map_or(Value::Null, |d| json!({"version": d.version, "upto": d.upto}))
}

/// Groups with their leases and maps; `stopped` tells why this node reads no further.
fn groups_state(state: &GroupState) -> Value {
    let groups: Vec<Value> = state
        .groups()
        .iter()
        .map(|(scope, maps)| {
            let lease = state.leases().current(scope);
            json!({
                "scope": scope,
                "lease": lease.map(|lease| json!({
                    "holder": lease.holder.to_string(),
                    "fencing": lease.fencing,
                    "ends_unix_ms": lease.ends,
                })),
                "ranks": maps.processes().map(|p| p.iter().map(ToString::to_string).collect::<Vec<_>>()),
                "map": maps.newest().map(|m| json!({"change": m.change, "step": m.step, "map": m.map})),
                "pending": maps.pending().map(|p| json!({"change": p.change, "step": p.step})),
            })
        })
        .collect();
    let stopped = state.replay_error().map(|reason| reason.to_string());
    json!({"next_offset": state.next_offset(), "stopped": stopped, "groups": groups})
}

fn entry_state(state: &EntryState) -> Value {
    let document = state.document.load();
    let endpoints: Vec<Value> = state
        .endpoints
        .load()
        .endpoints
        .iter()
        .map(|endpoint| {
            json!({
                "instance": endpoint.link.instance,
                "failure_domain": endpoint.link.failure_domain,
                "incarnation": endpoint.incarnation.to_string(),
                "kind": endpoint.kind,
                "version": endpoint.version,
                "admin_address": endpoint.admin_address,
                "draining": endpoint.draining,
                "in_flight": endpoint.link.estimate().in_flight().count(),
                "running": endpoint.load.running,
                "queued": endpoint.load.queued,
                "capacity": endpoint.load.capacity,
            })
        })
        .collect();
    json!({
        "role": "entry",
        "instance": state.settings.instance,
        "failure_domain": state.settings.failure_domain,
        "incarnation": state.incarnation.to_string(),
        "document": document_state(document.as_deref()),
        "endpoints": endpoints,
        "groups": groups_state(&state.groups.load()),
        "instances": state.members.load().list.instances,
    })
}

fn endpoint_state(state: &EndpointState) -> Value {
    let status = *state.status.borrow();
    let entries: Vec<Value> = state
        .peers
        .load()
        .iter()
        .map(|entry| json!({"instance": entry.instance, "admin_address": entry.admin_address}))
        .collect();
    json!({
        "entries": entries,
        "groups": groups_state(&state.groups.load()),
        "role": "endpoint",
        "instance": state.settings.instance,
        "failure_domain": state.settings.failure_domain,
        "incarnation": state.incarnation.to_string(),
        "running": status.running,
        "draining": status.draining,
        "document": document_state(state.document.load().as_deref()),
        "engine_up": status.engine_up,
    })
}

/// Serves operators until `stop` is set.
pub(crate) async fn serve(
    listener: TcpListener,
    source: AdminSource,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let limits =
        ApiLimits { max_connections: MAX_CONNECTIONS, head_timeout_ms: source.header_timeout_ms() };
    let handle = move |request| {
        let source = source.clone();
        async move { handle(&source, &request).await }
    };
    tokio::select! {
        () = serve_api(listener, limits, handle) => {}
        () = stopped(&mut stop) => {}
    }
    Ok(())
}

/// Most connections of operators and monitoring at once.
const MAX_CONNECTIONS: usize = 64;

/// The longest that `/state` waits.
const MAX_WAIT_MS: u64 = 60_000;

/// Waits as `/state?min_version=&min_endpoints=&wait_ms=` asks for.
async fn wait(source: &AdminSource, query: &str) {
    let parameter = |name: &str| {
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    let Some(wait_ms) = parameter("wait_ms") else { return };
    let endpoints: u64 = parameter("min_endpoints").unwrap_or(0);
    let wanted = Progress {
        version: parameter("min_version").map(Offset),
        endpoints: usize::try_from(endpoints).unwrap_or(usize::MAX),
    };
    // The state is shown as it is when the wait is over.
    wait_for_progress(source.progress(), wanted, wait_ms.min(MAX_WAIT_MS)).await;
}

async fn handle(source: &AdminSource, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/metrics" => response(StatusCode::OK, "text/plain; version=0.0.4", source.metrics()),
        "/live" => response(StatusCode::OK, "text/plain", b"live\n".to_vec()),
        "/ready" if source.is_ready() => {
            response(StatusCode::OK, "text/plain", b"ready\n".to_vec())
        }
        "/ready" => {
            response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", b"not ready\n".to_vec())
        }
        "/state" => {
            wait(source, request.uri().query().unwrap_or_default()).await;
            let body = source.state().to_string().into_bytes();
            response(StatusCode::OK, "application/json", body)
        }
        _ => response(StatusCode::NOT_FOUND, "text/plain", b"no such resource\n".to_vec()),
    }
}

fn response(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
