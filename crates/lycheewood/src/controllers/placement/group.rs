//! This process's part in one group: it watches the lease, asks for it or holds it.

use crate::clock::Timestamp;
use crate::controllers::placement::PlacementConfig;
use crate::controllers::placement::held::HeldGroup;
use crate::decisions::leases::CurrentLease;
use crate::decisions::map_change::GroupMaps;
use crate::ids::ScopeName;
use crate::lifecycle::lease::{Lease, LeaseWatch, Requested};

/// One part in this many of a lease is the longest pause before it is asked for. Entries that see it
/// end together then rarely ask together.
const JITTER_PARTS: u64 = 4;

enum Part {
    Watching { ask_at: Option<Timestamp> },
    Asking { lease: Lease<Requested>, asked: Timestamp },
    Holding(Box<HeldGroup>),
}

/// One group.
pub(super) struct Group {
    watch: LeaseWatch,
    requests: u64,
    part: Part,
}

impl Default for Group {
    fn default() -> Self {
        Self { watch: LeaseWatch::new(), requests: 0, part: Part::Watching { ask_at: None } }
    }
}

impl Group {
    /// The group, while its lease is held.
    pub(super) fn held(&mut self) -> Option<&mut HeldGroup> {
        match &mut self.part {
            Part::Holding(held) => Some(held),
            Part::Watching { .. } | Part::Asking { .. } => None,
        }
    }

    /// Does what the stream and the time allow now.
    pub(super) fn advance(
        &mut self,
        config: &PlacementConfig,
        scope: &ScopeName,
        maps: &GroupMaps,
        current: Option<CurrentLease>,
    ) {
        let now = config.clock.now();
        let free = self.watch.check(current, now);
        let part = std::mem::replace(&mut self.part, Part::Watching { ask_at: None });
        self.part = match part {
            Part::Watching { ask_at } => {
                let Some(supersedes) = free.ok().filter(|_| reaches_all(config, maps)) else {
                    return;
                };
                let jitter_ms = config.timing.lease_ms / JITTER_PARTS;
                let ask_at =
                    ask_at.unwrap_or_else(|| now.plus_ms(rand::random_range(0..=jitter_ms)));
                if now < ask_at {
                    Part::Watching { ask_at: Some(ask_at) }
                } else {
                    self.requests += 1;
                    let (holder, duration_ms) = (config.incarnation, config.timing.lease_ms);
                    let scope = scope.clone();
                    let lease =
                        Lease::request(scope, holder, self.requests, supersedes, duration_ms, now);
                    config.append(&lease.record());
                    Part::Asking { lease, asked: now }
                }
            }
            Part::Asking { lease, asked } => match lease.confirm_grant(current) {
                Ok(lease) => {
                    log::info!("lease taken scope={scope}");
                    Part::Holding(Box::new(HeldGroup::new(lease, maps, now)))
                }
                Err(lease) if now.ms_since(asked) < config.timing.lease_ms => {
                    Part::Asking { lease, asked }
                }
                Err(_) => Part::Watching { ask_at: None },
            },
            Part::Holding(mut held) => {
                if held.advance(config, maps, current, now).is_ok() {
                    Part::Holding(held)
                } else {
                    log::info!("lease lost scope={scope}");
                    Part::Watching { ask_at: None }
                }
            }
        };
    }
}

/// Whether this process has a connection to the daemon of every rank. A holder without one could only
/// abort changes.
fn reaches_all(config: &PlacementConfig, maps: &GroupMaps) -> bool {
    let endpoints = config.endpoints.load();
    maps.processes().is_some_and(|processes| {
        processes.iter().all(|p| endpoints.endpoints.iter().any(|e| e.incarnation == *p))
    })
}
