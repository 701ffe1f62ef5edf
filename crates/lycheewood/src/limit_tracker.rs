//! Limits that endpoints have named, and the permits that this instance holds for them.
//!
//! Traffic threads update it directly, because each choice of an endpoint must see the one before. The lock is held for
//! one map operation only.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Timestamp;
use crate::decisions::endpoint_limits::{LimitBook, LimitReport, RequestRate};
use crate::lifecycle::permit::{Granted, Permit, Requested, Used};
use crate::wire::permit_message::{PermitReply, PermitRequest};

/// Time after which a request that waits for a reply about permits looks again, in milliseconds. A reply wakes it.
const LOOK_AGAIN_MS: u64 = 50;
/// Most time by which instances that were refused together ask again at different times, in milliseconds.
const RETRY_SPREAD_MS: u64 = 50;

/// Permits for one endpoint.
#[derive(Debug, Default)]
struct PermitStock {
    granted: Vec<Permit<Granted>>,
    requested: Vec<Permit<Requested>>,
    /// When this instance may ask again.
    ask_from: Timestamp,
}

impl PermitStock {
    fn drop_lapsed(&mut self, now: Timestamp) {
        self.granted.retain(|permit| !permit.has_lapsed(now));
        self.requested.retain(|permit| permit.is_awaited(now));
    }

    fn availability(&self, now: Timestamp) -> PermitAvailability {
        if !self.granted.is_empty() {
            return PermitAvailability::Granted;
        }
        if self.ask_from > now {
            return PermitAvailability::AskFrom(self.ask_from);
        }
        PermitAvailability::Ask { look_again: now.plus_ms(LOOK_AGAIN_MS) }
    }
}

/// Whether a request may be sent to a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitAvailability {
    /// This instance holds a permit.
    Granted,
    /// A permit may be asked for, and a reply may have arrived at the given time.
    Ask {
        /// When to look for a permit again.
        look_again: Timestamp,
    },
    /// A permit was refused, and may be asked for at the given time.
    AskFrom(Timestamp),
}

#[derive(Debug, Default)]
struct Limits {
    book: LimitBook,
    /// By tag of the endpoint.
    stocks: HashMap<u32, PermitStock>,
}

impl Limits {
    /// The permits of a limited endpoint.
    fn stock(&mut self, tag: u32, now: Timestamp) -> Option<&mut PermitStock> {
        self.book.limit(tag)?;
        let stock = self.stocks.entry(tag).or_default();
        stock.drop_lapsed(now);
        Some(stock)
    }
}

/// Limits of the endpoints, and permits for them.
#[derive(Debug, Default)]
pub(crate) struct LimitTracker {
    limits: Mutex<Limits>,
}

impl LimitTracker {
    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the limit that a response of an endpoint names, or that it names none. Returns whether that is news.
    pub(crate) fn observe(&self, tag: u32, limit: Option<RequestRate>, now: Timestamp) -> bool {
        self.lock().book.observe(tag, limit, now)
    }

    /// Records what another instance has seen. Returns the reports that are news.
    pub(crate) fn adopt(&self, reports: &[LimitReport], now: Timestamp) -> Vec<LimitReport> {
        let mut limits = self.lock();
        reports.iter().filter(|report| limits.book.adopt(report, now)).copied().collect()
    }

    /// What this instance has seen itself.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        let mut limits = self.lock();
        limits.book.expire(now);
        let Limits { book, stocks } = &mut *limits;
        stocks.retain(|tag, _| book.limit(*tag).is_some());
        book.reports(now)
    }

    /// The limit of an endpoint.
    pub(crate) fn limit(&self, tag: u32) -> Option<RequestRate> {
        self.lock().book.limit(tag)
    }

    /// Whether a request may be sent to an endpoint, or `None` if the endpoint has no limit.
    pub(crate) fn availability(&self, tag: u32, now: Timestamp) -> Option<PermitAvailability> {
        self.lock().stock(tag, now).map(|stock| stock.availability(now))
    }

    /// Uses a permit for a request to an endpoint.
    pub(crate) fn redeem(&self, tag: u32, now: Timestamp) -> Option<Permit<Used>> {
        let mut limits = self.lock();
        limits.stock(tag, now)?.granted.pop()?.redeem(now)
    }

    /// Permits for some endpoints that this instance holds or has asked for.
    pub(crate) fn expected(&self, tags: impl Iterator<Item = u32>, now: Timestamp) -> usize {
        let mut limits = self.lock();
        let permits = |stock: &mut PermitStock| stock.granted.len() + stock.requested.len();
        tags.filter_map(|tag| limits.stock(tag, now).map(permits)).sum()
    }

    /// Records that the gateway at `source` is asked for a permit, or returns `None` if the endpoint has no limit.
    pub(crate) fn request(
        &self,
        tag: u32,
        source: SocketAddr,
        within_ms: u64,
        now: Timestamp,
    ) -> Option<PermitRequest> {
        let mut limits = self.lock();
        let limit = limits.book.limit(tag)?;
        let sequence = rand::random();
        let requested = Permit::request(source, sequence, within_ms, now);
        limits.stock(tag, now)?.requested.push(requested);
        Some(PermitRequest { tag, sequence, within_ms, limit })
    }

    /// Takes in a reply. Returns whether it belongs to a request of this instance.
    pub(crate) fn apply(&self, from: SocketAddr, reply: PermitReply, now: Timestamp) -> bool {
        let mut limits = self.lock();
        let Some(stock) = limits.stock(reply.tag, now) else { return false };
        let is_answered =
            |permit: &Permit<Requested>| permit.is_answered_by(from, reply.sequence, now);
        let Some(index) = stock.requested.iter().position(is_answered) else { return false };
        let requested = stock.requested.swap_remove(index);
        if let Some(retry_after_ms) = reply.retry_after_ms {
            let spread_ms = rand::random_range(0..RETRY_SPREAD_MS);
            stock.ask_from = now.plus_ms(retry_after_ms.saturating_add(spread_ms));
        } else {
            stock.granted.push(requested.grant(now));
        }
        true
    }
}
