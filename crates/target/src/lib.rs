//! The HTTP client with which a daemon dispatches requests to its target.
//!
//! - [`client`]: sends requests and grants to the target.
//! - [`headers`]: the header fields that the daemon exchanges with targets and callers.

pub mod client;
pub mod headers;

pub use client::HttpTarget;
