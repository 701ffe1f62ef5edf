//! The admission controller: token buckets of workspaces, load of targets and the retry budget.

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
use crate::controllers::tail::{TailRead, TailStep, contradicts, tail};
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

/// The stream that carries the demand of all entries.
const DEMAND: &str = "demand";
/// Less is not worth an append; the floor of a share covers it.
const LEAST_DEMAND_PER_S: f64 = 0.1;

/// A request that asks for admission.
pub(crate) struct Offer {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) kinds: Vec<EndpointKindName>,
    pub(crate) priority: u8,
    pub(crate) first_sent: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) is_caller_retry: bool,
}

/// The end of an admitted request.
pub(crate) struct EndOfRequest {
    pub(crate) workspace: WorkspaceName,
    pub(crate) target: TargetName,
    pub(crate) admitted: AdmissionDecision,
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
    pub(crate) document: Arc<ArcSwapOption<CurrentDocument>>,
    pub(crate) endpoints: Arc<ArcSwap<EndpointTable>>,
    pub(crate) members: Arc<ArcSwap<Members>>,
}

/// Owns what one entry keeps about limits, admission and retries.
#[derive(Actor)]
pub(crate) struct AdmissionController {
    policy: AdmissionPolicy,
    retry_policy: RetryPolicy,
    share_policy: SharePolicy,
    buckets: HashMap<WorkspaceName, TokenBucket>,
    offered: HashMap<WorkspaceName, DemandMeter>,
    demand: DemandTable,
    next_report: Offset,
    seen_end: Offset,
    targets: HashMap<TargetName, AdmissionState>,
    budget: RetryBudget,
    version: Option<Offset>,
    config: AdmissionConfig,
}

/// What the controller is started with.
pub(crate) struct AdmissionConfig {
    pub(crate) views: AdmissionViews,
    pub(crate) log: LogClient,
    pub(crate) timing: Timing,
    pub(crate) admission: AdmissionPolicy,
    pub(crate) retries: RetryPolicy,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) metrics: Arc<Metrics>,
}

/// Time to report the demand of this entry.
struct ReportTick;

impl AdmissionController {
    /// Starts the controller, its reader and its reports on the present runtime.
    pub(crate) fn start(config: AdmissionConfig) -> ActorRef<Self> {
        let retry_policy = config.retries;
        let (log, timing) = (config.log.clone(), config.timing);
        // A share outlasts one lost report.
        let grant_ms = 3 * timing.demand_report_ms;
        let controller = Self {
            policy: config.admission,
            budget: RetryBudget::full(&retry_policy),
            retry_policy,
            share_policy: SharePolicy { grant_ms, ..SharePolicy::default() },
            buckets: HashMap::new(),
            offered: HashMap::new(),
            demand: DemandTable::default(),
            next_report: Offset(0),
            seen_end: Offset(0),
            targets: HashMap::new(),
            version: None,
            config,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, DEMAND, actor.clone(), timing));
        tokio::spawn(tick(actor.clone(), timing.demand_report_ms));
        actor
    }

    /// Appends what callers offer. An entry without callers stays silent and takes no share.
    fn report_demand(&mut self) {
        let now = self.config.clock.now();
        let offered: BTreeMap<WorkspaceName, f64> = self
            .offered
            .iter()
            .map(|(workspace, meter)| (workspace.clone(), meter.per_s(now)))
            .filter(|(_, per_s)| *per_s >= LEAST_DEMAND_PER_S)
            .collect();
        self.offered.retain(|workspace, _| offered.contains_key(workspace));
        if offered.is_empty() {
            return;
        }
        let payload = DemandReport::new(self.config.incarnation, offered).to_json();
        let log = self.config.log.clone();
        // A lost report is made good by the next one.
        tokio::spawn(async move { log.append(DEMAND, payload).await });
    }

    fn fold_demand(&mut self, page: &LogPage) -> TailStep {
        if contradicts(page, self.seen_end, self.next_report) {
            self.config.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.next_report);
        }
        self.seen_end = page.end_offset;
        let now = self.config.clock.now();
        for record in &page.records {
            // What was appended before this process started says nothing of the present.
            if now.ms_since(record.appended) < self.share_policy.grant_ms {
                self.demand.apply(&record.payload, self.share_policy.grant_ms, now);
            }
            self.next_report = record.offset.next();
        }
        self.next_report = self.next_report.max(page.first_offset);
        TailStep::Continue(self.next_report)
    }

    /// The rate that this entry may use for a workspace now.
    fn rate(&self, workspace: &Workspace, entries: u32, now: Timestamp) -> RateLimit {
        let (policy, own) = (&self.share_policy, self.config.incarnation);
        let limit_per_s = workspace.rate_per_s;
        let grant = self.demand.share(policy, &workspace.name, limit_per_s, own, now);
        entry_rate(workspace, grant.as_ref(), entries, now)
    }

    fn offer(&mut self, offer: &Offer) -> Result<AdmissionDecision, NotRun> {
        let now = self.config.clock.now();
        let no_document = NotRun { code: NotRunCode::NoDocument, retry_after_ms: 1_000 };
        let document = self.config.views.document.load_full().ok_or(no_document)?;
        self.forget_removed(&document);
        let workspace = document
            .document
            .workspaces
            .iter()
            .find(|workspace| workspace.name == offer.workspace)
            .ok_or(no_document)?;
        self.budget.on_request(&self.retry_policy, offer.is_caller_retry);
        let entries = self.entries();
        self.acquire_token(workspace, entries, now)?;
        let load = self.target_load(&offer.kinds, entries, now);
        let admission = self.targets.entry(offer.target.clone()).or_default();
        admission.on_offered(&self.policy, &load, now);
        self.config.metrics.brownout.set(admission.brownout() as i64);
        let request = AdmissionRequest {
            workspace,
            mean_weight: mean_weight(&document.document),
            priority: offer.priority,
            first_sent: offer.first_sent,
            deadline: offer.deadline,
        };
        let random = rand::random();
        let admitted = admit(&self.policy, admission, &load, &request, now, random);
        match admitted {
            Ok(_) => admission.on_admitted(&offer.workspace, now),
            Err(_) => self.refund(workspace, entries, now),
        }
        admitted
    }

    fn acquire_token(
        &mut self,
        workspace: &Workspace,
        entries: u32,
        now: Timestamp,
    ) -> Result<(), NotRun> {
        self.offered.entry(workspace.name.clone()).or_default().on_request(now);
        let rate = self.rate(workspace, entries, now);
        let bucket = self
            .buckets
            .entry(workspace.name.clone())
            .or_insert_with(|| TokenBucket::full(rate, now));
        bucket
            .try_acquire(rate, now)
            .map_err(|retry_after_ms| NotRun { code: NotRunCode::OverLimit, retry_after_ms })
    }

    fn refund(&mut self, workspace: &Workspace, entries: u32, now: Timestamp) {
        let rate = self.rate(workspace, entries, now);
        if let Some(bucket) = self.buckets.get_mut(&workspace.name) {
            bucket.refund(rate);
        }
    }

    /// Forgets buckets and targets that a new document no longer has.
    fn forget_removed(&mut self, document: &CurrentDocument) {
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
        let live = self.config.views.members.load().live_entries().count();
        u32::try_from(live).unwrap_or(u32::MAX).max(1)
    }

    fn target_load(&self, kinds: &[EndpointKindName], entries: u32, now: Timestamp) -> TargetLoad {
        let table = self.config.views.endpoints.load();
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

impl Message<Offer> for AdmissionController {
    type Reply = Result<AdmissionDecision, NotRun>;

    async fn handle(&mut self, offer: Offer, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.offer(&offer)
    }
}

impl Message<EndOfRequest> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, end: EndOfRequest, _: &mut Context<Self, ()>) {
        let now = self.config.clock.now();
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
        let wait = self.budget.try_retry(&self.retry_policy, attempts, left_ms, rand::random())?;
        self.config.metrics.retries.inc();
        Some(wait)
    }
}

impl Message<TailRead> for AdmissionController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        if let Some(page) = read.page {
            return self.fold_demand(&page);
        }
        self.config.metrics.log_errors.inc();
        TailStep::Retry(self.next_report)
    }
}

impl Message<ReportTick> for AdmissionController {
    type Reply = ();

    async fn handle(&mut self, _: ReportTick, _: &mut Context<Self, ()>) {
        self.report_demand();
    }
}

async fn tick(actor: ActorRef<AdmissionController>, interval_ms: u64) {
    let mut ticks = interval(Duration::from_millis(interval_ms));
    loop {
        ticks.tick().await;
        if actor.tell(ReportTick).try_send().is_err() {
            return;
        }
    }
}
