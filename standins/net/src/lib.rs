//! The HTTP server, HTTP client and clock that the stand-ins share.
//!
//! Each stand-in is one process with one thread on `compio`.
//!
//! - [`body`]: the body of an answer, whole or cut short on purpose.
//! - [`client`]: an HTTP/1.1 connection of a client.
//! - [`clock`]: the clocks of the machine, the same for all its processes.
//! - [`repeat`]: a stream that sends an answer twice on purpose.
//! - [`reply`]: answers and the reading of requests.
//! - [`server`]: the HTTP/1.1 server.
//! - [`errors`]: what ends a connection.

pub mod body;
pub mod client;
pub mod clock;
pub mod errors;
pub mod repeat;
pub mod reply;
pub mod server;

pub use errors::{NetError, Result};
