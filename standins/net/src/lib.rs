//! The HTTP server, HTTP client and clock that the stand-ins share.
//!
//! Each stand-in is one process with one thread on `compio`.
//!
//! - [`body`]: the body of a response, complete or truncated as an injected fault.
//! - [`client`]: a persistent HTTP/1.1 client connection.
//! - [`clock`]: system clocks, comparable across the processes of a machine.
//! - [`repeat`]: a stream that sends a response twice as an injected fault.
//! - [`reply`]: helpers that build responses and parse requests.
//! - [`server`]: the HTTP/1.1 server.
//! - [`errors`]: errors that end a connection.

pub mod body;
pub mod client;
pub mod clock;
pub mod errors;
pub mod repeat;
pub mod reply;
pub mod server;

pub use errors::{NetError, Result};
