//! A forwarded request on its way through the chain, typed by the stage that it has reached.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};

use crate::adapters::forward::upstream::UpstreamAnswer;
use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::peers::PeerTable;
use crate::gateway::{CurrentEndpoints, CurrentRoutes, GatewayState};
use crate::ids::{InstanceId, TargetName, WorkspaceName};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned};
use crate::lifecycle::shutdown::Phase;
use crate::load_tracker::InFlightGuard;
use crate::outcome::{NotRunCode, Refusal, Unknown, UnknownCode};
use crate::routes::checked::{KeyHolder, Route};

/// How soon a caller may come back when this instance has no route table yet.
const NO_ROUTES_RETRY_MS: u64 = 500;
/// How soon a caller may come back when no endpoint can take its request. One that comes back while the
/// endpoints are still full is refused again, and callers come back only once or twice.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;

/// The head of a caller's request.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    /// Identifies the request; the endpoint's answer repeats it.
    pub(crate) request_id: String,
    /// The caller's key, if it sent one.
    pub(crate) key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// The last event of an earlier answer that the caller has.
    pub(crate) last_event: Option<u64>,
    pub(crate) received: Timestamp,
}

/// Immutable snapshots of control state, taken once for each pass through the chain.
pub(crate) struct View {
    pub(crate) routes: Option<Arc<CurrentRoutes>>,
    pub(crate) endpoints: Arc<CurrentEndpoints>,
    pub(crate) peers: Arc<PeerTable>,
}

impl View {
    pub(crate) fn load(state: &GatewayState) -> Self {
        Self {
            routes: state.routes.load_full(),
            endpoints: state.endpoints.load_full(),
            peers: state.peers.load_full(),
        }
    }
}

/// A request in stage `S`, with borrowed views of its head and of control state.
pub(crate) struct Exchange<'r, S> {
    pub(crate) head: &'r Arc<Head>,
    pub(crate) view: &'r View,
    pub(crate) now: Timestamp,
    pub(crate) stage: S,
}

impl<'r, S> Exchange<'r, S> {
    /// The exchange in its next stage.
    pub(crate) fn advance<T>(self, next: impl FnOnce(S) -> T) -> Exchange<'r, T> {
        let Self { head, view, now, stage } = self;
        Exchange { head, view, now, stage: next(stage) }
    }
}

/// A route table is in force.
pub(crate) struct Received<'r> {
    pub(crate) routes: &'r CurrentRoutes,
}

/// A route takes the request.
pub(crate) struct Identified<'r> {
    pub(crate) routes: &'r CurrentRoutes,
    pub(crate) route: &'r Route,
}

/// The caller may use the route.
pub(crate) struct Authenticated<'r> {
    pub(crate) routes: &'r CurrentRoutes,
    pub(crate) route: &'r Route,
    pub(crate) workspace: Option<&'r KeyHolder>,
}

/// An endpoint's answer that has been read to its end.
#[derive(Clone, Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The endpoint that gave it.
    pub(crate) endpoint: InstanceId,
}

impl WholeAnswer {
    /// The answer with a time to come back, if the endpoint gave none.
    fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        let seconds = Duration::from_millis(retry_after_ms).as_secs_f64().to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            self.headers.entry(RETRY_AFTER).or_insert(value);
        }
        self
    }
}

/// The whole request is here and within its bounds; nothing has been sent for its next attempt.
pub(crate) struct Admitted {
    pub(crate) route: Route,
    pub(crate) service: TargetName,
    pub(crate) workspace: Option<WorkspaceName>,
    /// The key names a workspace, so endpoints must not see it.
    pub(crate) hides_key: bool,
    pub(crate) body: Bytes,
    /// Requests that one endpoint should run at once, if streams must keep a pace.
    pub(crate) batch: Option<u32>,
    /// When the caller must have its final answer.
    pub(crate) deadline: Timestamp,
    /// Endpoints that the request was sent to.
    pub(crate) attempts: u32,
    /// Times that another endpoint was at the address, which is no attempt.
    pub(crate) misdirected: u32,
    /// Ranks that refused it while their whole group seemed to refuse, once for each refusal. None of these
    /// is an attempt.
    pub(crate) refused_by: Vec<InstanceId>,
    /// Endpoints that failed or refused this request, or could not be reached.
    pub(crate) avoid: Vec<InstanceId>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// Set once an attempt may have run. The request can then no longer end as not run.
    pub(crate) may_have_run: Option<UnknownCode>,
    /// Why no endpoint takes the request, as of the last choice.
    pub(crate) no_endpoint: NotRunCode,
    /// The last answer of an endpoint that is no success, and whether the endpoint says that it has not run
    /// the request.
    pub(crate) last_answer: Option<(WholeAnswer, bool)>,
}

impl Admitted {
    /// Ends a request for which no further attempt is made: with what an endpoint said, or with the truth
    /// about whether it may have run.
    pub(crate) fn conclude(self, state: &GatewayState) -> Result<WholeAnswer, Refusal> {
        match (self.last_answer, self.may_have_run) {
            // An endpoint's own failure is its answer, whatever came before.
            (Some((answer, false)), _) => Ok(answer),
            (Some((answer, true)), None) => Ok(answer.with_retry_after(NO_ENDPOINT_RETRY_MS)),
            (_, Some(code)) => Err(Refusal::Unknown(Unknown { code, key: None })),
            (None, None) if state.clock.now() >= self.deadline => {
                Err(Refusal::not_run(NotRunCode::DeadlineUnreachable, NO_ENDPOINT_RETRY_MS))
            }
            (None, None) => Err(Refusal::not_run(self.no_endpoint, NO_ENDPOINT_RETRY_MS)),
        }
    }

    /// Whether another attempt is left, on an endpoint that has not had the request.
    pub(crate) fn may_leave(&self) -> bool {
        self.may_run_again() && self.attempts < self.route.max_attempts
    }

    /// Whether another endpoint may get the request after one that may have run it.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.may_repeat()
    }
}

/// An endpoint is chosen; nothing has been sent.
pub(crate) struct Selected {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) attempt: Attempt<Planned>,
    pub(crate) in_flight: InFlightGuard,
}

/// The head of an endpoint's answer has arrived.
pub(crate) struct Answered {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) attempt: Attempt<Dispatched>,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) answer: Box<UpstreamAnswer>,
}

impl<'r> Exchange<'r, Received<'r>> {
    pub(crate) fn receive(
        head: &'r Arc<Head>,
        view: &'r View,
        phase: Phase,
        now: Timestamp,
    ) -> Result<Self, Refusal> {
        if phase == Phase::Refusing {
            return Err(Refusal::not_run(NotRunCode::Draining, 0));
        }
        let routes = view
            .routes
            .as_deref()
            .ok_or_else(|| Refusal::not_run(NotRunCode::NoDocument, NO_ROUTES_RETRY_MS))?;
        Ok(Self { head, view, now, stage: Received { routes } })
    }
}
