//! Decisions as plain functions, without clock, socket or terminal.

pub(crate) mod answer;
pub(crate) mod log_lines;
pub(crate) mod node_set;
pub(crate) mod publish;
