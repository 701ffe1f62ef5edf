//! Outages of the endpoint list that an instance notices without reading it.
//!
//! The instance that reads the list reports an outage in which entries may have expired. It alone may have been cut off or
//! paused, so the others believe the report only if no instance of their failure domain has read the list for some time.

use crate::clock::Timestamp;
use crate::decisions::endpoint_list::EXPIRY_GRACE_MS;

/// Time without a reader that shows an outage, in milliseconds. Another instance takes over from a reader that fails alone
/// within 500 ms. A reader notices after 1,300 ms at most that its calls are not answered, and entries expire in an outage of
/// 2,400 ms or more.
const MIN_UNREAD_MS: u64 = 700;

/// Whether the list could be read lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListOutage {
    /// Whether the list has been read since this instance started.
    is_known: bool,
    unread_since: Option<Timestamp>,
    /// When the last outage ended.
    ended: Option<Timestamp>,
}

impl ListOutage {
    /// Records whether an instance of the failure domain reads the list at present.
    pub fn update(&mut self, is_read: bool, now: Timestamp) {
        if is_read {
            self.is_known = true;
            if self.is_outage(now) {
                self.ended = Some(now);
            }
            self.unread_since = None;
        } else if self.is_known {
            self.unread_since.get_or_insert(now);
        }
    }

    /// Whether the list has been out of reach until now.
    fn is_outage(&self, now: Timestamp) -> bool {
        self.unread_since.is_some_and(|since| now.ms_since(since) >= MIN_UNREAD_MS)
    }

    /// How long entries that expired in an outage may be kept at most, in milliseconds; 0 if there was none lately.
    #[must_use]
    pub fn grace_left_ms(&self, now: Timestamp) -> u64 {
        if self.is_outage(now) {
            return EXPIRY_GRACE_MS;
        }
        self.ended.map_or(0, |ended| ended.plus_ms(EXPIRY_GRACE_MS).ms_since(now))
    }
}
