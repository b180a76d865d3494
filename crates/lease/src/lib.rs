//! Lease decisions of owners, witnesses and deputies.
//!
//! Ownership changes only by a conditional update of the platform's record or by a takeover
//! whose record is written later. Leases are renewed between peers: an owner serves only while a
//! majority of its set granted the slice within the term. A witness never has grants to two
//! holders outstanding at once, so that two majorities can't serve at the same instant.
//!
//! What is survived with sets of five, with the platform up or down: the loss of the owner and any
//! one other member, or of one whole zone when the set is spread over three. With sets of three
//! (fleets of three or four) it is the owner alone. When more is lost, the slice stays unserved until
//! members return or the operator says which are gone for good. Members that restart with nothing
//! remembered return after one term, once a majority of the others told them what they had
//! promised; when too few remember, the platform must be up.
//!
//! What the daemon owes: incarnations that grow with each start, a clock that counts the time spent
//! suspended, a question to [`LeaseMachine::may_serve`] before each dispatch, and no deadline past
//! [`ServeGrant::until`].
//!
//! Nothing here reads a clock or does input or output: [`LeaseMachine::handle`] takes the time
//! and an event and returns the actions that the daemon carries out.
//!
//! - [`options`]: the times and rates, with a check that refuses unsafe combinations.
//! - [`event`]: what the machine is told.
//! - [`action`]: what the machine asks for.
//! - [`message`]: what the machines of two nodes say to each other.
//! - [`serve`]: what the daemon asks before it dispatches, routes or reports.
//! - [`machine`]: the state machine of one node.

pub mod action;
pub mod event;
mod holder;
pub mod machine;
mod members;
pub mod message;
pub mod options;
mod pairs;
mod planning;
mod platform;
mod quorum;
mod recording;
mod renewing;
pub mod serve;
mod serving;
mod takeover;
mod witness;
mod witnesses;

pub use action::{LeaseAction, LeaseProblem};
pub use event::{LeaseEvent, MemberInfo, VersionedRecord, WriteOutcome};
pub use machine::LeaseMachine;
pub use message::LeaseMessage;
pub use options::{LeaseOptions, OptionsError};
pub use serve::{LeaseSummary, OwnerHint, ServeGrant};
