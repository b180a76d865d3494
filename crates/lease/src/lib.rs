//! Lease decisions of owners, witnesses and deputies.
//!
//! Ownership changes only by a conditional update of the platform's record or by a takeover
//! whose record is written later. Leases are renewed between peers: an owner serves only while a
//! majority of its set granted the slice within the term. A witness never has grants to two
//! holders outstanding at once, so that two majorities can't serve at the same instant.
//!
//! Nothing here reads a clock or does input or output: [`LeaseMachine::handle`] takes the time
//! and an event and returns the actions that the daemon carries out.
//!
//! - [`options`]: the times and rates, with a check that refuses unsafe combinations.
//! - [`event`]: what the machine is told.
//! - [`action`]: what the machine asks for.
//! - [`message`]: what the machines of two nodes say to each other.
//! - [`machine`]: the state machine of one node.

pub mod action;
pub mod event;
pub mod machine;
pub mod message;
pub mod options;

pub use action::{LeaseAction, LeaseProblem};
pub use event::{LeaseEvent, MemberInfo, VersionedRecord, WriteOutcome};
pub use machine::{LeaseMachine, LeaseSummary, OwnerHint, ServeGrant};
pub use message::LeaseMessage;
pub use options::{LeaseOptions, OptionsError};
