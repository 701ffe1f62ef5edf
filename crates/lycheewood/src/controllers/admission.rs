//! The admission controller: token buckets of workspaces, load of targets and the retry budget.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};

use crate::clock::{Clock, Timestamp};
use crate::controllers::document::DocumentInForce;
use crate::controllers::load::EndpointTable;
use crate::controllers::membership::Members;
use crate::decisions::admission::{
    Admission, AdmissionPolicy, AdmissionRequest, Admitted, TargetLoad, admit,
};
use crate::decisions::limits::{TokenBucket, entry_rate};
use crate::decisions::retries::{RetryBudget, RetryPolicy};
use crate::document::checked::{Document, Workspace};
use crate::ids::{EndpointKindName, Offset, TargetName, WorkspaceName};
use crate::metrics::Metrics;
use crate::outcome::{NotRun, NotRunCode};

/// A request that asks for admission.
pub(crate) struct Offer {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) kinds: Vec<EndpointKindName>,
    pub(crate) priority: u8,
    pub(crate) first_asked: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) sent_again: bool,
}

/// The end of an admitted request.
pub(crate) struct EndOfRequest {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) admitted: Admitted,
    pub(crate) elapsed_ms: u64,
    pub(crate) completed: bool,
}

/// Asks for a retry after `attempts` attempts; the reply is the wait before it in milliseconds.
pub(crate) struct TakeRetry {
    pub(crate) target: TargetName,
    pub(crate) attempts: u32,
    pub(crate) left_ms: u64,
}

/// Snapshots that admission reads.
#[derive(Clone)]
pub(crate) struct AdmissionViews {
    pub(crate) document: Arc<ArcSwapOption<DocumentInForce>>,
    pub(crate) endpoints: Arc<ArcSwap<EndpointTable>>,
    pub(crate) members: Arc<ArcSwap<Members>>,
}

/// Owns what one entry keeps about limits, admission and retries.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    policy: AdmissionPolicy,
    retry_policy: RetryPolicy,
    buckets: HashMap<WorkspaceName, TokenBucket>,
    targets: HashMap<TargetName, Admission>,
    budget: RetryBudget,
    version: Option<Offset>,
    views: AdmissionViews,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl AdmissionController {
    /// Starts the controller on the present runtime.
    pub(crate) fn start(
        views: AdmissionViews,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> ActorRef<Self> {
        let retry_policy = RetryPolicy::default();
        let controller = Self {
            policy: AdmissionPolicy::default(),
            budget: RetryBudget::full(&retry_policy),
            retry_policy,
            buckets: HashMap::new(),
            targets: HashMap::new(),
            version: None,
            views,
            clock,
            metrics,
        };
        Self::spawn_with_mailbox(controller, mailbox::unbounded())
    }

    fn offer(&mut self, offer: &Offer) -> Result<Admitted, NotRun> {
        let now = self.clock.now();
        let no_document = NotRun { code: NotRunCode::NoDocument, retry_after_ms: 1_000 };
        let document = self.views.document.load_full().ok_or(no_document)?;
        self.forget_removed(&document);
        let workspace = document
            .document
            .workspaces
            .iter()
            .find(|workspace| workspace.name == offer.workspace)
            .ok_or(no_document)?;
        self.budget.on_request(&self.retry_policy, offer.sent_again);
        let entries = self.entries();
        self.take_token(workspace, entries, now)?;
        let load = self.target_load(&offer.kinds, entries, now);
        let admission = self.targets.entry(offer.target.clone()).or_default();
        admission.on_offered(&self.policy, &load, now);
        self.metrics.brownout.set(admission.brownout() as i64);
        let request = AdmissionRequest {
            workspace,
            mean_weight: mean_weight(&document.document),
            priority: offer.priority,
            first_asked: offer.first_asked,
            deadline: offer.deadline,
        };
        let random = rand::random();
        let admitted = admit(&self.policy, admission, &load, &request, now, random);
        match admitted {
            Ok(_) => admission.on_admitted(&offer.workspace, now),
            Err(_) => self.give_back(workspace, entries, now),
        }
        admitted
    }

    fn take_token(
        &mut self,
        workspace: &Workspace,
        entries: u32,
        now: Timestamp,
    ) -> Result<(), NotRun> {
        let rate = entry_rate(workspace, None, entries, now);
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert_with(|| TokenBucket::full(rate, now));
        bucket
            .take(rate, now)
            .map_err(|retry_after_ms| NotRun { code: NotRunCode::OverLimit, retry_after_ms })
    }

    fn give_back(&mut self, workspace: &Workspace, entries: u32, now: Timestamp) {
        let rate = entry_rate(workspace, None, entries, now);
        if let Some(bucket) = self.buckets.get_mut(&workspace.name) {
            bucket.give_back(rate);
        }
    }

    /// Forgets buckets and targets that a new document no longer has.
    fn forget_removed(&mut self, document: &DocumentInForce) {
        if self.version == Some(document.version) {
            return;
        }
        self.version = Some(document.version);
        let checked = &document.document;
        self.buckets.retain(|name, _| checked.workspaces.iter().any(|w| &w.name == name));
        self.targets.retain(|name, _| {
            checked.model(name.as_str()).is_some() || checked.service(name.as_str()).is_some()
        });
    }

    /// Live entries by the list, this one included.
    fn entries(&self) -> u32 {
        let live = self.views.members.load().live_entries().count();
        u32::try_from(live).unwrap_or(u32::MAX).max(1)
    }

    fn target_load(&self, kinds: &[EndpointKindName], entries: u32, now: Timestamp) -> TargetLoad {
        let table = self.views.endpoints.load();
        let serving = table.endpoints.iter().filter(|endpoint| {
            !endpoint.draining && endpoint.kind.as_ref().is_some_and(|kind| kinds.contains(kind))
        });
        let mut load = TargetLoad { capacity: 0, reported: 0, reported_at: now, entries };
        for endpoint in serving {
            load.capacity += endpoint.load.capacity;
            load.reported += endpoint.load.running + endpoint.load.queued;
            load.reported_at = load.reported_at.min(endpoint.load.reported);
        }
        load
    }
}

fn mean_weight(document: &Document) -> f64 {
    let (sum, count) = document
        .workspaces
        .iter()
        .fold((0.0, 0.0), |(sum, count), w| (sum + f64::from(w.weight), count + 1.0));
    if count > 0.0 { sum / count } else { 1.0 }
}

impl Message<Offer> for AdmissionController {
    type Reply = Result<Admitted, NotRun>;

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.offer(&offer)
    }
}

impl Message<EndOfRequest> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, end: EndOfRequest, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if let Some(admission) = self.targets.get_mut(&end.target) {
            let EndOfRequest { workspace, admitted, elapsed_ms, completed, .. } = &end;
            admission.on_end(workspace, admitted, *elapsed_ms, *completed, now);
        }
    }
}

impl Message<TakeRetry> for AdmissionController {
    type Reply = Option<u64>;

    async fn handle(
        &mut self,
        retry: TakeRetry,
        _: &mut Context<Self, Option<u64>>,
    ) -> Option<u64> {
        let allowed = self.targets.get(&retry.target).is_none_or(|t| t.brownout().allows_retries());
        if !allowed {
            return None;
        }
        let (attempts, left_ms) = (retry.attempts, retry.left_ms);
        let wait = self.budget.take_retry(&self.retry_policy, attempts, left_ms, rand::random())?;
        self.metrics.retries.inc();
        Some(wait)
    }
}
