//! The HTTP client of the target beside a daemon.
//!
//! - [`headers`]: the header fields between the daemon and the target.
//! - [`client`]: the client.

pub mod client;
pub mod headers;

pub use client::HttpTarget;
