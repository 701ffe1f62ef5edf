//! The check of fencing numbers, which some engines make and others don't.

use hyper::StatusCode;
use serde_json::json;

use crate::http::{self, Reply};

/// Why an order was refused.
pub(super) enum Refusal {
    /// A higher fencing number has been seen; this is the highest one.
    Old(u64),
    /// The order does not fit the present state.
    Conflict(&'static str),
}

impl Refusal {
    pub(super) fn reply(&self) -> Reply {
        match self {
            Self::Old(highest) => http::json(StatusCode::CONFLICT, &json!({ "highest": highest })),
            Self::Conflict(reason) => http::fault(StatusCode::CONFLICT, reason),
        }
    }
}

/// The highest fencing number seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Fence {
    highest: u64,
}

impl Fence {
    /// Passes the highest number seen and every higher one; passes all if `checks` is off.
    pub(super) fn pass(&mut self, number: u64, checks: bool) -> Result<(), Refusal> {
        if checks && number < self.highest {
            return Err(Refusal::Old(self.highest));
        }
        self.highest = self.highest.max(number);
        Ok(())
    }
}
