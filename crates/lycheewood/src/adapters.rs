//! Translation between the outside and the core. Adapters decide nothing.

pub(crate) mod admin;
pub(crate) mod agent;
pub(crate) mod api_port;
pub(crate) mod backend;
pub(crate) mod caller;
pub(crate) mod caller_body;
pub(crate) mod configuration;
pub(crate) mod forward;
pub(crate) mod gossip;
pub(crate) mod http;
pub(crate) mod instance_list;
pub(crate) mod instance_port;
pub(crate) mod lingering;
pub(crate) mod log;
pub(crate) mod metrics;
pub(crate) mod peer;
pub(crate) mod ranks;
