//! A stand-in for the object API of the platform, with injectable faults.
//!
//! The wire format is on the page `docs/PROTOCOLS.md`.
//!
//! - [`store`]: the store of versioned values.
//! - [`faults`]: the faults that a control call injects.
//! - [`rate`]: the limit on calls per second.
//! - [`stats`]: the call counters by kind.
//! - [`state`]: the shared state, with the pending watches.
//! - [`api`]: the handlers of the HTTP API.

pub mod api;
pub mod faults;
pub mod rate;
pub mod state;
pub mod stats;
pub mod store;
