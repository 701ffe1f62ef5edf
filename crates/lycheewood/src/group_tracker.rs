//! What this gateway knows of the groups of ranks that wait for each other.
//!
//! Traffic threads update it directly, because each request to a closed group must see the one before. The lock is held
//! for one map operation, or for one pass over the few groups.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::{EndpointEntry, GroupMembership};
use crate::decisions::group_status::{
    GroupAvailability, GroupEntry, GroupStatus, ListedFormation, REPORTED_EVENT_MS, group_tag,
};
use crate::metrics::gateway::GatewayMetrics;
use crate::waiting_room::WaitingRoom;

/// Number of groups above which those that are not listed are forgotten.
const MAX_GROUPS: usize = 64;

/// A group to which only probes are sent.
#[derive(Clone, Debug)]
pub(crate) struct ClosedGroup {
    pub(crate) name: String,
    /// Whether no probe is due.
    pub(crate) is_paused: bool,
    /// The earliest time at which it can serve.
    pub(crate) serves_from: Timestamp,
}

#[derive(Debug, Default)]
struct Groups {
    by_name: HashMap<String, GroupStatus>,
    /// When other gateways have lately received an event, by tag of the group. Heartbeats may arrive before the list.
    reported: HashMap<u32, Timestamp>,
}

impl Groups {
    /// Opens the groups for which a report of another gateway is evidence. Returns their names.
    fn open_reported(&mut self, now: Timestamp) -> Vec<String> {
        let reported = &self.reported;
        let closed = self.by_name.iter_mut().filter(|(_, status)| status.is_closed());
        let opened = closed.filter_map(|(name, status)| {
            let event = reported.get(&group_tag(name))?;
            status.record_reported(*event, now).then(|| name.clone())
        });
        opened.collect()
    }
}

/// The groups that are listed.
#[derive(Debug)]
pub(crate) struct GroupTracker {
    groups: Mutex<Groups>,
    /// Number of gateways that share the probes of closed groups.
    gateways: AtomicU32,
    /// Whether all other gateways must learn at once that a group has opened.
    has_news: AtomicBool,
    /// Woken when a group has opened.
    waiting_room: Arc<WaitingRoom>,
    metrics: Arc<GatewayMetrics>,
}

impl GroupTracker {
    pub(crate) fn new(waiting_room: Arc<WaitingRoom>, metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            groups: Mutex::default(),
            gateways: AtomicU32::new(1),
            has_news: AtomicBool::new(false),
            waiting_room,
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Groups> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(&self, membership: &GroupMembership, act: impl FnOnce(&mut GroupStatus) -> T) -> T {
        let mut groups = self.lock();
        if let Some(status) = groups.by_name.get_mut(&membership.name) {
            return act(status);
        }
        let first = GroupStatus::new(ListedFormation::from(membership));
        act(groups.by_name.entry(membership.name.clone()).or_insert(first))
    }

    /// Sets the number of gateways that share the probes, this one included.
    pub(crate) fn set_gateways(&self, gateways: u32) {
        self.gateways.store(gateways, Ordering::Relaxed);
    }

    /// Takes in the list of endpoints. A group that is listed again is known from before, because entries may lapse while
    /// the list is away.
    pub(crate) fn record_listed<'a>(
        &self,
        entries: impl Iterator<Item = &'a EndpointEntry>,
        now: Timestamp,
    ) {
        let mut latest: HashMap<&str, ListedFormation> = HashMap::new();
        for membership in entries.filter_map(|entry| entry.group.as_ref()) {
            let listed = ListedFormation::from(membership);
            let known = latest.entry(&membership.name).or_insert(listed);
            *known = listed.max(*known);
        }
        let mut groups = self.lock();
        if groups.by_name.len() > MAX_GROUPS {
            groups.by_name.retain(|name, _| latest.contains_key(name.as_str()));
        }
        let mut opened = Vec::new();
        for (name, listed) in latest {
            let Some(status) = groups.by_name.get_mut(name) else {
                groups.by_name.insert(name.to_owned(), GroupStatus::new(listed));
                self.count_change("unknown");
                log::info!("group unknown group={name}");
                continue;
            };
            if status.record_listed(listed) {
                opened.push(name.to_owned());
            }
        }
        let reported = groups.open_reported(now);
        drop(groups);
        self.report_opened(&opened, "list");
        self.report_opened(&reported, "heartbeat");
    }

    /// Takes in from which groups another gateway has received events, by tag, and how long ago in milliseconds.
    pub(crate) fn record_reported(&self, open_groups: &[(u32, u32)], now: Timestamp) {
        if open_groups.is_empty() {
            return;
        }
        let mut groups = self.lock();
        groups.reported.retain(|_, event| now.ms_since(*event) <= REPORTED_EVENT_MS);
        for (tag, age_ms) in open_groups {
            let event_ms = now.unix_ms().saturating_sub(u64::from(*age_ms));
            let latest = groups.reported.entry(*tag).or_default();
            *latest = Timestamp::from_unix_ms(event_ms).max(*latest);
        }
        let opened = groups.open_reported(now);
        drop(groups);
        self.report_opened(&opened, "heartbeat");
    }

    fn count_change(&self, status: &str) {
        self.metrics.routing.group_changes.with_label_values(&[status]).inc();
    }

    /// Counts and logs that groups have opened, and wakes the requests that wait for them.
    fn report_opened(&self, groups: &[String], evidence: &str) {
        for group in groups {
            self.count_change("open");
            log::info!("group open group={group} evidence={evidence}");
        }
        if !groups.is_empty() {
            self.waiting_room.wake();
        }
    }

    /// The groups to which only probes are sent. Usually empty.
    pub(crate) fn closed(&self, now: Timestamp) -> Vec<ClosedGroup> {
        let groups = self.lock();
        let closed = groups.by_name.iter().filter(|(_, status)| status.is_closed());
        let closed = closed.map(|(name, status)| ClosedGroup {
            name: name.clone(),
            is_paused: status.is_paused(now),
            serves_from: status.serves_from(now),
        });
        closed.collect()
    }

    /// Asks to send a request to an endpoint. Open if it belongs to no group.
    pub(crate) fn enter(&self, endpoint: &EndpointEntry, now: Timestamp) -> GroupEntry {
        let gateways = self.gateways.load(Ordering::Relaxed);
        endpoint.group.as_ref().map_or(GroupEntry::Open, |group| {
            self.with(group, |status| status.enter(gateways, rand::random(), now))
        })
    }

    /// Records that a request could not be sent to an endpoint.
    pub(crate) fn record_unsent(&self, endpoint: &EndpointEntry, now: Timestamp) {
        if let Some(group) = &endpoint.group {
            self.with(group, |status| status.record_unsent(now));
        }
    }

    /// Records that the connection to an endpoint has ended without an answer.
    pub(crate) fn record_lost(&self, endpoint: &EndpointEntry, now: Timestamp) {
        if let Some(group) = &endpoint.group {
            self.with(group, |status| status.record_lost(now));
        }
    }

    /// Records an event of an endpoint, or its answer to a request without events. Returns whether this has opened its
    /// group, which all other gateways should learn at once.
    pub(crate) fn record_event(&self, endpoint: &EndpointEntry, now: Timestamp) -> bool {
        let Some(group) = &endpoint.group else { return false };
        let has_opened = self.with(group, |status| status.record_event(now));
        if has_opened {
            self.has_news.store(true, Ordering::Relaxed);
            self.report_opened(std::slice::from_ref(&group.name), "event");
        }
        has_opened
    }

    /// Records that an endpoint has refused a request for its whole group.
    pub(crate) fn record_refusal(&self, group: &GroupMembership, now: Timestamp) {
        let (gateways, random) = (self.gateways.load(Ordering::Relaxed), rand::random());
        let listed = ListedFormation::from(group);
        let (is_news, availability) = self.with(group, |status| {
            (status.record_refusal(listed, gateways, random, now), status.availability())
        });
        if is_news {
            self.count_change("refusing");
            let has_stalled =
                matches!(availability, GroupAvailability::Refusing { forming_since: Some(_), .. });
            let (name, epoch) = (&group.name, group.epoch);
            log::info!("group refuses group={name} epoch={epoch} has_stalled={has_stalled}");
        }
    }

    /// The groups that other gateways are told to be open, by tag, with the age of their last event in milliseconds.
    /// `has_started` tells whether another gateway has started lately.
    pub(crate) fn open_groups(&self, has_started: bool, now: Timestamp) -> Vec<(u32, u32)> {
        let groups = self.lock();
        let ages = groups.by_name.iter().filter_map(|(name, status)| {
            let age_ms = status.reported_age_ms(has_started, now)?;
            Some((group_tag(name), u32::try_from(age_ms).unwrap_or(u32::MAX)))
        });
        ages.collect()
    }

    /// Whether all other gateways must learn at once that a group has opened. Asked once for each such change.
    pub(crate) fn take_news(&self) -> bool {
        self.has_news.swap(false, Ordering::Relaxed)
    }
}
