//! Small fakes of the platform and the endpoints, for tests and the quickstart.
//!
//! Each fake listens on loopback, speaks the protocol of the design page over HTTP/1.1, and has
//! faults that a test sets through its handle or with `POST /faults`. Dropping a handle stops it.
//!
//! ```no_run
//! # async fn example() -> std::io::Result<()> {
//! let log = stand_ins::log::Log::start()?;
//! log.set_faults(|faults| faults.common.lose_next_replies = 1);
//! println!("listening address={}", log.address());
//! # Ok(())
//! # }
//! ```

mod clock;
pub mod collector;
mod control;
pub mod engine;
pub mod faults;
mod filters;
pub mod forwarder;
mod http;
pub mod instance_list;
pub mod log;
mod server;
pub mod service;
pub mod weight_store;
