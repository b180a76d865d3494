//! The types, errors and traits that every crate of wagtailpulley shares.
//!
//! Nothing in this crate reads a clock, opens a socket or runs a task.
//!
//! - [`ids`]: names and numbers that identify nodes, services, tenants and requests.
//! - [`units`]: points in time.
//! - [`slice`]: the division of a keyed service into hash slices.
//! - [`lease`]: the ownership record of a slice, as the platform stores it.
//! - [`service`]: the declared services, operations and tenants.
//! - [`request`]: a request and its answer between the processes.
//! - [`verdict`]: whether a request may have run.
//! - [`ports`]: the traits at the border to the platform and the targets.
//! - [`objects`]: the object store of the platform.
//! - [`routing`]: the routes, services and limits in force.
//! - [`heartbeat`]: what a target says of itself, and the keys that it is granted.
//! - [`errors`]: the central error enum.

pub mod errors;
pub mod heartbeat;
pub mod ids;
pub mod lease;
pub mod objects;
pub mod ports;
pub mod request;
pub mod routing;
pub mod service;
pub mod slice;
pub mod units;
pub mod verdict;

pub use errors::{CoreError, Result};
