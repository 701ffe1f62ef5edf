//! The route table: which requests go to which service, who may send them, and what they may cost.
//!
//! A [`RawRouteTable`] is what a publisher hands over and what instances pass on to each other. It
//! becomes a checked [`RouteTable`], the form that requests are matched against.

pub(crate) mod checked;
pub(crate) mod raw;
