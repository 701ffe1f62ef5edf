//! Owners of state. Each runs on the control thread and is the only writer of its state.

pub(crate) mod documents;
pub(crate) mod nodes;
