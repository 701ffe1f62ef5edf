//! End-to-end tests of the gateway over real sockets with scripted endpoints.

mod answers;
mod callers;
mod cold;
mod crashes;
mod evacuations;
mod harness;
mod leaving;
mod regions;
mod retries;
mod streams;
