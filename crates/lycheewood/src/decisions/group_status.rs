//! Whether a group, whose ranks wait for each other, serves requests, and how gateways find out with few of them.
//!
//! The list still names a group open while it stalls for a missing rank, so it says nothing to a gateway that has just
//! started.

use crate::clock::Timestamp;
use crate::decisions::digest::digest;
use crate::decisions::endpoint_list::GroupMembership;
use crate::decisions::units::{ceil_ms, float_ms, unit_interval};

/// Shortest time between two probes of one gateway, in milliseconds. A group forms in about 600 ms, and each refused
/// request uses retry budget.
const PROBE_INTERVAL_MS: u64 = 200;
/// Probes that all gateways together send to a group in [`PROBE_INTERVAL_MS`]. With independent phases one of 50
/// intervals has none.
const PROBES_PER_INTERVAL: u64 = 4;
/// Longest time between two probes of one gateway, in milliseconds. Bounds the wait for an own probe if the heartbeats
/// of others arrive and none of them tells that the group serves.
const MAX_PROBE_PERIOD_MS: u64 = 3_000;
/// Age up to which an event shows other gateways that a group serves, in milliseconds. Shorter than the stall after
/// which a group refuses.
pub(crate) const REPORTED_EVENT_MS: u64 = 1_000;
/// Time for which other gateways are told that a closed group serves, in milliseconds. Several heartbeats between failure
/// domains.
const NEWS_MS: u64 = 5_000;
/// Number of heartbeats of a gateway after which it has heard of the groups that serve. Ten seconds of the usual interval.
const STARTING_HEARTBEATS: u64 = 40;
/// Time without an answer after which a refusal shows that the group has stalled until now, in milliseconds. A group
/// that already refuses answers at once.
const STALL_MS: u64 = 250;
/// Shortest time from the end of a stall until the group serves, in milliseconds. Half of the time that groups take to
/// form, so that no request is refused that could have been served.
const MIN_FORMING_MS: u64 = 300;

/// Part of its remaining time that a refused caller waits at most.
const MAX_RETURN_PART: u64 = 3;

/// What a gateway knows of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupAvailability {
    /// Nothing since the group was first listed here.
    Unknown,
    /// It has refused a request, as it does while it forms.
    Refusing {
        /// When it last did.
        refused: Timestamp,
        /// When its stall has ended, if that was seen.
        forming_since: Option<Timestamp>,
    },
    /// It serves.
    Open,
}

/// Whether a request may be sent to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupEntry {
    /// The group serves.
    Open,
    /// The request finds out whether it does.
    Probe,
    /// The request waits, because another one finds out.
    Closed,
}

/// A formation of a group as it is listed. Later ones are greater, and an open one is greater than the same one before
/// all ranks have joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedFormation {
    epoch: u64,
    is_open: bool,
}

impl From<&GroupMembership> for ListedFormation {
    fn from(membership: &GroupMembership) -> Self {
        Self { epoch: membership.epoch, is_open: membership.is_open }
    }
}

/// The status of one group at one gateway.
#[derive(Clone, Copy, Debug)]
pub struct GroupStatus {
    availability: GroupAvailability,
    /// The latest formation that was listed.
    listed: ListedFormation,
    last_probe: Option<Timestamp>,
    next_probe: Timestamp,
    /// When this gateway last received an event from a rank.
    last_event: Option<Timestamp>,
    /// When an event that this gateway received has opened the group.
    opened: Option<Timestamp>,
    /// Whether the group has been open since this gateway started.
    has_served: bool,
}

impl GroupStatus {
    /// The status of a group that is first listed with this formation.
    #[must_use]
    pub fn new(listed: ListedFormation) -> Self {
        let (availability, next_probe) = (GroupAvailability::Unknown, Timestamp::default());
        Self {
            availability,
            listed,
            last_probe: None,
            next_probe,
            last_event: None,
            opened: None,
            has_served: false,
        }
    }

    /// What is known of the group.
    #[must_use]
    pub const fn availability(&self) -> GroupAvailability {
        self.availability
    }

    /// Whether requests other than probes wait.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.availability != GroupAvailability::Open
    }

    /// Whether no request may be sent now.
    #[must_use]
    pub fn is_paused(&self, now: Timestamp) -> bool {
        self.is_closed() && now < self.next_probe
    }

    /// Number of gateways that share the probes. A group that has served may refuse at this gateway alone, for instance
    /// because the rank is full, so no other one probes it.
    const fn sharing(&self, gateways: u32) -> u32 {
        if self.has_served { 1 } else { gateways }
    }

    /// Asks to send a request. `gateways` share the probes after a start.
    pub fn enter(&mut self, gateways: u32, random: u64, now: Timestamp) -> GroupEntry {
        if !self.is_closed() {
            return GroupEntry::Open;
        }
        if self.is_paused(now) {
            return GroupEntry::Closed;
        }
        self.last_probe = Some(now);
        self.next_probe = next_probe(self.sharing(gateways), random, now);
        GroupEntry::Probe
    }

    /// Records that a request could not be sent. That says nothing of the group, so another one may follow at once.
    pub const fn record_unsent(&mut self, now: Timestamp) {
        self.next_probe = now;
    }

    /// Records that the connection of a request has ended without an answer. That says nothing of the group, so another
    /// one follows soon, also with many gateways.
    pub fn record_lost(&mut self, now: Timestamp) {
        self.next_probe = self.next_probe.min(now.plus_ms(PROBE_INTERVAL_MS));
    }

    /// Records an event, or the answer to a request without events. Returns whether this opens the group.
    pub fn record_event(&mut self, now: Timestamp) -> bool {
        self.last_event = Some(now);
        let is_opened = self.open();
        if is_opened {
            self.opened = Some(now);
        }
        is_opened
    }

    /// Records a refusal by a rank of the `listed` formation. Returns whether the group refuses from now on.
    pub fn record_refusal(
        &mut self,
        listed: ListedFormation,
        gateways: u32,
        random: u64,
        now: Timestamp,
    ) -> bool {
        let has_stalled = self.availability == GroupAvailability::Unknown
            && self.last_probe.is_some_and(|sent| now.ms_since(sent) >= STALL_MS);
        let (is_news, forming_since) = match self.availability {
            GroupAvailability::Refusing { forming_since, .. } => (false, forming_since),
            _ => (true, has_stalled.then_some(now)),
        };
        self.availability = GroupAvailability::Refusing { refused: now, forming_since };
        self.listed = self.listed.max(listed);
        self.next_probe = next_probe(self.sharing(gateways), random, now);
        is_news
    }

    /// Records that another gateway received an event at `event`. Returns whether this opens the group.
    pub fn record_reported(&mut self, event: Timestamp, now: Timestamp) -> bool {
        let is_evidence = match self.availability {
            GroupAvailability::Unknown => now.ms_since(event) <= REPORTED_EVENT_MS,
            // An event from before the refusal may be told after it.
            GroupAvailability::Refusing { refused, .. } => event > refused,
            GroupAvailability::Open => false,
        };
        is_evidence && self.open()
    }

    /// Records the latest formation that is listed. Returns whether this opens the group.
    pub fn record_listed(&mut self, listed: ListedFormation) -> bool {
        let is_later = listed > self.listed;
        self.listed = self.listed.max(listed);
        is_later && listed.is_open && self.open()
    }

    fn open(&mut self) -> bool {
        self.has_served = true;
        std::mem::replace(&mut self.availability, GroupAvailability::Open)
            != GroupAvailability::Open
    }

    /// Time since the last event, in milliseconds, if other gateways are told of it: it shows that the group serves, and
    /// a gateway `has_started` lately or this one has opened the group lately.
    #[must_use]
    pub fn reported_age_ms(&self, has_started: bool, now: Timestamp) -> Option<u64> {
        let age_ms = now.ms_since(self.last_event.filter(|_| !self.is_closed())?);
        let is_news = self.opened.is_some_and(|opened| now.ms_since(opened) <= NEWS_MS);
        ((has_started || is_news) && age_ms <= REPORTED_EVENT_MS).then_some(age_ms)
    }

    /// The earliest time at which the group can serve.
    #[must_use]
    pub fn serves_from(&self, now: Timestamp) -> Timestamp {
        match self.availability {
            GroupAvailability::Refusing { forming_since: Some(since), .. } => {
                since.plus_ms(MIN_FORMING_MS).max(now)
            }
            _ => now,
        }
    }
}

/// When a gateway may send its next probe. The more gateways there are, the longer the mean time between two probes of
/// each.
fn next_probe(gateways: u32, random: u64, now: Timestamp) -> Timestamp {
    let mean_ms = PROBE_INTERVAL_MS * u64::from(gateways) / PROBES_PER_INTERVAL;
    let longest_ms = (2 * mean_ms).saturating_sub(PROBE_INTERVAL_MS);
    let longest_ms = longest_ms.clamp(PROBE_INTERVAL_MS, MAX_PROBE_PERIOD_MS);
    let spread_ms = float_ms(longest_ms - PROBE_INTERVAL_MS) * unit_interval(random);
    now.plus_ms(PROBE_INTERVAL_MS + ceil_ms(spread_ms))
}

/// Whether a gateway has started lately, by the sequence of its last heartbeat.
#[must_use]
pub const fn has_started_lately(heartbeat_sequence: u64) -> bool {
    heartbeat_sequence < STARTING_HEARTBEATS
}

/// When a caller may come back whose request is refused because no group serves before `serves_from`, in milliseconds.
/// Callers return after that time, and spread over a third of the time that they have left, which is as long as they wait.
#[must_use]
pub fn forming_return_ms(
    deadline: Timestamp,
    serves_from: Timestamp,
    random: u64,
    now: Timestamp,
) -> u64 {
    let longest_ms = deadline.ms_since(now) / MAX_RETURN_PART;
    let least_ms = serves_from.ms_since(now).min(longest_ms);
    least_ms + ceil_ms(float_ms(longest_ms - least_ms) * unit_interval(random))
}

/// A short name of a group for heartbeats.
pub(crate) fn group_tag(group: &str) -> u32 {
    let [a, b, c, d, ..] = digest(&[b"group", group.as_bytes()]);
    u32::from_be_bytes([a, b, c, d])
}
