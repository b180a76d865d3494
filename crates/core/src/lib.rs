//! The types, errors and traits that every crate of wagtailpulley shares.
//!
//! Nothing in this crate reads a clock, opens a socket or runs a task.
//!
//! - [`ids`]: names and numbers that identify nodes, services, tenants and requests.
//! - [`units`]: points on a node's monotonic clock.
//! - [`slice`]: hash partitioning of the keys of a service into slices.
//! - [`lease`]: the ownership record of a slice, as the platform stores it.
//! - [`service`]: the declared services, operations and tenants, and the document that holds them.
//! - [`request`]: request and response metadata that daemons and targets exchange.
//! - [`verdict`]: whether a request may have run, and so whether a retry is safe.
//! - [`ports`]: the traits through which a daemon calls the platform and its target.
//! - [`objects`]: the object store of the platform, with its errors.
//! - [`routing`]: the active configuration of routes, services and caller limits.
//! - [`digest`]: what two requests with the same content have in common.
//! - [`heartbeat`]: the heartbeats of targets and the key ranges granted in reply.
//! - [`notice`]: what a target states about itself in its responses.
//! - [`errors`]: the error type of requests, records and messages.

pub mod digest;
pub mod errors;
pub mod heartbeat;
pub mod ids;
pub mod lease;
pub mod notice;
pub mod objects;
pub mod ports;
pub mod request;
pub mod routing;
pub mod service;
pub mod slice;
pub mod units;
pub mod verdict;

pub use errors::{CoreError, Result};
