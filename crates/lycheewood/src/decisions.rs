//! Decision logic: plain functions over borrowed views that take the current time as an argument.
//!
//! No function here reads a clock, performs I/O, sends a message to an actor or takes a lock.

pub(crate) mod admission;
pub(crate) mod attempts;
pub(crate) mod balance;
pub(crate) mod batch;
pub(crate) mod check;
pub(crate) mod claims;
pub(crate) mod cold;
pub(crate) mod connections;
pub(crate) mod cost;
pub(crate) mod demand;
pub(crate) mod digest;
pub(crate) mod directory;
pub(crate) mod endpoint_limits;
pub(crate) mod endpoint_list;
pub(crate) mod entries;
pub(crate) mod estimate;
pub(crate) mod evacuation;
pub(crate) mod events;
pub(crate) mod expert_groups;
pub(crate) mod groups;
pub(crate) mod leases;
pub(crate) mod limits;
pub(crate) mod log_lease;
pub(crate) mod map_change;
pub(crate) mod membership;
pub(crate) mod memory;
pub(crate) mod pace;
pub(crate) mod peers;
pub(crate) mod placement;
pub mod publication;
pub(crate) mod quarantine;
pub(crate) mod queue;
pub(crate) mod readers;
pub(crate) mod regions;
pub(crate) mod replies;
pub(crate) mod resume;
pub(crate) mod retries;
pub(crate) mod routing;
pub(crate) mod shares;
pub(crate) mod stall;
pub(crate) mod units;
pub(crate) mod urgency;
pub(crate) mod versions;
pub(crate) mod work;
