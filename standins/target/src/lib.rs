//! A stand-in for a target, with slots, fenced grants and injectable faults.
//!
//! The wire format is on the page `docs/PROTOCOLS.md`.
//!
//! - [`options`]: the options of the target.
//! - [`faults`]: the faults that a control call injects.
//! - [`grants`]: the grants that fence requests by slice and epoch.
//! - [`slots`]: the slots and the queue of requests that wait for one.
//! - [`cli`]: the command line.
//! - [`execution`]: the execution log.
//! - [`fields`]: the header fields of a request.
//! - [`health`]: the health report, which lags and can be falsified.
//! - [`state`]: the state of the stand-in.
//! - [`work`]: the execution of one request.
//! - [`guard`]: guards that count a request and record its execution.
//! - [`respond`]: the responses to requests.
//! - [`api`]: the handlers of the HTTP API.
//! - [`announce`]: the announcements to the daemon of the target.

pub mod announce;
pub mod api;
pub mod cli;
pub mod execution;
pub mod faults;
pub mod fields;
pub mod grants;
pub mod guard;
pub mod health;
pub mod options;
pub mod respond;
pub mod slots;
pub mod state;
pub mod work;
