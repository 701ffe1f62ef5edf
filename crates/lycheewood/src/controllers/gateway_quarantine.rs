//! The quarantine controller of a gateway: tracks requests that are suspected to crash endpoints, and exchanges
//! what it knows with the other gateways directly.
//!
//! It needs neither a log nor the platform, so it also works while the store is down. Nothing is sent while no
//! endpoint crashes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use crate::adapters::gossip;
use crate::clock::Timestamp;
use crate::controllers::quarantine::{RequestTrial, WithdrawTrial};
use crate::decisions::digest::Fingerprint;
use crate::decisions::quarantine::record::{QuarantineEntry, SuspectReport};
use crate::decisions::quarantine::{QuarantineDecision, QuarantineSettings, QuarantineTable};
use crate::gateway::GatewayState;
use crate::ids::Incarnation;

/// Maximum duration of a trial, in milliseconds; a request's own deadline is earlier.
const MAX_TRIAL_MS: u64 = 60_000;
/// Maximum duration of a quarantine, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 600_000;
/// Maximum number of suspects in the table, of about 200 bytes each.
const MAX_SUSPECTS: usize = 10_000;
/// Heartbeat intervals after which an entry is sent once more, because datagrams are occasionally lost.
const REPEATS_AFTER: [u64; 2] = [1, 3];
/// Heartbeat intervals between later copies of an instance's own reports, for instances that were cut off.
const REPEAT_INTERVAL: u64 = 9;
/// Maximum number of entries in a datagram. A report with the most prompt parts has about 2,500 bytes, and a datagram
/// of more than 16 KiB is not read.
const MAX_ENTRIES_PER_DATAGRAM: usize = 6;

/// Reports a crash that this instance has observed. Replies once the report is in force here and has been sent.
pub(crate) struct ReportCrash {
    pub(crate) report: SuspectReport,
    pub(crate) reply: oneshot::Sender<()>,
}

/// Records that an endpoint has completed a suspect.
pub(crate) struct RecordCompletion(pub(crate) Fingerprint);

/// Entries have arrived from another instance.
pub(crate) struct EntriesReceived(pub(crate) Vec<QuarantineEntry>);

/// Sends entries that are due once more, and all reports to instances that have started since.
struct SendRepeats;

/// An entry in force.
struct KeptEntry {
    entry: QuarantineEntry,
    is_own: bool,
    /// Heartbeat intervals since the entry was made.
    age: u64,
}

impl KeptEntry {
    /// Whether another copy is due.
    fn is_due(&self) -> bool {
        let is_report = matches!(self.entry, QuarantineEntry::Suspects(_));
        self.is_own
            && (REPEATS_AFTER.contains(&self.age)
                || is_report && self.age.is_multiple_of(REPEAT_INTERVAL))
    }
}

/// Owns the table of suspects of a gateway.
#[derive(Actor)]
pub(crate) struct GatewayQuarantine {
    state: Arc<GatewayState>,
    table: QuarantineTable,
    published: Arc<ArcSwap<QuarantineTable>>,
    kept: Vec<KeptEntry>,
    /// Processes that have got the reports in force.
    informed: HashSet<(SocketAddr, Incarnation)>,
    socket: Arc<UdpSocket>,
}

impl GatewayQuarantine {
    /// Creates an empty table.
    pub(crate) const fn empty_table() -> QuarantineTable {
        QuarantineTable::new(QuarantineSettings {
            // Every instance applies entries by its own clock.
            clock_skew_ms: 0,
            max_trial_ms: MAX_TRIAL_MS,
            max_quarantine_ms: MAX_QUARANTINE_MS,
            max_suspects: MAX_SUSPECTS,
        })
    }

    /// Starts the controller and its timer on the current runtime.
    pub(crate) fn start(state: &Arc<GatewayState>, socket: Arc<UdpSocket>) -> ActorRef<Self> {
        let controller = Self {
            state: Arc::clone(state),
            table: Self::empty_table(),
            published: Arc::clone(&state.quarantined),
            kept: Vec::new(),
            informed: HashSet::new(),
            socket,
        };
        let actor = Self::spawn_with_mailbox(controller, mailbox::unbounded());
        tokio::spawn(schedule_repeats(actor.clone(), state.settings.heartbeat_ms));
        actor
    }

    /// Applies an entry of this instance and sends it to all others.
    fn apply_own(&mut self, entry: QuarantineEntry, now: Timestamp) {
        self.send(std::slice::from_ref(&entry), &self.peers());
        self.apply(entry, true, now);
    }

    fn apply(&mut self, entry: QuarantineEntry, is_own: bool, now: Timestamp) {
        if !self.table.apply_unordered(entry.clone(), now) {
            return;
        }
        if let QuarantineEntry::Suspects(report) = &entry {
            let SuspectReport { report, fingerprints, prompt_parts, .. } = report;
            log::info!(
                "crash reported own={is_own} report={report} requests={fingerprints:?} prompt_parts={prompt_parts:?}"
            );
        }
        self.kept.push(KeptEntry { entry, is_own, age: 0 });
    }

    /// Tells the others which of the reported suspects this instance knows to be harmless.
    fn refute(&mut self, report: &SuspectReport, now: Timestamp) {
        for fingerprint in report.fingerprints.iter().chain(&report.prompt_parts) {
            if self.state.has_completed(fingerprint) {
                self.apply_own(QuarantineEntry::Completed { fingerprint: *fingerprint }, now);
            }
        }
    }

    fn publish(&self) {
        self.state.metrics.suspects.set(i64::try_from(self.table.len()).unwrap_or(i64::MAX));
        self.published.store(Arc::new(self.table.clone()));
        // Requests that wait may have become suspects, or may run now.
        self.state.quarantine_changed.notify_waiters();
        self.state.waiting_room.wake();
    }

    fn peers(&self) -> Vec<SocketAddr> {
        self.state.peers.load().peers.keys().copied().collect()
    }

    fn send(&self, entries: &[QuarantineEntry], addresses: &[SocketAddr]) {
        for part in entries.chunks(MAX_ENTRIES_PER_DATAGRAM) {
            gossip::send_notice(&self.socket, part, addresses.iter().copied());
        }
    }

    /// Processes that have been heard and have not got the reports yet.
    fn uninformed(&mut self) -> Vec<SocketAddr> {
        let peers = self.state.peers.load();
        let present: HashSet<(SocketAddr, Incarnation)> = peers
            .peers
            .iter()
            .map(|(address, peer)| (*address, peer.heartbeat.incarnation))
            .collect();
        let new = present.difference(&self.informed).map(|(address, _)| *address).collect();
        self.informed = present;
        new
    }
}

/// Whether an entry still matters for what the table says.
fn is_in_force(entry: &QuarantineEntry, table: &QuarantineTable, age: u64) -> bool {
    match entry {
        QuarantineEntry::Suspects(report) => {
            let mut fingerprints = report.fingerprints.iter().chain(&report.prompt_parts);
            fingerprints.any(|fingerprint| table.is_suspect(fingerprint))
        }
        _ => REPEATS_AFTER.last().is_some_and(|last| age <= *last),
    }
}

impl Message<ReportCrash> for GatewayQuarantine {
    type Reply = ();

    async fn handle(&mut self, crash: ReportCrash, _: &mut Context<Self, ()>) {
        let now = self.state.clock.now();
        self.apply_own(QuarantineEntry::Suspects(crash.report), now);
        self.publish();
        let _ = crash.reply.send(());
    }
}

impl Message<RecordCompletion> for GatewayQuarantine {
    type Reply = ();

    async fn handle(
        &mut self,
        RecordCompletion(fingerprint): RecordCompletion,
        _: &mut Context<Self, ()>,
    ) {
        self.apply_own(QuarantineEntry::Completed { fingerprint }, self.state.clock.now());
        self.publish();
    }
}

impl Message<RequestTrial> for GatewayQuarantine {
    type Reply = ();

    async fn handle(&mut self, request: RequestTrial, _: &mut Context<Self, ()>) {
        let RequestTrial { fingerprint, attempt, version, duration_ms, reply } = request;
        let now = self.state.clock.now();
        let trial = version.clone();
        let entry = QuarantineEntry::Trial { fingerprint, attempt, version: trial, duration_ms };
        self.apply_own(entry, now);
        self.publish();
        let decision = self.table.decide(&fingerprint, version.as_ref(), attempt, now);
        let _ = reply.send(match decision {
            QuarantineDecision::Run => Ok(now.plus_ms(MAX_TRIAL_MS)),
            QuarantineDecision::RunAlone { latest_deadline } => Ok(latest_deadline),
            QuarantineDecision::RefuseUntil(until) => Err(until),
            QuarantineDecision::NeedsTrial => Err(now),
        });
    }
}

impl Message<WithdrawTrial> for GatewayQuarantine {
    type Reply = ();

    async fn handle(&mut self, withdraw: WithdrawTrial, _: &mut Context<Self, ()>) {
        let WithdrawTrial { fingerprint, attempt } = withdraw;
        let now = self.state.clock.now();
        self.apply_own(QuarantineEntry::Withdrawn { fingerprint, attempt }, now);
        self.publish();
    }
}

impl Message<EntriesReceived> for GatewayQuarantine {
    type Reply = ();

    async fn handle(
        &mut self,
        EntriesReceived(entries): EntriesReceived,
        _: &mut Context<Self, ()>,
    ) {
        let now = self.state.clock.now();
        for entry in entries {
            self.apply(entry.clone(), false, now);
            if let QuarantineEntry::Suspects(report) = &entry {
                self.refute(report, now);
            }
        }
        self.publish();
    }
}

impl Message<SendRepeats> for GatewayQuarantine {
    type Reply = ();

    async fn handle(&mut self, _: SendRepeats, _: &mut Context<Self, ()>) {
        if self.kept.is_empty() {
            self.informed.clear();
            return;
        }
        let uninformed = self.uninformed();
        for kept in &mut self.kept {
            kept.age += 1;
        }
        let due: Vec<_> =
            self.kept.iter().filter(|k| k.is_due()).map(|k| k.entry.clone()).collect();
        self.send(&due, &self.peers());
        let is_report = |kept: &&KeptEntry| matches!(kept.entry, QuarantineEntry::Suspects(_));
        let reports: Vec<_> = self.kept.iter().filter(is_report).map(|k| k.entry.clone()).collect();
        self.send(&reports, &uninformed);
        // Removes suspects whose time is over, and then the entries that named them.
        self.table.expire_at(self.state.clock.now());
        let table = &self.table;
        self.kept.retain(|kept| is_in_force(&kept.entry, table, kept.age));
        if self.kept.is_empty() {
            self.publish();
        }
    }
}

/// Sends [`SendRepeats`] to the controller at a fixed interval.
async fn schedule_repeats(actor: ActorRef<GatewayQuarantine>, heartbeat_ms: u64) {
    let mut interval = interval(Duration::from_millis(heartbeat_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.tell(SendRepeats).await.is_err() {
            return;
        }
    }
}
