//! A request in the filter chain, typed by the stage that it has reached.

use std::sync::Arc;

use crate::adapters::peer::link::Ticket;
use crate::clock::Timestamp;
use crate::controllers::document::CurrentDocument;
use crate::controllers::load::{ConnectedEndpoint, EndpointTable};
use crate::controllers::membership::Members;
use crate::document::checked::Workspace;
use crate::entry_state::EntryState;
use crate::filters::admit::AdmissionGuard;
use crate::filters::request::Request;
use crate::ids::{
    EndpointKindName, InstanceId, RequestKey, TargetName, VersionName, WorkspaceName,
};
use crate::lifecycle::attempt::{Attempt, Planned};
use crate::lifecycle::shutdown::Phase;
use crate::outcome::{NotRun, NotRunCode, RequestError, UnknownCode, UnknownOutcome};
use crate::telemetry::HopSpan;

/// Retry delay sent to a caller while this instance has no document.
const NO_DOCUMENT_RETRY_MS: u64 = 1_000;

/// Immutable snapshots of control state, taken when a request arrives and again for each attempt.
pub(crate) struct View {
    pub(crate) document: Option<Arc<CurrentDocument>>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) members: Arc<Members>,
}

impl View {
    pub(crate) fn load(state: &EntryState) -> Self {
        Self {
            document: state.document.load_full(),
            endpoints: state.endpoints.load_full(),
            members: state.members.load_full(),
        }
    }
}

/// A request in stage `S`, with borrowed views of the request and of control state.
pub(crate) struct Exchange<'r, S> {
    pub(crate) request: &'r Arc<Request>,
    pub(crate) view: &'r View,
    pub(crate) document: &'r CurrentDocument,
    pub(crate) now: Timestamp,
    pub(crate) stage: S,
}

/// The request has been received; its caller is not authenticated.
pub(crate) struct Received;

/// The request has a trace span.
pub(crate) struct Traced {
    pub(crate) span: Arc<HopSpan>,
}

/// The caller is authenticated, and its workspace is known.
pub(crate) struct Authenticated<'r> {
    pub(crate) span: Arc<HopSpan>,
    pub(crate) workspace: &'r Workspace,
}

/// Properties of a request that has been checked against the document.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    /// Endpoint kinds that can run the request.
    pub(crate) kinds: Vec<EndpointKindName>,
    pub(crate) non_idempotent: bool,
    pub(crate) priority: u8,
    pub(crate) deadline: Timestamp,
    pub(crate) fingerprint: [u8; 16],
    /// Span of the request; ends when the last reference is dropped.
    pub(crate) span: Arc<HopSpan>,
}

/// The request is valid for its workspace and target.
pub(crate) struct Classified {
    pub(crate) spec: RequestSpec,
}

/// The request is admitted, and nothing has been sent for its next attempt.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) spec: RequestSpec,
    /// Ends the admission when the last reference is dropped. `None` for a lookup by key.
    pub(crate) admission: Option<Arc<AdmissionGuard>>,
    /// Failed attempts since the last chunk of the answer, or since the request arrived.
    pub(crate) attempts: u32,
    /// Selected model version; once a chunk is sent, no other version may continue the answer.
    pub(crate) version: Option<VersionName>,
    /// Index of the next chunk to send to the caller.
    pub(crate) next_chunk: u64,
    /// Endpoints on which an attempt was not sent, was refused or has failed.
    pub(crate) tried_endpoints: Vec<InstanceId>,
    /// The last refusal for which an endpoint proved that the attempt did not run.
    pub(crate) last_refusal: Option<NotRun>,
    /// Set once an attempt may have run; the request can then no longer end as not run.
    pub(crate) unknown_outcome: Option<UnknownCode>,
}

impl Admitted {
    /// Creates the state of a request before its first attempt.
    pub(crate) fn new(spec: RequestSpec, admission: Option<Arc<AdmissionGuard>>) -> Self {
        Self {
            spec,
            admission,
            attempts: 0,
            version: None,
            next_chunk: 0,
            tried_endpoints: Vec::new(),
            last_refusal: None,
            unknown_outcome: None,
        }
    }

    /// Returns the error for a request that is not attempted again.
    pub(crate) fn refuse(&self, not_run: NotRun, key: Option<RequestKey>) -> RequestError {
        match self.unknown_outcome {
            None => RequestError::NotRun(self.last_refusal.unwrap_or(not_run)),
            Some(code) => RequestError::Unknown(UnknownOutcome { code, key }),
        }
    }
}

/// An endpoint is selected, and nothing has been sent.
pub(crate) struct Routed<'r> {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: &'r ConnectedEndpoint,
    pub(crate) attempt: Attempt<Planned>,
    /// Whether the request is suspected of crashing endpoints and must run alone.
    pub(crate) run_alone: bool,
}

/// The attempt may be sent: the request is idempotent, or its key is claimed for this attempt.
pub(crate) struct Claimed<'r> {
    pub(crate) admitted: Admitted,
    pub(crate) endpoint: &'r ConnectedEndpoint,
    pub(crate) ticket: Ticket,
    pub(crate) run_alone: bool,
}

impl<'r> Exchange<'r, Received> {
    pub(crate) fn receive(
        request: &'r Arc<Request>,
        view: &'r View,
        phase: Phase,
        now: Timestamp,
    ) -> Result<Self, RequestError> {
        if phase == Phase::Refusing {
            return Err(RequestError::not_run(NotRunCode::Draining, 0));
        }
        let document = view
            .document
            .as_deref()
            .ok_or_else(|| RequestError::not_run(NotRunCode::NoDocument, NO_DOCUMENT_RETRY_MS))?;
        Ok(Self { request, view, document, now, stage: Received })
    }
}

impl<'r, S> Exchange<'r, S> {
    /// Moves the exchange to its next stage.
    pub(crate) fn advance<T>(self, next: impl FnOnce(S) -> T) -> Exchange<'r, T> {
        let Self { request, view, document, now, stage } = self;
        Exchange { request, view, document, now, stage: next(stage) }
    }
}

impl<'r> Exchange<'r, Admitted> {
    /// Creates the exchange for the next attempt of an admitted request.
    pub(crate) fn attempt(
        request: &'r Arc<Request>,
        view: &'r View,
        now: Timestamp,
        admitted: Admitted,
    ) -> Result<Self, RequestError> {
        let not_run = NotRun { code: NotRunCode::NoDocument, retry_after_ms: NO_DOCUMENT_RETRY_MS };
        let document =
            view.document.as_deref().ok_or_else(|| admitted.refuse(not_run, request.key))?;
        Ok(Self { request, view, document, now, stage: admitted })
    }

    /// Returns the error for a request that is not attempted again.
    pub(crate) fn refuse(&self, code: NotRunCode, retry_after_ms: u64) -> RequestError {
        self.stage.refuse(NotRun { code, retry_after_ms }, self.request.key)
    }
}
