//! A stand-in for a target, with slots, fenced grants and faults on demand.
//!
//! The wire format is on the page `docs/PROTOCOLS.md`.
//!
//! - [`options`]: what the command line sets.
//! - [`faults`]: the faults that a control call switches.
//! - [`grants`]: the fenced grants.
//! - [`slots`]: the slots and the queue before them.
//! - [`cli`]: the command line.
//! - [`execution`]: the log of executions.
//! - [`order`]: the header fields of an order.
//! - [`health`]: the health report, which lags or lies.
//! - [`state`]: all that the stand-in knows.
//! - [`work`]: the run of one order.
//! - [`guard`]: the guards that count an order and record its execution.
//! - [`answer`]: the answers to orders.
//! - [`api`]: the calls of the HTTP API.
//! - [`announce`]: the announcements to the daemon beside it.

pub mod announce;
pub mod answer;
pub mod api;
pub mod cli;
pub mod execution;
pub mod faults;
pub mod grants;
pub mod guard;
pub mod health;
pub mod options;
pub mod order;
pub mod slots;
pub mod state;
pub mod work;
