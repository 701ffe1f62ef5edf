//! End-to-end tests of the gateway over real sockets with scripted endpoints.

mod answers;
mod callers;
mod crashes;
mod harness;
mod leaving;
mod overload;
mod retries;
mod streams;
