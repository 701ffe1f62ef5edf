//! The quarantine controller of an entry: tracks requests that are suspected to crash endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::adapters::log::{LogClient, LogPage};
use crate::clock::{Clock, Timestamp};
use crate::controllers::tail::{TailRead, TailStep, is_inconsistent, tail};
use crate::decisions::digest::Fingerprint;
use crate::decisions::quarantine::record::{QuarantineEntry, QuarantineRecord, SuspectReport};
use crate::decisions::quarantine::{QuarantineDecision, QuarantineSettings, QuarantineTable};
use crate::ids::{AttemptId, Offset, VersionName};
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries suspects, trials and clearances.
pub(crate) const QUARANTINE: &str = "quarantine";
/// Maximum duration of a trial.
const MAX_TRIAL_MS: u64 = 600_000;
/// Maximum number of suspects in the table, of about 200 bytes each.
const MAX_SUSPECTS: usize = 10_000;
/// Number of times that one append is tried. After that, only the entries that were connected at the crash have a
/// report, and a trial holds until its deadline.
const MAX_APPENDS: u32 = 10;

/// Appends the report of a crash and retries a failed append. A report that is appended twice counts once.
pub(crate) fn append_suspect_report(log: LogClient, report: SuspectReport, timing: Timing) {
    append_with_retries(log, QuarantineEntry::Suspects(report), timing);
}

/// Appends an entry that has the same effect once or several times, and retries a failed append. The log may have an
/// append that failed.
fn append_with_retries(log: LogClient, entry: QuarantineEntry, timing: Timing) {
    let payload = QuarantineRecord::new(entry).to_json();
    tokio::spawn(async move {
        for _ in 0..MAX_APPENDS {
            if log.append(QUARANTINE, payload.clone()).await.is_ok() {
                return;
            }
            let bound_ms = timing.reconnect_max_ms.max(2);
            sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
        }
    });
}

/// Asks to run a suspect alone. Replies with the latest deadline of its attempt, or with the time until
/// which it is refused.
pub(crate) struct RequestTrial {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: AttemptId,
    pub(crate) version: Option<VersionName>,
    pub(crate) duration_ms: u64,
    pub(crate) reply: oneshot::Sender<Result<Timestamp, Timestamp>>,
}

/// Clears a suspect whose trial has ended with a complete answer.
pub(crate) struct ClearSuspect {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: AttemptId,
}

/// Withdraws a trial whose attempt has not run and never will.
pub(crate) struct WithdrawTrial {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: AttemptId,
}

/// Records the suspects of a crash that an endpoint has reported directly.
pub(crate) struct RecordSuspects(pub(crate) SuspectReport);

struct Waiter {
    fingerprint: Fingerprint,
    version: Option<VersionName>,
    reply: oneshot::Sender<Result<Timestamp, Timestamp>>,
}

/// Owns the table of suspects.
#[derive(Actor)]
pub(crate) struct QuarantineController {
    log: LogClient,
    timing: Timing,
    table: QuarantineTable,
    published: Arc<ArcSwap<QuarantineTable>>,
    waiters: HashMap<AttemptId, Waiter>,
    seen_end: Offset,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl QuarantineController {
    /// Creates an empty table for these settings.
    pub(crate) fn empty_table(timing: &Timing) -> QuarantineTable {
        QuarantineTable::new(QuarantineSettings {
            clock_skew_ms: timing.clock_skew_ms,
            max_trial_ms: MAX_TRIAL_MS,
            max_quarantine_ms: timing.log_retention_ms / 2,
            max_suspects: MAX_SUSPECTS,
        })
    }

    /// Starts the controller and its reader on the current runtime.
    pub(crate) fn start(
        log: LogClient,
        published: Arc<ArcSwap<QuarantineTable>>,
        timing: Timing,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> ActorRef<Self> {
        let controller = Self {
            log: log.clone(),
            timing,
            table: Self::empty_table(&timing),
            published,
            waiters: HashMap::new(),
            seen_end: Offset(0),
            clock,
            metrics,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, QUARANTINE, actor.clone(), timing));
        actor
    }

    fn apply(&mut self, page: &LogPage) -> TailStep {
        if is_inconsistent(page, self.seen_end, self.table.next_offset()) {
            self.metrics.log_end_reversals.inc();
            return TailStep::Retry(self.table.next_offset());
        }
        self.seen_end = page.end_offset;
        for record in &page.records {
            self.table.apply(record.offset, record.appended, &record.payload);
        }
        if !page.records.is_empty() {
            self.decide_waiters();
            self.publish();
        }
        TailStep::Continue(self.table.next_offset().max(page.first_offset))
    }

    fn decide_waiters(&mut self) {
        let now = self.clock.now();
        let waiters = std::mem::take(&mut self.waiters);
        for (attempt, waiter) in waiters {
            let version = waiter.version.as_ref();
            match self.table.decide(&waiter.fingerprint, version, attempt, now) {
                // The trial's own record has not been read yet.
                QuarantineDecision::NeedsTrial => {
                    self.waiters.insert(attempt, waiter);
                }
                QuarantineDecision::RunAlone { latest_deadline } => {
                    let _ = waiter.reply.send(Ok(latest_deadline));
                }
                // Cleared meanwhile, so the attempt is no trial and its deadline needs no other limit.
                QuarantineDecision::Run => {
                    let _ = waiter.reply.send(Ok(now.plus_ms(MAX_TRIAL_MS)));
                }
                QuarantineDecision::RefuseUntil(until) => {
                    let _ = waiter.reply.send(Err(until));
                }
            }
        }
    }

    fn publish(&self) {
        self.metrics.suspects.set(i64::try_from(self.table.len()).unwrap_or(i64::MAX));
        self.published.store(Arc::new(self.table.clone()));
    }

    /// Appends the end of a trial. It names the attempt, so a second copy has no effect. Until the log has it, the
    /// request stays refused until the deadline of its trial.
    fn append_trial_end(&self, entry: QuarantineEntry) {
        append_with_retries(self.log.clone(), entry, self.timing);
    }
}

impl Message<TailRead> for QuarantineController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, _: &mut Context<Self, TailStep>) -> TailStep {
        if let Some(page) = read.page {
            return self.apply(&page);
        }
        self.metrics.log_errors.inc();
        TailStep::Retry(self.table.next_offset())
    }
}

impl Message<RequestTrial> for QuarantineController {
    type Reply = ();

    async fn handle(&mut self, request: RequestTrial, _: &mut Context<Self, ()>) {
        let RequestTrial { fingerprint, attempt, version, duration_ms, reply } = request;
        let trial =
            QuarantineEntry::Trial { fingerprint, attempt, version: version.clone(), duration_ms };
        let (log, payload) = (self.log.clone(), QuarantineRecord::new(trial).to_json());
        // Not retried: a copy that arrives after the request has given up would hold a trial that nobody runs.
        tokio::spawn(async move { log.append(QUARANTINE, payload).await });
        self.waiters.retain(|_, waiter| !waiter.reply.is_closed());
        self.waiters.insert(attempt, Waiter { fingerprint, version, reply });
    }
}

impl Message<ClearSuspect> for QuarantineController {
    type Reply = ();

    async fn handle(&mut self, clear: ClearSuspect, _: &mut Context<Self, ()>) {
        let ClearSuspect { fingerprint, attempt } = clear;
        self.append_trial_end(QuarantineEntry::Cleared { fingerprint, attempt });
    }
}

impl Message<WithdrawTrial> for QuarantineController {
    type Reply = ();

    async fn handle(&mut self, withdraw: WithdrawTrial, _: &mut Context<Self, ()>) {
        let WithdrawTrial { fingerprint, attempt } = withdraw;
        self.append_trial_end(QuarantineEntry::Withdrawn { fingerprint, attempt });
    }
}

impl Message<RecordSuspects> for QuarantineController {
    type Reply = ();

    async fn handle(&mut self, RecordSuspects(report): RecordSuspects, _: &mut Context<Self, ()>) {
        self.metrics.suspects_reported.inc_by(report.fingerprints.len() as u64);
        self.table.add_direct_report(&report, self.clock.now());
        self.publish();
    }
}
