//! Sockets, HTTP connections and the clock that the daemon's crates share.
//!
//! - [`clock`]: the clock that counts suspended time.
//! - [`client`]: HTTP/1.1 connections to a server, kept and reused.
//! - [`server`]: the accept loop of an HTTP/1.1 server.
//! - [`stop`]: the signal that tells every task to finish its work.

pub mod client;
pub mod clock;
pub mod server;
pub mod stop;
