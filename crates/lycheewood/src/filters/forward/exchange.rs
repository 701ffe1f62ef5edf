//! A forwarded request on its way through the chain, typed by the stage that it has reached.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};

use crate::adapters::forward::upstream::UpstreamResponse;
use crate::clock::Timestamp;
use crate::decisions::cost::answers::AnswerEstimate;
use crate::decisions::cost::{LengthHint, RequestCost, RequestFacts, TokenUsage, estimate_cost};
use crate::decisions::digest::Fingerprint;
use crate::decisions::endpoint_list::EndpointEntry;
use crate::decisions::evacuation::EvacuationTable;
use crate::decisions::peers::PeerTable;
use crate::decisions::regions::AllowedRegions;
use crate::decisions::retries::{RefusalCause, come_back_ms};
use crate::filters::forward::quarantine::Trial;
use crate::gateway::{CurrentEndpoints, CurrentRoutes, GatewayState};
use crate::ids::{InstanceId, RegionName, TargetName, WorkspaceName};
use crate::lifecycle::attempt::{Attempt, Dispatched, Planned};
use crate::lifecycle::shutdown::Phase;
use crate::load_tracker::InFlightGuard;
use crate::outcome::{NotRunCode, RequestError, UnknownCode, UnknownOutcome};
use crate::routes::checked::{PriorityRange, Route, RouteWorkspace};
use crate::routes::raw::{CostProfile, EngineProfile};

/// Value of a `Retry-After` header, in seconds with milliseconds.
pub(crate) fn retry_after_value(retry_after_ms: u64) -> HeaderValue {
    let (seconds, ms) = (retry_after_ms / 1_000, retry_after_ms % 1_000);
    // Digits and a dot are valid in a header.
    HeaderValue::from_str(&format!("{seconds}.{ms:03}"))
        .unwrap_or_else(|_| HeaderValue::from(seconds))
}

/// The head of a caller's request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    /// Identifies the request; the endpoint echoes it in its response.
    pub(crate) request_id: String,
    /// The caller's key, if it sent one.
    pub(crate) key: Option<String>,
    /// Parts of the prompt that other requests may share, if the caller names them.
    pub(crate) shared_prompt_parts: Vec<String>,
    /// How long the caller waits, in milliseconds.
    pub(crate) deadline_ms: Option<u64>,
    /// Token counts that the caller states, if they are readable.
    pub(crate) token_usage: Option<TokenUsage>,
    /// The caller's estimate of the answer's length.
    pub(crate) length_hint: Option<LengthHint>,
    /// The `Last-Event-ID` of a caller that resumes a stream.
    pub(crate) last_event_id: Option<u64>,
    pub(crate) received: Timestamp,
}

/// Immutable snapshots of control state, loaded for each pass through the chain.
pub(crate) struct View {
    pub(crate) routes: Option<Arc<CurrentRoutes>>,
    pub(crate) endpoints: Arc<CurrentEndpoints>,
    pub(crate) evacuations: Arc<EvacuationTable>,
    pub(crate) peers: Arc<PeerTable>,
}

impl View {
    pub(crate) fn load(state: &GatewayState) -> Self {
        Self {
            routes: state.routes.load_full(),
            endpoints: state.endpoints.load_full(),
            evacuations: state.evacuations.load_full(),
            peers: state.peers.load_full(),
        }
    }
}

/// A request in stage `S`, with borrowed views of its head and of control state.
pub(crate) struct Exchange<'r, S> {
    pub(crate) head: &'r Arc<RequestHead>,
    pub(crate) view: &'r View,
    pub(crate) now: Timestamp,
    pub(crate) stage: S,
}

impl<'r, S> Exchange<'r, S> {
    /// Moves the exchange to its next stage.
    pub(crate) fn advance<T>(self, next: impl FnOnce(S) -> T) -> Exchange<'r, T> {
        let Self { head, view, now, stage } = self;
        Exchange { head, view, now, stage: next(stage) }
    }
}

/// Stage in which a route table is in force.
pub(crate) struct Received<'r> {
    pub(crate) routes: &'r CurrentRoutes,
}

/// Stage in which a route matches the request.
pub(crate) struct Routed<'r> {
    pub(crate) routes: &'r CurrentRoutes,
    pub(crate) route: &'r Route,
}

/// Stage in which the caller may use the route.
pub(crate) struct Authenticated<'r> {
    pub(crate) routes: &'r CurrentRoutes,
    pub(crate) route: &'r Route,
    pub(crate) workspace: Option<&'r RouteWorkspace>,
}

/// An endpoint's response that has been read to its end.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The endpoint that sent it.
    pub(crate) endpoint: InstanceId,
}

impl BufferedResponse {
    /// Sets the `Retry-After` header. A value of the endpoint concerns only that endpoint and this instance.
    fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        self.headers.insert(RETRY_AFTER, retry_after_value(retry_after_ms));
        self
    }
}

/// The longest gap between the events of a stream that the route allows, and the engines that must keep to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GapLimit {
    pub(crate) engine: EngineProfile,
    pub(crate) gap_ms: u64,
    /// Maximum number of requests at one endpoint for which gaps stay within the limit at the usual pace.
    pub(crate) max_batch: u32,
}

/// Number of endpoints that a request was sent to, shared by its concurrent attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptCount(Arc<AtomicU32>);

impl AttemptCount {
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a request that is sent.
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back a request that an endpoint has not run and that does not count as an attempt.
    pub(crate) fn take_back(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the cost of a request is estimated from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostBasis {
    pub(crate) engine: EngineProfile,
    pub(crate) profile: CostProfile,
    pub(crate) usage: TokenUsage,
    pub(crate) hint: Option<LengthHint>,
}

impl CostBasis {
    /// Estimates the cost of the part of the request that is not done.
    pub(crate) fn estimate(&self, events_received: u64, answer: &AnswerEstimate) -> RequestCost {
        let facts = RequestFacts { usage: self.usage, hint: self.hint, events_received };
        estimate_cost(&self.engine, &self.profile, &facts, answer)
    }

    /// Cost of a request of which nothing is known.
    pub(crate) fn typical(&self) -> RequestCost {
        RequestCost::typical(&self.engine, &self.profile)
    }
}

/// Stage in which the whole request has been read and is within its limits. Nothing has been sent for its next
/// attempt.
pub(crate) struct Admitted {
    pub(crate) route: Route,
    pub(crate) service: TargetName,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Priority of the request, 0 to 9; 0 is served first.
    pub(crate) priority: u8,
    /// The priorities of requests to the service, if its endpoints are engines and there is more than one.
    pub(crate) priorities: Option<PriorityRange>,
    /// Regions that the workspace allows, or `None` for all.
    pub(crate) workspace_regions: Option<Arc<[RegionName]>>,
    /// Whether the caller's key is removed before forwarding, because it identifies a workspace.
    pub(crate) strips_key: bool,
    pub(crate) body: Bytes,
    /// Recognizes the request when its caller sends it again.
    pub(crate) fingerprint: Fingerprint,
    /// Fingerprints of the prompt parts that other requests may share.
    pub(crate) prompt_parts: Arc<[Fingerprint]>,
    /// The trials that the request runs, because it or some of its prompt parts are suspects.
    pub(crate) trials: Vec<Trial>,
    /// How the cost of the request is estimated, if its engines and its token counts allow it.
    pub(crate) cost_basis: Option<CostBasis>,
    /// Limit of the event gaps, if the route has one and its endpoints are engines.
    pub(crate) gap_limit: Option<GapLimit>,
    /// Time without a response after which the answer counts as lost, in milliseconds, if the service is a plain one.
    pub(crate) lost_answer_ms: Option<u64>,
    /// Time by which the caller must have the whole response.
    pub(crate) deadline: Timestamp,
    /// Number of endpoints that the request was sent to.
    pub(crate) attempts: AttemptCount,
    /// Number of times that another endpoint answered at the address. These do not count as attempts.
    pub(crate) misdirected: u32,
    /// Ranks that refused the request while their whole group refused, once per refusal. These do not count as
    /// attempts.
    pub(crate) refused_by: Vec<InstanceId>,
    /// Endpoints that failed or refused the request, or could not be reached.
    pub(crate) avoid: Vec<InstanceId>,
    /// Identifier of the last event that the caller has.
    pub(crate) last_event_id: Option<u64>,
    /// Set once an attempt may have run. From then on the request cannot be reported as not run.
    pub(crate) may_have_run: Option<UnknownCode>,
    /// Why the last selection found no endpoint.
    pub(crate) no_endpoint_code: NotRunCode,
    /// When the caller may come back if no endpoint has run the request, in milliseconds.
    pub(crate) retry_after_ms: u64,
    /// The last unsuccessful response of an endpoint, and whether the endpoint states that it has not run the
    /// request.
    pub(crate) last_response: Option<(BufferedResponse, bool)>,
}

impl Admitted {
    /// Ends a request for which no further attempt is made: with the response of an endpoint, or with a refusal
    /// that states whether the request may have run.
    pub(crate) fn conclude(self, state: &GatewayState) -> Result<BufferedResponse, RequestError> {
        match (self.last_response, self.may_have_run) {
            // An error response of an endpoint is passed on whatever the earlier attempts did.
            (Some((response, false)), _) => Ok(response),
            (Some((response, true)), None) => Ok(response.with_retry_after(self.retry_after_ms)),
            (_, Some(code)) => Err(RequestError::Unknown(UnknownOutcome { code, key: None })),
            (None, None) if state.clock.now() >= self.deadline => {
                Err(RequestError::not_run(NotRunCode::DeadlineUnreachable, self.retry_after_ms))
            }
            (None, None) => Err(RequestError::not_run(self.no_endpoint_code, self.retry_after_ms)),
        }
    }

    /// The regions in which the request may be served.
    pub(crate) fn allowed_regions(&self) -> AllowedRegions<'_> {
        AllowedRegions {
            route: self.route.allowed_regions.as_deref(),
            workspace: self.workspace_regions.as_deref(),
        }
    }

    /// Estimates the cost of what is left of the request, if it has token counts and its engines a cost profile.
    pub(crate) fn estimate_cost(
        &self,
        state: &GatewayState,
        now: Timestamp,
    ) -> Option<RequestCost> {
        let basis = self.cost_basis.as_ref()?;
        let typical_tokens = basis.profile.typical_answer_tokens;
        let workspace = self.workspace.as_ref();
        let work = &state.loads.work;
        let answer = work.answer_estimate(&self.route.name, workspace, typical_tokens, now);
        Some(basis.estimate(self.last_event_id.unwrap_or(0), &answer))
    }

    /// The fingerprints by which the request may be recognized at a crash.
    pub(crate) fn fingerprints(&self) -> Vec<Fingerprint> {
        [&[self.fingerprint], &*self.prompt_parts].concat()
    }

    /// Whether another endpoint may be asked while one is silent. A suspect is tried in one place at a time.
    pub(crate) fn may_race(&self) -> bool {
        self.may_fail_over() && self.trials.is_empty()
    }

    /// Whether the request may move to another endpoint: it may run twice, and an attempt is left.
    pub(crate) fn may_fail_over(&self) -> bool {
        self.may_repeat() && self.attempts.get() < self.route.max_attempts
    }

    /// The request for an attempt at another endpoint, while the attempt at `endpoint` may go on.
    pub(crate) fn split_retry(&mut self, endpoint: &InstanceId) -> Self {
        let mut retry = Self {
            route: self.route.clone(),
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            workspace_regions: self.workspace_regions.clone(),
            body: self.body.clone(),
            avoid: self.avoid.clone(),
            refused_by: self.refused_by.clone(),
            prompt_parts: Arc::clone(&self.prompt_parts),
            trials: std::mem::take(&mut self.trials),
            attempts: self.attempts.clone(),
            // Whether the attempt at `endpoint` has run is known only when it ends.
            may_have_run: self.may_have_run,
            last_response: None,
            ..*self
        };
        retry.avoid_endpoint(endpoint);
        retry
    }

    /// Keeps further attempts from an endpoint. It is in the list once, whose length is compared with the number of
    /// endpoints.
    pub(crate) fn avoid_endpoint(&mut self, endpoint: &InstanceId) {
        if !self.avoid.contains(endpoint) {
            self.avoid.push(endpoint.clone());
        }
    }

    /// Takes over what an attempt at another endpoint has found out, which has ended without a response.
    pub(crate) fn rejoin(&mut self, retry: Self) {
        for endpoint in &retry.avoid {
            self.avoid_endpoint(endpoint);
        }
        self.refused_by = retry.refused_by;
        self.misdirected = self.misdirected.max(retry.misdirected);
        self.trials.extend(retry.trials);
        self.may_have_run = self.may_have_run.or(retry.may_have_run);
        if let Some((response, is_refusal)) = retry.last_response {
            self.keep_response(response, is_refusal);
        }
    }

    /// Keeps a response for the caller if no further attempt has another one. A refusal does not replace an error, since
    /// the endpoint that sent the error has run the request.
    pub(crate) fn keep_response(&mut self, response: BufferedResponse, is_refusal: bool) {
        let has_error = matches!(self.last_response, Some((_, false)));
        if !(is_refusal && has_error) {
            self.last_response = Some((response, is_refusal));
        }
    }

    /// Whether another endpoint may get the request after one that may already have run it.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.may_repeat()
    }
}

/// Stage in which an endpoint is chosen and nothing has been sent to it.
pub(crate) struct Selected {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) attempt: Attempt<Planned>,
    pub(crate) in_flight: InFlightGuard,
}

/// Stage in which the head of an endpoint's response has arrived.
pub(crate) struct Responded {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: Arc<EndpointEntry>,
    pub(crate) attempt: Attempt<Dispatched>,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) response: Box<UpstreamResponse>,
}

impl<'r> Exchange<'r, Received<'r>> {
    pub(crate) fn receive(
        head: &'r Arc<RequestHead>,
        view: &'r View,
        phase: Phase,
        now: Timestamp,
    ) -> Result<Self, RequestError> {
        if phase == Phase::Refusing {
            return Err(RequestError::not_run(NotRunCode::Draining, 0));
        }
        let routes = view.routes.as_deref().ok_or_else(|| {
            RequestError::not_run(
                NotRunCode::NoDocument,
                come_back_ms(RefusalCause::Starting, rand::random()),
            )
        })?;
        Ok(Self { head, view, now, stage: Received { routes } })
    }
}
