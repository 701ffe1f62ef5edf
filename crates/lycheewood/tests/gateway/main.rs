//! The gateway over real sockets, against scripted endpoints: what callers get, and what endpoints see.

mod answers;
mod callers;
mod retries;
mod streams;
mod world;
