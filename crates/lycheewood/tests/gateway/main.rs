//! The gateway over real sockets, against scripted servers: what callers get, and what servers see.

mod answers;
mod callers;
mod retries;
mod streams;
mod world;
