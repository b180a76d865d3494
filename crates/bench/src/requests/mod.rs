//! Simulates request routing and admission in virtual time and compares them with a naive version.
//!
//! - [`sizes`]: the sizes of the simulated fleets.
//! - [`workload`]: the generated calls, the same for each version.
//! - [`faults`]: the faults that are injected into the targets.
//! - [`target`]: the simulated target and the record of its executions.
//! - [`naive`]: the admission of the naive version.
//! - [`ingress`]: the routing and retry decisions of the node that a caller connects to.
//! - [`world`]: the discrete-event simulation.
//! - [`checks`]: the counters of the checked and violated invariants.
//! - [`broken`]: deliberately broken variants, one violated invariant each.
//! - [`score`]: the metrics of a run.
//! - [`scenarios`]: the measured scenarios.
//! - [`report`]: the `requests` subcommand and its output.

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
