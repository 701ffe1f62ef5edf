//! End-to-end tests of the gateway over real sockets with scripted endpoints.

mod answers;
mod callers;
mod crashes;
mod harness;
mod leaving;
mod retries;
mod silence;
mod streams;
mod tables;
