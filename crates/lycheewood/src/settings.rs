//! Settings of the daemon, read from one YAML file. Defaults stand in one place: [`RawSettings`].

use std::net::SocketAddr;

use serde::Deserialize;

use crate::decisions::admission::AdmissionPolicy;
use crate::decisions::groups::MAX_RANKS;
use crate::decisions::retries::RetryPolicy;
use crate::decisions::routing::RoutingPolicy;
use crate::ids::{EndpointKindName, FailureDomain, InstanceId, VersionName};
use crate::wire::message::Role;

/// Settings as they stand in the file, not yet checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// `entry` or `endpoint`.
    pub role: Role,
    /// Name of this instance in the platform's list.
    pub instance: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Where an entry listens for callers.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Where an endpoint daemon listens for entries.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Where metrics, liveness, readiness and state are served.
    pub admin_address: SocketAddr,
    /// The platform's log.
    pub log_address: SocketAddr,
    /// The platform's instance list.
    pub instance_list_address: SocketAddr,
    /// The engine or service beside an endpoint daemon.
    #[serde(default)]
    pub backend_address: Option<SocketAddr>,
    /// The kind of endpoint beside an endpoint daemon, as the document names it.
    #[serde(default)]
    pub endpoint_kind: Option<String>,
    /// The version that a model engine has loaded.
    #[serde(default)]
    pub version: Option<String>,
    /// The rank beside an endpoint daemon, if its engine is one rank of a group.
    #[serde(default)]
    pub rank: Option<RankSettings>,
    /// Whether an entry may hold the lease of a group; on by default.
    #[serde(default)]
    pub control: Option<bool>,
    /// Collector of trace spans (OTLP over HTTP, JSON).
    #[serde(default)]
    pub collector_address: Option<SocketAddr>,
    /// Threads for traffic; control state always has one thread of its own.
    #[serde(default = "defaults::traffic_threads")]
    pub traffic_threads: usize,
    /// Bounds on what callers send.
    #[serde(default)]
    pub bounds: Bounds,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// How an entry chooses endpoints.
    #[serde(default)]
    pub routing: RoutingPolicy,
    /// What an entry admits.
    #[serde(default)]
    pub admission: AdmissionPolicy,
    /// When an entry makes a failed attempt again.
    #[serde(default)]
    pub retries: RetryPolicy,
}

/// The rank that a daemon stands beside.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// Name of the group.
    pub group: String,
    /// Index of the rank, from 0.
    pub index: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Bytes of all headers of a request.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to receive all headers.
    pub header_timeout_ms: u64,
    /// Time to receive the whole body.
    pub body_timeout_ms: u64,
    /// How long a caller may read nothing of an answer, or keep a connection without any sign of life.
    pub caller_stall_ms: u64,
    /// Connections from callers at once; at an endpoint daemon, from entries.
    pub max_connections: usize,
    /// Attempts that an endpoint daemon runs at once.
    pub max_attempts: u32,
    /// Memory of the machine, in bytes; 0 for no memory budget.
    pub memory_bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 5_000,
            body_timeout_ms: 30_000,
            caller_stall_ms: 15_000,
            max_connections: 4_096,
            max_attempts: 256,
            memory_bytes: 0,
        }
    }
}

/// Intervals and timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between heartbeats on a connection.
    pub heartbeat_ms: u64,
    /// Without any frame, a connection counts as silent and is closed.
    pub silence_ms: u64,
    /// The longest wait for a connection to open.
    pub connect_ms: u64,
    /// The longest wait between two attempts to connect to a peer or to the platform.
    pub reconnect_max_ms: u64,
    /// How long one read of the log or the instance list waits for news.
    pub long_poll_ms: u64,
    /// The longest wait for a reply of the platform beyond the long poll.
    pub platform_reply_ms: u64,
    /// Between load reports of an endpoint.
    pub load_report_ms: u64,
    /// Between reports of an entry's demand, by which limits are shared out.
    pub demand_report_ms: u64,
    /// The longest pause between two pieces of an engine's answer.
    pub backend_idle_ms: u64,
    /// The list shows an instance at most this long after it starts.
    pub list_lag_ms: u64,
    /// How long callers may keep the list of entry addresses.
    pub entries_valid_ms: u64,
    /// How long a leaving entry still takes requests; callers hold its address that long.
    pub entry_linger_ms: u64,
    /// How long a leaving entry refuses requests with an answer before it closes its listener.
    pub entry_refuse_ms: u64,
    /// How long an endpoint may still receive new work after it told that it leaves.
    pub drain_notice_ms: u64,
    /// How long the result of a finished attempt is kept for questions.
    pub result_keep_ms: u64,
    /// How old a request key may be. Must be shorter than the log keeps records.
    pub key_window_ms: u64,
    /// Accepted difference between the clocks of callers and instances.
    pub clock_skew_ms: u64,
    /// The longest wait for the log to decide a claim; the request is refused as not run after that.
    pub claim_wait_ms: u64,
    /// How long the platform's log keeps records.
    pub log_retention_ms: u64,
    /// How long the lease of a group lasts without renewal.
    pub lease_ms: u64,
    /// Between reports of a rank to the holder of its group's lease.
    pub rank_report_ms: u64,
    /// How long ranks have to stage a change of the map before it is dropped.
    pub stage_wait_ms: u64,
    /// How far ahead, in time, a change of the map is proposed.
    pub map_lead_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            silence_ms: 2_000,
            connect_ms: 1_000,
            reconnect_max_ms: 2_000,
            long_poll_ms: 10_000,
            platform_reply_ms: 2_000,
            load_report_ms: 1_000,
            demand_report_ms: 2_000,
            backend_idle_ms: 5_000,
            list_lag_ms: 30_000,
            entries_valid_ms: 10_000,
            entry_linger_ms: 12_000,
            entry_refuse_ms: 1_000,
            drain_notice_ms: 3_000,
            result_keep_ms: 60_000,
            key_window_ms: 6 * 3_600_000,
            clock_skew_ms: 60_000,
            claim_wait_ms: 2_000,
            log_retention_ms: 24 * 3_600_000,
            lease_ms: 10_000,
            rank_report_ms: 10_000,
            stage_wait_ms: 10_000,
            map_lead_ms: 3_000,
        }
    }
}

mod defaults {
    pub(super) fn traffic_threads() -> usize {
        2
    }
}

/// Settings that are wrong, with what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file is not YAML of this shape.
    #[error("the settings cannot be read: {reason}")]
    Syntax {
        /// What the YAML reader says, with line and column.
        reason: String,
    },
    /// A field that the role needs is missing.
    #[error("`{field}` is missing; a daemon with role `{role}` needs it")]
    Missing {
        /// The field.
        field: &'static str,
        /// The role.
        role: &'static str,
    },
    /// A field has a value that contradicts another one.
    #[error("`{field}` {remedy}")]
    Contradiction {
        /// The field.
        field: &'static str,
        /// What to write instead.
        remedy: &'static str,
    },
}

/// What depends on the role.
#[derive(Clone, Debug)]
pub enum RoleSettings {
    /// An entry.
    Entry {
        /// Where it listens for callers.
        caller_address: SocketAddr,
        /// Whether it may hold the lease of a group.
        control: bool,
    },
    /// An endpoint daemon.
    Endpoint {
        /// Where it listens for entries.
        peer_address: SocketAddr,
        /// The engine or service beside it.
        backend_address: SocketAddr,
        /// The kind of endpoint.
        kind: EndpointKindName,
        /// The version that the engine has loaded.
        version: Option<VersionName>,
        /// The rank that the engine is.
        rank: Option<RankSettings>,
    },
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What depends on the role.
    pub role: RoleSettings,
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where metrics, liveness, readiness and state are served.
    pub admin_address: SocketAddr,
    /// The platform's log.
    pub log_address: SocketAddr,
    /// The platform's instance list.
    pub instance_list_address: SocketAddr,
    /// Collector of trace spans.
    pub collector_address: Option<SocketAddr>,
    /// Threads for traffic.
    pub traffic_threads: usize,
    /// Bounds on what callers send.
    pub bounds: Bounds,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// How an entry chooses endpoints.
    pub routing: RoutingPolicy,
    /// What an entry admits.
    pub admission: AdmissionPolicy,
    /// When an entry makes a failed attempt again.
    pub retries: RetryPolicy,
}

impl Settings {
    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// When the text is not YAML of this shape, or fields are missing or contradict each other.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = serde_saphyr::from_str(text)
            .map_err(|e| SettingsError::Syntax { reason: e.to_string() })?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        check_timing(&raw.timing)?;
        check_policies(&raw)?;
        if raw.traffic_threads == 0 {
            return Err(SettingsError::Contradiction {
                field: "traffic_threads",
                remedy: "must be at least 1",
            });
        }
        let role = role_settings(&raw)?;
        Ok(Self {
            role,
            instance: InstanceId::new(&raw.instance),
            failure_domain: FailureDomain::new(&raw.failure_domain),
            admin_address: raw.admin_address,
            log_address: raw.log_address,
            instance_list_address: raw.instance_list_address,
            collector_address: raw.collector_address,
            traffic_threads: raw.traffic_threads,
            bounds: raw.bounds,
            timing: raw.timing,
            routing: raw.routing,
            admission: raw.admission,
            retries: raw.retries,
        })
    }
}

fn role_settings(raw: &RawSettings) -> Result<RoleSettings, SettingsError> {
    match raw.role {
        Role::Entry => {
            let missing = |field| SettingsError::Missing { field, role: "entry" };
            let caller_address = raw.caller_address.ok_or_else(|| missing("caller_address"))?;
            if raw.rank.is_some() {
                return contradiction("rank", "belongs to endpoint daemons; remove it here");
            }
            Ok(RoleSettings::Entry { caller_address, control: raw.control.unwrap_or(true) })
        }
        Role::Endpoint => {
            if raw.control.is_some() {
                return contradiction("control", "belongs to entries; remove it here");
            }
            check_rank(raw)?;
            let missing = |field| SettingsError::Missing { field, role: "endpoint" };
            let kind = raw.endpoint_kind.as_deref().ok_or_else(|| missing("endpoint_kind"))?;
            Ok(RoleSettings::Endpoint {
                peer_address: raw.peer_address.ok_or_else(|| missing("peer_address"))?,
                backend_address: raw.backend_address.ok_or_else(|| missing("backend_address"))?,
                kind: EndpointKindName::new(kind),
                version: raw.version.as_deref().map(VersionName::new),
                rank: raw.rank.clone(),
            })
        }
    }
}

fn contradiction<T>(field: &'static str, remedy: &'static str) -> Result<T, SettingsError> {
    Err(SettingsError::Contradiction { field, remedy })
}

fn check_rank(raw: &RawSettings) -> Result<(), SettingsError> {
    let Some(rank) = &raw.rank else { return Ok(()) };
    if raw.version.is_none() {
        return contradiction("rank", "needs `version`, because plain services have no ranks");
    }
    if rank.group.is_empty() || rank.group.contains('/') {
        return contradiction("rank.group", "must be a name without `/`");
    }
    if rank.ranks == 0 || rank.ranks > MAX_RANKS {
        return contradiction("rank.ranks", "must be between 1 and 4096");
    }
    if rank.index >= rank.ranks {
        return contradiction("rank.index", "must be below `rank.ranks`; the first rank is 0");
    }
    Ok(())
}

fn check_policies(raw: &RawSettings) -> Result<(), SettingsError> {
    let contradiction = |field, remedy| Err(SettingsError::Contradiction { field, remedy });
    if raw.routing.load_bound.is_nan() || raw.routing.load_bound < 1.0 {
        return contradiction(
            "routing.load_bound",
            "must be at least 1, because no endpoint stays below a smaller multiple of the mean",
        );
    }
    if !(0.0..=1.0).contains(&raw.routing.max_error_share) {
        return contradiction("routing.max_error_share", "must be from 0 to 1");
    }
    if !(0.0..=1.0).contains(&raw.retries.share) || raw.retries.max_attempts == 0 {
        return contradiction(
            "retries",
            "must have a `share` from 0 to 1 and a `max_attempts` of at least 1",
        );
    }
    if !raw.admission.brownout_at.is_sorted() {
        return contradiction("admission.brownout_at", "must rise from step to step");
    }
    Ok(())
}

fn check_timing(timing: &Timing) -> Result<(), SettingsError> {
    if timing.lease_ms < 20 || timing.rank_report_ms == 0 {
        return contradiction(
            "timing.lease_ms",
            "must be at least 20, and `timing.rank_report_ms` at least 1",
        );
    }
    if timing.silence_ms < 2 * timing.heartbeat_ms {
        return contradiction(
            "timing.silence_ms",
            "must be at least twice `timing.heartbeat_ms`, or one late heartbeat closes a connection",
        );
    }
    if timing.demand_report_ms == 0 || timing.load_report_ms == 0 || timing.heartbeat_ms == 0 {
        return contradiction(
            "timing",
            "intervals (`heartbeat_ms`, `load_report_ms`, `demand_report_ms`) must be at least 1",
        );
    }
    if timing.entry_linger_ms < timing.entries_valid_ms {
        return contradiction(
            "timing.entry_linger_ms",
            "must be at least `timing.entries_valid_ms`, because callers hold the address that long",
        );
    }
    if timing.key_window_ms.saturating_add(2 * timing.clock_skew_ms) >= timing.log_retention_ms {
        return contradiction(
            "timing.key_window_ms",
            "plus twice `timing.clock_skew_ms` must be shorter than `timing.log_retention_ms`, or a key outlives its claim",
        );
    }
    Ok(())
}
