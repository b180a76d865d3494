//! A router for servers of which each key has a single owner at a time.
//!
//! This crate re-exports the crates without I/O: `core` holds the shared types, `lease` decides who
//! owns each slice, `assign` where slices are placed, `route` where a request is sent, `admit` when
//! it is dispatched, and `intent` turns the intents of operators into plans.

#[doc(inline)]
pub use wagtail_admit as admit;
#[doc(inline)]
pub use wagtail_assign as assign;
#[doc(inline)]
pub use wagtail_core as core;
#[doc(inline)]
pub use wagtail_intent as intent;
#[doc(inline)]
pub use wagtail_lease as lease;
#[doc(inline)]
pub use wagtail_route as route;
