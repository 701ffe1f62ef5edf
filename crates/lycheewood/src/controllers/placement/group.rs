//! The lease of one group as this process sees it: watched, requested or held.

use crate::clock::Timestamp;
use crate::controllers::placement::PlacementConfig;
use crate::controllers::placement::held::HeldGroup;
use crate::decisions::leases::CurrentLease;
use crate::decisions::map_change::GroupMaps;
use crate::ids::ScopeName;
use crate::lifecycle::lease::{Lease, LeaseWatch, Requested};

/// The maximum random delay before a lease request is the lease duration divided by this. Entries that see
/// a lease end at the same time then rarely request it at the same time.
const JITTER_DIVISOR: u64 = 4;

enum LeaseRole {
    Watching { request_at: Option<Timestamp> },
    Requesting { lease: Lease<Requested>, requested_at: Timestamp },
    Holding(Box<HeldGroup>),
}

/// One group and the role of this process towards its lease.
pub(super) struct Group {
    lease_watch: LeaseWatch,
    request_count: u64,
    role: LeaseRole,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            lease_watch: LeaseWatch::new(),
            request_count: 0,
            role: LeaseRole::Watching { request_at: None },
        }
    }
}

impl Group {
    /// The state of the holder, or `None` if this process does not hold the lease.
    pub(super) fn held(&mut self) -> Option<&mut HeldGroup> {
        match &mut self.role {
            LeaseRole::Holding(held) => Some(held),
            LeaseRole::Watching { .. } | LeaseRole::Requesting { .. } => None,
        }
    }

    /// Requests the lease if it is available, or does the work of the holder.
    pub(super) fn advance(
        &mut self,
        config: &PlacementConfig,
        scope: &ScopeName,
        maps: &GroupMaps,
        current: Option<CurrentLease>,
    ) {
        let now = config.clock.now();
        let available = self.lease_watch.check(current, now);
        let role = std::mem::replace(&mut self.role, LeaseRole::Watching { request_at: None });
        self.role = match role {
            LeaseRole::Watching { request_at } => {
                let Some(supersedes) = available.ok().filter(|_| is_connected_to_all(config, maps))
                else {
                    return;
                };
                let jitter_ms = config.timing.lease_ms / JITTER_DIVISOR;
                let request_at =
                    request_at.unwrap_or_else(|| now.plus_ms(rand::random_range(0..=jitter_ms)));
                if now < request_at {
                    LeaseRole::Watching { request_at: Some(request_at) }
                } else {
                    self.request_count += 1;
                    let (holder, duration_ms) = (config.incarnation, config.timing.lease_ms);
                    let scope = scope.clone();
                    let lease = Lease::request(
                        scope,
                        holder,
                        self.request_count,
                        supersedes,
                        duration_ms,
                        now,
                    );
                    config.append(&lease.record());
                    LeaseRole::Requesting { lease, requested_at: now }
                }
            }
            LeaseRole::Requesting { lease, requested_at } => match lease.confirm_grant(current) {
                Ok(lease) => {
                    log::info!("lease acquired scope={scope}");
                    LeaseRole::Holding(Box::new(HeldGroup::new(lease, maps, now)))
                }
                Err(lease) if now.ms_since(requested_at) < config.timing.lease_ms => {
                    LeaseRole::Requesting { lease, requested_at }
                }
                Err(_) => LeaseRole::Watching { request_at: None },
            },
            LeaseRole::Holding(mut held) => {
                if held.advance(config, maps, current, now).is_ok() {
                    LeaseRole::Holding(held)
                } else {
                    log::info!("lease lost scope={scope}");
                    LeaseRole::Watching { request_at: None }
                }
            }
        };
    }
}

/// Whether this process has a connection to the daemon of every rank. A holder without all of
/// them could only abort changes.
fn is_connected_to_all(config: &PlacementConfig, maps: &GroupMaps) -> bool {
    let endpoints = config.endpoints.load();
    maps.processes().is_some_and(|processes| {
        processes.iter().all(|p| endpoints.endpoints.iter().any(|e| e.incarnation == *p))
    })
}
