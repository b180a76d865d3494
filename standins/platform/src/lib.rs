//! A stand-in for the object API of the platform, with faults on demand.
//!
//! The wire format is on the page `docs/PROTOCOLS.md`.
//!
//! - [`store`]: the versioned values.
//! - [`faults`]: the faults that a control call switches.
//! - [`rate`]: the limits on calls a second.
//! - [`stats`]: the counts of calls by kind.
//! - [`state`]: all of these, with the waiting watches.
//! - [`api`]: the calls of the HTTP API.

pub mod api;
pub mod faults;
pub mod rate;
pub mod state;
pub mod stats;
pub mod store;
