//! The way of a request from the ingress to the daemon that answers it.
//!
//! - [`forwarder`]: the attempts of a request, and its one final answer.
//! - `choice`: the node to try next.
//! - `attempt`: one attempt.
//! - `learning`: what an attempt tells of owners and targets.
//! - `outcome`: what an attempt ended with.

mod attempt;
mod choice;
pub mod forwarder;
mod learning;
mod outcome;

pub use forwarder::{ForwardOptions, RequestForwarder};
