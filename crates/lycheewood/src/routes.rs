//! The route table: which requests go to which service, who may send them, and their limits.
//!
//! A [`raw::RawRouteTable`] is the form that a publisher provides and that instances forward to each
//! other. It is validated into a [`checked::RouteTable`], which requests are matched against.

pub(crate) mod checked;
pub(crate) mod raw;
