//! Measurements of the request decisions in virtual time, against a naive version.
//!
//! - [`sizes`]: the two deployments.
//! - [`workload`]: the calls of a run, the same for each version.
//! - [`faults`]: what goes wrong in a run.
//! - [`target`]: the fake target with its log.
//! - [`naive`]: the naive version.
//! - [`ingress`]: what the node does that a caller reached.
//! - [`world`]: the event loop.
//! - [`checks`]: the invariants.
//! - [`broken`]: variants that break one invariant each.
//! - [`score`]: the figures of a run.
//! - [`scenarios`]: the measured situations.
//! - [`report`]: the command.

pub mod broken;
pub mod checks;
pub mod faults;
pub mod ingress;
pub mod naive;
pub mod report;
pub mod scenarios;
pub mod score;
pub mod sizes;
pub mod target;
pub mod workload;
pub mod world;
