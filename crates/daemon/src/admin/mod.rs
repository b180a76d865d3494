//! The administration API.
//!
//! - [`server`]: the HTTP server and its routes.
//! - [`operator`]: plans and confirmations, executed against the platform.
//! - [`status`]: the status report of this daemon.
//! - [`view`]: the snapshot of the fleet that plans are checked against.

pub mod operator;
pub mod server;
pub mod status;
pub mod view;

pub use server::{AdminHandler, AdminOptions};
