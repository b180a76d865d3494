//! The HTTP client of the platform's object API.
//!
//! - [`store`]: the client.
//! - [`calls`]: the count of its calls by kind.

pub mod calls;
pub mod store;

pub use calls::{CallCounts, CallKind};
pub use store::HttpStore;
