//! Admission control, queueing and concurrency limits for one target.
//!
//! Only the daemon of a target queues and dispatches requests to it, so the machine here knows
//! exactly which slots are in use. [`AdmitMachine`] takes events with the time at which they
//! happened and returns actions; it reads no clock and does no I/O.
//!
//! - [`machine`]: the state machine that takes each arrival to its one final response.
//! - [`messages`]: its events and actions.
//! - [`options`]: its settings.
//! - [`estimate`]: learned durations of the operations.
//! - [`fair`]: the queue that divides slots between tenants.
//! - [`identifier`]: the time of issue that an identifier may carry.
//! - [`limit`]: the concurrency limit that adapts to the target.
//! - [`slowdown`]: the search for a lower concurrency at a slow target.
//! - [`pressure`]: the distinction between bursts and overloads.
//! - [`memory`]: identifiers and kept responses of non-idempotent requests.
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
