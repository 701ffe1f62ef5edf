//! The admission controller: rate limits of workspaces, admission state of targets and the retry budget.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::time::interval;

use crate::adapters::log::{LogClient, LogPage};
use crate::clock::{Clock, Timestamp};
use crate::controllers::document::CurrentDocument;
use crate::controllers::load::EndpointTable;
use crate::controllers::membership::Members;
use crate::controllers::tail::{TailRead, TailStep, is_inconsistent, tail};
use crate::decisions::admission::{
    AdmissionDecision, AdmissionPolicy, AdmissionRequest, AdmissionState, TargetLoad, admit,
};
use crate::decisions::demand::{DemandReport, DemandTable};
use crate::decisions::limits::{RateLimit, TokenBucket, entry_rate};
use crate::decisions::retries::{RetryBudget, RetryPolicy};
use crate::decisions::shares::{DemandMeter, SharePolicy};
use crate::document::checked::{Document, Workspace};
use crate::ids::{EndpointKindName, Incarnation, Offset, TargetName, WorkspaceName};
use crate::metrics::Metrics;
use crate::outcome::{NotRun, NotRunCode};
use crate::settings::Timing;

/// The log stream to which every entry appends its demand.
const DEMAND_STREAM: &str = "demand";
/// Demand below this is not reported; the floor of a share covers it.
const MIN_DEMAND_PER_S: f64 = 0.1;

/// Requests admission of one request.
pub(crate) struct AdmitRequest {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) kinds: Vec<EndpointKindName>,
    pub(crate) priority: u8,
    pub(crate) first_sent: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) is_caller_retry: bool,
}

/// Reports the end of an admitted request.
pub(crate) struct RequestEnd {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) decision: AdmissionDecision,
    pub(crate) elapsed_ms: u64,
    pub(crate) completed: bool,
}

/// Requests a retry after `attempts` attempts. The reply is the delay before the retry in milliseconds, or
/// `None` if no retry is allowed.
pub(crate) struct AcquireRetry {
    pub(crate) target: TargetName,
    pub(crate) attempts: u32,
    pub(crate) left_ms: u64,
}

/// Snapshots of other controllers that admission reads.
#[derive(Clone)]
pub(crate) struct AdmissionSnapshots {
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) endpoints: Arc<ArcSwap<EndpointTable>>,
    pub(crate) members: Arc<ArcSwap<Members>>,
}

/// Owns the state of one entry for rate limits, admission and retries.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    policy: AdmissionPolicy,
    retry_policy: RetryPolicy,
    share_policy: SharePolicy,
    buckets: HashMap<WorkspaceName, TokenBucket>,
    demand_meters: HashMap<WorkspaceName, DemandMeter>,
    demand: DemandTable,
    next_offset: Offset,
    last_end: Offset,
    targets: HashMap<TargetName, AdmissionState>,
    budget: RetryBudget,
    document_version: Option<Offset>,
    config: AdmissionConfig,
}

/// Configuration and dependencies of the controller.
pub(crate) struct AdmissionConfig {
    pub(crate) snapshots: AdmissionSnapshots,
    pub(crate) log: LogClient,
    pub(crate) timing: Timing,
    pub(crate) admission: AdmissionPolicy,
    pub(crate) retries: RetryPolicy,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
}

/// Triggers a report of the demand at this entry.
struct ReportTick;

impl AdmissionController {
    /// Starts the controller, its stream reader and its report timer on the current Tokio runtime.
    pub(crate) fn start(config: AdmissionConfig) -> ActorRef<Self> {
        let retry_policy = config.retries;
        let (log, timing) = (config.log.clone(), config.timing);
        // A share stays valid when one report is lost.
        let grant_ms = 3 * timing.demand_report_ms;
        let controller = Self {
            policy: config.admission,
            budget: RetryBudget::full(&retry_policy),
            retry_policy,
            share_policy: SharePolicy { grant_ms, ..SharePolicy::default() },
            buckets: HashMap::new(),
            demand_meters: HashMap::new(),
            demand: DemandTable::default(),
            next_offset: Offset(0),
            last_end: Offset(0),
            targets: HashMap::new(),
            document_version: None,
            config,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, DEMAND_STREAM, actor.clone(), timing));
        tokio::spawn(send_report_ticks(actor.clone(), timing.demand_report_ms));
        actor
    }

    /// Appends the rate of offered requests by workspace. An entry without requests reports nothing and uses
    /// no share.
    fn report_demand(&mut self) {
        let now = self.config.clock.now();
        let offered: BTreeMap<WorkspaceName, f64> = self
            .demand_meters
            .iter()
            .map(|(workspace, meter)| (workspace.clone(), meter.per_s(now)))
            .filter(|(_, per_s)| *per_s >= MIN_DEMAND_PER_S)
            .collect();
        self.demand_meters.retain(|workspace, _| offered.contains_key(workspace));
        if offered.is_empty() {
            return;
        }
        let payload = DemandReport::new(self.config.incarnation, offered).to_json();
        let log = self.config.log.clone();
        // A failed append is not retried; the next report replaces it.
        tokio::spawn(async move { log.append(DEMAND_STREAM, payload).await });
    }

    fn apply_demand_page(&mut self, page: &LogPage) -> TailStep {
        if is_inconsistent(page, self.last_end, self.next_offset) {
            self.config.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.next_offset);
        }
        self.last_end = page.end_offset;
        let now = self.config.clock.now();
        for record in &page.records {
            // Skips reports whose grant period has passed, such as old ones read at startup.
            if now.ms_since(record.appended) < self.share_policy.grant_ms {
                self.demand.apply(&record.payload, self.share_policy.grant_ms, now);
            }
            self.next_offset = record.offset.next();
        }
        self.next_offset = self.next_offset.max(page.first_offset);
        TailStep::Continue(self.next_offset)
    }

    /// The part of a workspace's rate limit that this entry may use now.
    fn allowed_rate(&self, workspace: &Workspace, entries: u32, now: Timestamp) -> RateLimit {
        let (policy, incarnation) = (&self.share_policy, self.config.incarnation);
        let limit_per_s = workspace.rate_per_s;
        let grant = self.demand.share(policy, &workspace.name, limit_per_s, incarnation, now);
        entry_rate(workspace, grant.as_ref(), entries, now)
    }

    fn admit_request(&mut self, message: &AdmitRequest) -> Result<AdmissionDecision, NotRun> {
        let now = self.config.clock.now();
        let no_document = NotRun { code: NotRunCode::NoDocument, retry_after_ms: 1_000 };
        let document = self.config.snapshots.document.load_full().ok_or(no_document)?;
        self.remove_unlisted(&document);
        let workspace = document
            .document
            .workspaces
            .iter()
            .find(|workspace| workspace.name == message.workspace)
            .ok_or(no_document)?;
        self.budget.on_request(&self.retry_policy, message.is_caller_retry);
        let entries = self.live_entry_count();
        self.acquire_token(workspace, entries, now)?;
        let load = self.target_load(&message.kinds, entries, now);
        let admission = self.targets.entry(message.target.clone()).or_default();
        admission.on_offered(&self.policy, &load, now);
        self.config.metrics.brownout.set(admission.brownout() as i64);
        let request = AdmissionRequest {
            workspace,
            mean_weight: mean_weight(&document.document),
            priority: message.priority,
            first_sent: message.first_sent,
            deadline: message.deadline,
        };
        let random = rand::random();
        let decision = admit(&self.policy, admission, &load, &request, now, random);
        match decision {
            Ok(_) => admission.on_admitted(&message.workspace, now),
            Err(_) => self.refund_token(workspace, entries, now),
        }
        decision
    }

    fn acquire_token(
        &mut self,
        workspace: &Workspace,
        entries: u32,
        now: Timestamp,
    ) -> Result<(), NotRun> {
        self.demand_meters.entry(workspace.name.clone()).or_default().on_request(now);
        let rate = self.allowed_rate(workspace, entries, now);
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert_with(|| TokenBucket::full(rate, now));
        bucket
            .try_acquire(rate, now)
            .map_err(|retry_after_ms| NotRun { code: NotRunCode::OverLimit, retry_after_ms })
    }

    fn refund_token(&mut self, workspace: &Workspace, entries: u32, now: Timestamp) {
        let rate = self.allowed_rate(workspace, entries, now);
        if let Some(bucket) = self.buckets.get_mut(&workspace.name) {
            bucket.refund(rate);
        }
    }

    /// Removes the state of workspaces and targets that a new document does not contain.
    fn remove_unlisted(&mut self, document: &CurrentDocument) {
        if self.document_version == Some(document.version) {
            return;
        }
        self.document_version = Some(document.version);
        let checked = &document.document;
        self.buckets.retain(|name, _| checked.workspaces.iter().any(|w| &w.name == name));
        self.targets.retain(|name, _| {
            checked.model(name.as_str()).is_some() || checked.service(name.as_str()).is_some()
        });
    }

    /// Number of live entries by the instance list; at least 1, for this entry.
    fn live_entry_count(&self) -> u32 {
        let live = self.config.snapshots.members.load().live_entries().count();
        u32::try_from(live).unwrap_or(u32::MAX).max(1)
    }

    fn target_load(&self, kinds: &[EndpointKindName], entries: u32, now: Timestamp) -> TargetLoad {
        let table = self.config.snapshots.endpoints.load();
        let serving = table.endpoints.iter().filter(|endpoint| {
            !endpoint.draining && endpoint.kind.as_ref().is_some_and(|kind| kinds.contains(kind))
        });
        let mut load = TargetLoad { capacity: 0, reported_requests: 0, reported_at: now, entries };
        for endpoint in serving {
            load.capacity += endpoint.load.capacity;
            load.reported_requests += endpoint.load.running + endpoint.load.queued;
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

impl Message<AdmitRequest> for AdmissionController {
    type Reply = Result<AdmissionDecision, NotRun>;

    async fn handle(
        &mut self,
        message: AdmitRequest,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.admit_request(&message)
    }
}

impl Message<RequestEnd> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, end: RequestEnd, _: &mut Context<Self, ()>) {
        let now = self.config.clock.now();
        if let Some(admission) = self.targets.get_mut(&end.target) {
            let RequestEnd { workspace, decision, elapsed_ms, completed, .. } = &end;
            admission.on_end(workspace, decision, *elapsed_ms, *completed, now);
        }
    }
}

impl Message<AcquireRetry> for AdmissionController {
    type Reply = Option<u64>;

    async fn handle(
        &mut self,
        retry: AcquireRetry,
        _: &mut Context<Self, Option<u64>>,
    ) -> Option<u64> {
        let allowed = self.targets.get(&retry.target).is_none_or(|t| t.brownout().allows_retries());
        if !allowed {
            return None;
        }
        let (attempts, left_ms) = (retry.attempts, retry.left_ms);
        let delay_ms =
            self.budget.try_retry(&self.retry_policy, attempts, left_ms, rand::random())?;
        self.config.metrics.retries.inc();
        Some(delay_ms)
    }
}

impl Message<TailRead> for AdmissionController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        if let Some(page) = read.page {
            return self.apply_demand_page(&page);
        }
        self.config.metrics.log_errors.inc();
        TailStep::Retry(self.next_offset)
    }
}

impl Message<ReportTick> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, _: ReportTick, _: &mut Context<Self, ()>) {
        self.report_demand();
    }
}

async fn send_report_ticks(actor: ActorRef<AdmissionController>, interval_ms: u64) {
    let mut ticks = interval(Duration::from_millis(interval_ms));
    loop {
        ticks.tick().await;
        if actor.tell(ReportTick).try_send().is_err() {
            return;
        }
    }
}
