//! The claims controller: applies the log stream `claims` and appends the claims of this entry.
//!
//! Claims that arrive during an append are batched into the next one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::adapters::http::HttpError;
use crate::adapters::log::{LogClient, LogPage};
use crate::controllers::tail::{TailRead, TailStep, is_inconsistent, tail};
use crate::decisions::claims::record::{ClaimBatch, ClaimEntry, ClaimKey, ClaimPosition};
use crate::decisions::claims::{ClaimHolder, ClaimSettings, ClaimTable, KeyState};
use crate::decisions::digest::Fingerprint;
use crate::ids::{AttemptId, Offset};
use crate::lifecycle::claim::{
    AbandonedClaim, Claim, ClaimResolution, DenialReason, Granted, Sent, Unsent,
};
use crate::metrics::Metrics;
use crate::settings::Timing;

/// The stream that carries claims.
pub(crate) const CLAIMS: &str = "claims";
/// Maximum number of entries in one append, of about 300 bytes each.
const MAX_BATCH: usize = 1_000;
/// Maximum number of keys in the table, of about 200 bytes each.
const MAX_KEYS: usize = 500_000;

/// Derives the settings of claims from the daemon's.
pub(crate) fn claim_settings(timing: &Timing) -> ClaimSettings {
    ClaimSettings {
        key_window_ms: timing.key_window_ms,
        clock_skew_ms: timing.clock_skew_ms,
        max_keys: MAX_KEYS,
    }
}

/// Why a claim was not granted.
#[derive(Debug)]
pub(crate) enum AcquireError {
    /// The log was read, and the claim does not hold its key.
    Denied(DenialReason),
    /// The log was not read as far as the claim within the wait. The claim is released if it appears later.
    TimedOut,
}

type Reply = oneshot::Sender<Result<Claim<Granted>, AcquireError>>;

/// Appends a claim. Replies when its place in the log has decided it, or after `wait_ms`.
pub(crate) struct AcquireClaim {
    pub(crate) claim: Claim<Unsent>,
    pub(crate) wait_ms: u64,
    pub(crate) reply: Reply,
}

/// Releases a claim whose attempt was not dispatched.
pub(crate) struct ReleaseClaim(pub(crate) AbandonedClaim);

/// Frees the key of a dispatched attempt, which the endpoint proved not to have run.
pub(crate) struct FreeKey {
    pub(crate) key: ClaimKey,
    pub(crate) attempt: AttemptId,
}

/// Appends the entry that frees a key, after the endpoint has promised never to run the holder's attempt.
pub(crate) struct AppendRecovered {
    pub(crate) entry: ClaimEntry,
}

/// Looks up the state of a key in the table.
pub(crate) struct LookUpKey {
    pub(crate) key: ClaimKey,
    /// The request to compare with the holder's; `None` looks for the holder only.
    pub(crate) fingerprint: Option<Fingerprint>,
}

/// The state of a key in the table.
#[derive(Debug, kameo::Reply)]
pub(crate) enum KeyLookup {
    Free,
    Held(ClaimHolder),
    DifferentRequest,
    KeyExpired,
    /// The stream has not been read to its end, so the state is unknown.
    StreamNotRead,
}

struct AppendResult {
    batch: Vec<ClaimEntry>,
    result: Result<Offset, HttpError>,
}

struct RetryAppend;

struct WaitExpired(AttemptId);

struct Waiter {
    claim: Claim<Sent>,
    reply: Reply,
}

/// Owns the table of claims and the undecided claims of this entry.
#[derive(Actor)]
pub(crate) struct ClaimsController {
    log: LogClient,
    table: ClaimTable,
    read_to_end: bool,
    /// Whether the empty batch of [`Self::append_marker_if_expired`] was appended.
    marker_appended: bool,
    seen_end: Offset,
    waiters: HashMap<AttemptId, Waiter>,
    abandoned: Vec<AbandonedClaim>,
    pending: Vec<ClaimEntry>,
    appending: bool,
    append_failures: u32,
    timing: Timing,
    metrics: Arc<Metrics>,
}

impl ClaimsController {
    /// Starts the controller and its reader on the current runtime.
    pub(crate) fn start(log: LogClient, timing: Timing, metrics: Arc<Metrics>) -> ActorRef<Self> {
        let controller = Self {
            log: log.clone(),
            table: ClaimTable::new(claim_settings(&timing)),
            read_to_end: false,
            marker_appended: false,
            seen_end: Offset(0),
            waiters: HashMap::new(),
            abandoned: Vec::new(),
            pending: Vec::new(),
            appending: false,
            append_failures: 0,
            timing,
            metrics,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(tail(log, CLAIMS, actor.clone(), timing));
        actor
    }

    fn enqueue(&mut self, entry: ClaimEntry, actor: &ActorRef<Self>) {
        self.pending.push(entry);
        self.append_next(actor);
    }

    /// Starts an append of the pending entries, unless one is in progress.
    fn append_next(&mut self, actor: &ActorRef<Self>) {
        if self.appending || self.pending.is_empty() {
            return;
        }
        self.appending = true;
        let count = self.pending.len().min(MAX_BATCH);
        let batch: Vec<ClaimEntry> = self.pending.drain(..count).collect();
        let (log, actor) = (self.log.clone(), actor.clone());
        tokio::spawn(async move {
            let payload = ClaimBatch::new(batch.clone()).to_json();
            let result = log.append(CLAIMS, payload).await;
            let _ = actor.tell(AppendResult { batch, result }).try_send();
        });
    }

    fn apply_append_result(&mut self, append: AppendResult) {
        self.appending = false;
        self.metrics.claim_appends.inc();
        if let Ok(offset) = append.result {
            for (entry, index) in append.batch.iter().zip(0..) {
                self.set_position(entry, ClaimPosition { offset, index });
            }
            return;
        }
        self.metrics.claim_append_errors.inc();
        let not_sent = append.result.is_err_and(|error| error.is_not_sent());
        // A claim that may be in the log must not be appended a second time: the copy would hold the key
        // again after the first was freed. Its waiter waits for it in the stream until its deadline.
        let retried = append.batch.into_iter().filter(|entry| match entry {
            ClaimEntry::Claim(record) => not_sent && self.waiters.contains_key(&record.attempt),
            _ => true,
        });
        let retried: Vec<ClaimEntry> = retried.collect();
        self.pending.splice(0..0, retried);
    }

    /// Delays the next append with exponential backoff and jitter, so that not all entries append at once
    /// when the log recovers.
    fn append_after_backoff(&mut self, actor: ActorRef<Self>) {
        self.appending = true;
        let backoff_ms = 25_u64 << self.append_failures.min(8);
        let bound_ms = backoff_ms.min(self.timing.reconnect_max_ms).max(2);
        self.append_failures += 1;
        tokio::spawn(async move {
            sleep(Duration::from_millis(rand::random_range(bound_ms / 2..=bound_ms))).await;
            let _ = actor.tell(RetryAppend).try_send();
        });
    }

    fn set_position(&mut self, entry: &ClaimEntry, position: ClaimPosition) {
        let ClaimEntry::Claim(record) = entry else { return };
        if let Some(waiter) = self.waiters.remove(&record.attempt) {
            let claim = waiter.claim.appended(position);
            self.resolve(Waiter { claim, reply: waiter.reply });
        }
    }

    /// Replies to the waiter if its claim is decided; otherwise it keeps waiting.
    fn resolve(&mut self, waiter: Waiter) {
        let Waiter { claim, reply } = waiter;
        let result = match claim.resolve(&self.table) {
            ClaimResolution::Pending(claim) => {
                self.waiters.insert(claim.record().attempt, Waiter { claim, reply });
                return;
            }
            ClaimResolution::Granted(claim) => Ok(claim),
            ClaimResolution::Denied(claim) => {
                let reason = claim.reason().clone();
                self.abandoned.push(claim.abandon());
                Err(AcquireError::Denied(reason))
            }
        };
        if let Err(Ok(claim)) = reply.send(result) {
            self.abandoned.push(claim.abandon());
        }
    }

    fn resolve_all(&mut self, actor: &ActorRef<Self>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters.into_values() {
            self.resolve(waiter);
        }
        self.release_abandoned(actor);
    }

    /// Frees the keys of abandoned claims that have appeared in the log.
    fn release_abandoned(&mut self, actor: &ActorRef<Self>) {
        let table = &self.table;
        let releases: Vec<ClaimEntry> =
            self.abandoned.iter().filter_map(|abandoned| abandoned.release(table)).collect();
        self.abandoned.retain(|abandoned| !abandoned.is_expired(table));
        for release in releases {
            if !self.pending.contains(&release) {
                self.enqueue(release, actor);
            }
        }
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
        let next = self.table.next_offset().max(page.first_offset);
        self.read_to_end = next >= page.end_offset;
        self.append_marker_if_expired();
        TailStep::Continue(next)
    }

    /// Appends an empty batch when all records have expired before this process could read one.
    ///
    /// The claims that it missed may hold any key generated up to twice the clock skew after the first record
    /// that it reads. Without this marker, the first record would be the claim of its first request.
    fn append_marker_if_expired(&mut self) {
        let nothing_read = self.table.next_offset() == Offset(0);
        if self.marker_appended || !nothing_read || self.seen_end == Offset(0) {
            return;
        }
        self.marker_appended = true;
        let (log, payload) = (self.log.clone(), ClaimBatch::new(Vec::new()).to_json());
        // If the append fails, the first claim serves as the marker and is refused as expired.
        tokio::spawn(async move { log.append(CLAIMS, payload).await });
    }

    fn look_up(&self, lookup: &LookUpKey) -> KeyLookup {
        if !self.read_to_end {
            return KeyLookup::StreamNotRead;
        }
        let Some(fingerprint) = &lookup.fingerprint else {
            return self
                .table
                .holder(&lookup.key)
                .cloned()
                .map_or(KeyLookup::Free, KeyLookup::Held);
        };
        match self.table.key_state(&lookup.key, fingerprint) {
            KeyState::Free => KeyLookup::Free,
            KeyState::Held(holder) => KeyLookup::Held(holder.clone()),
            KeyState::DifferentRequest => KeyLookup::DifferentRequest,
            KeyState::KeyExpired => KeyLookup::KeyExpired,
        }
    }
}

impl Message<TailRead> for ClaimsController {
    type Reply = TailStep;

    async fn handle(&mut self, read: TailRead, context: &mut Context<Self, TailStep>) -> TailStep {
        let Some(page) = read.page else {
            self.metrics.log_errors.inc();
            return TailStep::Retry(self.table.next_offset());
        };
        let step = self.apply(&page);
        self.resolve_all(context.actor_ref());
        self.append_next(context.actor_ref());
        step
    }
}

impl Message<AcquireClaim> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, acquire: AcquireClaim, context: &mut Context<Self, ()>) {
        let (entry, claim) = acquire.claim.send();
        let attempt = claim.record().attempt;
        self.waiters.insert(attempt, Waiter { claim, reply: acquire.reply });
        let (actor, wait) = (context.actor_ref().clone(), Duration::from_millis(acquire.wait_ms));
        tokio::spawn(async move {
            sleep(wait).await;
            let _ = actor.tell(WaitExpired(attempt)).try_send();
        });
        self.enqueue(entry, context.actor_ref());
    }
}

impl Message<AppendResult> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, append: AppendResult, context: &mut Context<Self, ()>) {
        let failed = append.result.is_err();
        self.apply_append_result(append);
        if failed {
            self.append_after_backoff(context.actor_ref().clone());
            return;
        }
        self.append_failures = 0;
        self.release_abandoned(context.actor_ref());
        self.append_next(context.actor_ref());
    }
}

impl Message<RetryAppend> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, _: RetryAppend, context: &mut Context<Self, ()>) {
        self.appending = false;
        self.append_next(context.actor_ref());
    }
}

impl Message<WaitExpired> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, WaitExpired(attempt): WaitExpired, context: &mut Context<Self, ()>) {
        let Some(waiter) = self.waiters.remove(&attempt) else { return };
        self.abandoned.push(waiter.claim.abandon());
        let _ = waiter.reply.send(Err(AcquireError::TimedOut));
        self.pending.retain(|entry| !is_claim_of(entry, attempt));
        self.release_abandoned(context.actor_ref());
    }
}

fn is_claim_of(entry: &ClaimEntry, attempt: AttemptId) -> bool {
    matches!(entry, ClaimEntry::Claim(record) if record.attempt == attempt)
}

impl Message<ReleaseClaim> for ClaimsController {
    type Reply = ();

    async fn handle(
        &mut self,
        ReleaseClaim(abandoned): ReleaseClaim,
        context: &mut Context<Self, ()>,
    ) {
        self.abandoned.push(abandoned);
        self.release_abandoned(context.actor_ref());
    }
}

impl Message<FreeKey> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, free_key: FreeKey, context: &mut Context<Self, ()>) {
        let Some(holder) = self.table.holder(&free_key.key) else { return };
        if holder.attempt == free_key.attempt {
            let entry = ClaimEntry::Recovered { key: free_key.key, claim: holder.claim };
            self.enqueue(entry, context.actor_ref());
        }
    }
}

impl Message<AppendRecovered> for ClaimsController {
    type Reply = ();

    async fn handle(&mut self, append: AppendRecovered, context: &mut Context<Self, ()>) {
        self.enqueue(append.entry, context.actor_ref());
    }
}

impl Message<LookUpKey> for ClaimsController {
    type Reply = KeyLookup;

    async fn handle(&mut self, lookup: LookUpKey, _: &mut Context<Self, KeyLookup>) -> KeyLookup {
        self.look_up(&lookup)
    }
}
