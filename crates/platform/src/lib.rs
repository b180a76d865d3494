//! The HTTP client of the platform's object API, which stores the state that nodes share.
//!
//! - [`store`]: the client with its timeouts.
//! - [`calls`]: counters of the calls by kind.

pub mod calls;
pub mod store;

pub use calls::{CallCounts, CallKind};
pub use store::HttpStore;
