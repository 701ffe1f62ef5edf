//! The filter chain of a test request: drafted, authenticated, identified, traced.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName};
use lycheewood::{RequestKey, Timestamp};

use crate::error::CliError;

/// What the operator asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSpec<'a> {
    pub(crate) url: &'a str,
    pub(crate) method: &'a str,
    pub(crate) body: &'a str,
    pub(crate) token: &'a str,
    /// The key, or `None` for a fresh one.
    pub(crate) key: Option<RequestKey>,
    /// The deadline, or `None` for the document's default.
    pub(crate) deadline_ms: Option<u64>,
}

/// Method, path and body are set.
pub(crate) struct Drafted;
/// The token is set as well.
pub(crate) struct Authenticated;
/// The key is set as well.
pub(crate) struct Identified {
    key: RequestKey,
}
/// The trace is set as well.
pub(crate) struct Traced {
    pub(crate) key: RequestKey,
    pub(crate) trace_id: String,
}

/// A request on its way through the chain.
pub(crate) struct Exchange<'r, S> {
    spec: RequestSpec<'r>,
    headers: Vec<(HeaderName, String)>,
    pub(crate) stage: S,
}

impl<'r, S> Exchange<'r, S> {
    fn with<T>(mut self, name: HeaderName, value: String, stage: T) -> Exchange<'r, T> {
        self.headers.push((name, value));
        Exchange { spec: self.spec, headers: self.headers, stage }
    }
}

/// Runs the chain; another order does not compile.
pub(crate) fn run(spec: RequestSpec<'_>, now: Timestamp) -> Exchange<'_, Traced> {
    trace(identify(authenticate(draft(spec)), now))
}

fn draft(spec: RequestSpec<'_>) -> Exchange<'_, Drafted> {
    let mut headers = vec![(CONTENT_TYPE, "application/json".to_owned())];
    if let Some(deadline_ms) = spec.deadline_ms {
        headers.push((HeaderName::from_static("x-deadline-ms"), deadline_ms.to_string()));
    }
    Exchange { spec, headers, stage: Drafted }
}

fn authenticate(exchange: Exchange<'_, Drafted>) -> Exchange<'_, Authenticated> {
    let value = format!("Bearer {}", exchange.spec.token);
    exchange.with(AUTHORIZATION, value, Authenticated)
}

fn identify(exchange: Exchange<'_, Authenticated>, now: Timestamp) -> Exchange<'_, Identified> {
    let key = exchange.spec.key.unwrap_or_else(|| RequestKey::generate(now));
    let name = HeaderName::from_static("idempotency-key");
    exchange.with(name, key.to_string(), Identified { key })
}

/// Adds a fresh W3C trace context that asks for recording.
fn trace(exchange: Exchange<'_, Identified>) -> Exchange<'_, Traced> {
    let trace_id = format!("{:032x}", rand::random_range(1..=u128::MAX));
    let span_id = rand::random_range(1..=u64::MAX);
    let value = format!("00-{trace_id}-{span_id:016x}-01");
    let key = exchange.stage.key;
    exchange.with(HeaderName::from_static("traceparent"), value, Traced { key, trace_id })
}

impl Exchange<'_, Traced> {
    /// The request as HTTP.
    pub(crate) fn to_http(&self) -> Result<Request<Full<Bytes>>, CliError> {
        let mut request = Request::builder().method(self.spec.method).uri(self.spec.url);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::copy_from_slice(self.spec.body.as_bytes()));
        request.body(body).map_err(CliError::Request)
    }
}
