//! Admission, queues and slots beside a target.
//!
//! The daemon beside a target alone queues and dispatches to it, so the decisions here know its
//! slots exactly. [`AdmitMachine`] takes events with the time at which they happened and returns
//! actions; it reads no clock and opens no socket.
//!
//! - [`machine`]: the state machine from arrival to the one final answer.
//! - [`messages`]: its events and actions.
//! - [`options`]: its settings.
//! - [`estimate`]: learned durations of the operations.
//! - [`fair`]: the queue that divides slots between tenants.
//! - [`identifier`]: what an identifier tells of its age.
//! - [`limit`]: the concurrency limit that adapts to the target.
//! - [`slowdown`]: the search for fewer concurrent orders.
//! - [`pressure`]: bursts and overloads.
//! - [`memory`]: the identifiers and answers of non-idempotent requests.
//! - [`summary`]: the state for the status page.

pub mod estimate;
pub mod fair;
pub mod identifier;
pub mod limit;
pub mod machine;
pub mod memory;
pub mod messages;
pub mod options;
pub mod pressure;
pub mod slowdown;
pub mod summary;
mod work;

pub use identifier::issued_unix_ms;
pub use machine::AdmitMachine;
pub use memory::{MemoryEntry, MemoryTransfer};
pub use messages::{
    AdmitAction, AdmitEvent, AdmitRefusal, IdentifierAge, WorkArrival, WorkOutcome,
};
pub use options::{AdmitOptions, TenantShare};
pub use summary::AdmitSummary;
