//! Life cycles as types.

pub(crate) mod publication;
