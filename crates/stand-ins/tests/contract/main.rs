//! The fakes keep the protocols of the design page, and their faults do what they say.

mod client;
mod engine;
mod instance_list;
mod log;
mod process;
mod ranks;
mod service;
mod weight_store;
