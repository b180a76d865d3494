//! The administration API.
//!
//! - [`server`]: the HTTP server and its routes.
//! - [`operator`]: plans and confirmations, driven against the platform.
//! - [`status`]: the state of this daemon.
//! - [`view`]: the fleet as plans see it.

pub mod operator;
pub mod server;
pub mod status;
pub mod view;

pub use server::{AdminHandler, AdminOptions};
