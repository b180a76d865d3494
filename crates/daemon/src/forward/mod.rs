//! Forwarding of requests from the ingress to the daemons that serve them.
//!
//! - [`forwarder`]: the attempts of a request and its single final response.
//! - `choice`: choosing the node to try next.
//! - `attempt`: one attempt to send a request to a node.
//! - `learning`: learning the owners of slices and the health of targets from attempts.
//! - `outcome`: classification of the outcomes of attempts.

mod attempt;
mod choice;
pub mod forwarder;
mod learning;
mod outcome;

pub use forwarder::{ForwardOptions, RequestForwarder};
