//! Which fault strikes what and when: a pure function of the seed and the length.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use stand_ins::faults::Outage;

/// Entries, model endpoints and plain services of the deployment.
pub(crate) const ENTRIES: usize = 4;
pub(crate) const ENGINES: usize = 6;
pub(crate) const SERVICES: usize = 2;

/// Without faults at the start.
const WARM_UP_MS: u64 = 1_500;
/// Without faults at the end, so that callers see the system recover.
const RECOVERY_MS: u64 = 3_000;
/// The longest pause: three silence periods.
const MAX_FREEZE_MS: u64 = 3_000;

/// A process of ours and what stands beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Entry(usize),
    Engine(usize),
    Service(usize),
}

/// Connections that go silent together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connections {
    /// Of all entries to one endpoint daemon.
    Endpoint(Target),
    Log,
    List,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// SIGKILL.
    Kill(Target),
    /// A new process in the place of a killed one.
    Start(Target),
    /// The instance list learns of new processes.
    Announce,
    Freeze(Target),
    Resume(Target),
    /// SIGTERM, with a new instance in its place.
    Replace(Target),
    Silence(Connections),
    CrashBackend(Target),
    RestartBackend(Target),
    /// Engine streams break before the token of this index.
    CutStreams(usize, Option<u64>),
    /// Engine streams send no token from this index on.
    StallStreams(usize, Option<u64>),
    LogOutage(Outage),
    LogStall(bool),
    LogDelay(u64),
    LoseLogReplies(u64),
    ListOutage(Outage),
    ListLag(u64),
    /// A caller sends a request that crashes each engine that runs it.
    CrashingRequest,
    /// Publications on the same base race.
    Publish,
}

/// One step of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) at_ms: u64,
    pub(crate) action: Action,
}

/// Which processes a sequence of faults strikes. Each of the two sequences has its own processes and
/// platform parts, so that overlapping faults never undo each other.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lane {
    Even,
    Odd,
}

/// Racing publications at random times. They harm no process, so they run beside the faults.
fn publications(seed: u64, until_ms: u64) -> Vec<Event> {
    // A sequence of its own leaves the faults of a seed as they are without publications.
    let mut rng = StdRng::seed_from_u64(!seed);
    let mut events = Vec::new();
    let mut at_ms = WARM_UP_MS;
    while at_ms < until_ms {
        events.push(Event { at_ms, action: Action::Publish });
        at_ms += rng.random_range(500..2_500);
    }
    events
}

/// The events in the order of time. Two faults overlap at most.
pub(crate) fn schedule(seed: u64, length_ms: u64) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let until_ms = length_ms.saturating_sub(RECOVERY_MS);
    let mut events = publications(seed, until_ms);
    for lane in [Lane::Even, Lane::Odd] {
        let mut at_ms = WARM_UP_MS + rng.random_range(0..500);
        loop {
            let fault = fault(&mut rng, lane);
            let lasts_ms = fault.last().map_or(0, |event| event.at_ms);
            if at_ms + lasts_ms > until_ms {
                break;
            }
            events.extend(fault.iter().map(|e| Event { at_ms: at_ms + e.at_ms, ..*e }));
            at_ms += lasts_ms + rng.random_range(100..900);
        }
    }
    events.sort_by_key(|event| event.at_ms);
    events
}

/// One fault; times are from its start.
fn fault(rng: &mut StdRng, lane: Lane) -> Vec<Event> {
    let first = usize::from(lane == Lane::Odd);
    let index = |rng: &mut StdRng, all: usize| first + 2 * rng.random_range(0..all / 2);
    let engine = index(rng, ENGINES);
    let endpoint = match rng.random_range(0..3) {
        0 => Target::Service(index(rng, SERVICES)),
        _ => Target::Engine(engine),
    };
    let process = match rng.random_range(0..2) {
        0 => Target::Entry(index(rng, ENTRIES)),
        _ => endpoint,
    };
    let length_ms = rng.random_range(200..2_000);
    let late_ms = length_ms + rng.random_range(0..1_500);
    let token = rng.random_range(0..30);
    let outage = if rng.random_bool(0.5) { Outage::Unavailable } else { Outage::Dropped };
    let connections = match (rng.random_range(0..4), lane) {
        (0, Lane::Even) => Connections::Log,
        (0, Lane::Odd) => Connections::List,
        _ => Connections::Endpoint(endpoint),
    };
    let pair = |start, end| vec![(0, start), (length_ms, end)];
    let steps = match (rng.random_range(0..11), lane) {
        (0 | 1, _) => {
            let start = (length_ms, Action::Start(process));
            vec![(0, Action::Kill(process)), start, (late_ms, Action::Announce)]
        }
        (2, _) => {
            let resume_ms = rng.random_range(200..MAX_FREEZE_MS);
            vec![(0, Action::Freeze(process)), (resume_ms, Action::Resume(process))]
        }
        (3, _) => vec![(0, Action::Replace(process)), (late_ms, Action::Announce)],
        (4, _) => vec![(0, Action::Silence(connections))],
        (5, _) => pair(Action::CrashBackend(endpoint), Action::RestartBackend(endpoint)),
        (6, _) => pair(Action::CutStreams(engine, Some(token)), Action::CutStreams(engine, None)),
        (7, _) => {
            pair(Action::StallStreams(engine, Some(token)), Action::StallStreams(engine, None))
        }
        (8, Lane::Even) => pair(Action::LogOutage(outage), Action::LogOutage(Outage::None)),
        (8, Lane::Odd) => pair(Action::LogDelay(length_ms / 2), Action::LogDelay(0)),
        (9, Lane::Even) => pair(Action::LogStall(true), Action::LogStall(false)),
        (9, Lane::Odd) if rng.random_bool(0.5) => {
            pair(Action::ListOutage(outage), Action::ListOutage(Outage::None))
        }
        (9, Lane::Odd) => pair(Action::ListLag(late_ms), Action::ListLag(0)),
        (_, Lane::Even) => vec![(0, Action::CrashingRequest)],
        (_, Lane::Odd) if rng.random_bool(0.5) => vec![(0, Action::Publish)],
        (_, Lane::Odd) => vec![(0, Action::LoseLogReplies(rng.random_range(1..6)))],
    };
    steps.into_iter().map(|(at_ms, action)| Event { at_ms, action }).collect()
}
