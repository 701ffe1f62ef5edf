//! The configuration document of a service: its models, endpoint kinds, workspaces, deadlines and
//! placement policy.

pub(crate) mod checked;
pub(crate) mod error;
pub(crate) mod lines;
pub(crate) mod patch;
pub(crate) mod raw;
mod validation;
