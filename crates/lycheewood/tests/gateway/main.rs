//! End-to-end tests of the gateway over real sockets with scripted endpoints.

mod answers;
mod callers;
mod cold;
mod crashes;
#[path = "../support/engine_profile.rs"]
mod engine_profile;
mod evacuations;
mod harness;
mod leaving;
mod limits;
mod list_outage;
mod lost_answers;
mod messages;
mod overload;
mod ports;
mod priorities;
mod regions;
mod retries;
mod silence;
mod streams;
mod tables;
mod waiting;
