//! What the cases share.

pub mod fleet;
pub mod http;
pub mod json;
pub mod store;
pub mod upstream;
