//! Benchmarks of the decision crates in virtual time and of the daemons over loopback.

mod assign;
mod capacity;
mod lease;
mod requests;

use clap::Command;
use std::process::ExitCode;

/// Dispatches to the subcommand and reports failed invariants in the exit code.
fn main() -> ExitCode {
    let matches = Command::new("wagtail-bench")
        .about("Measures the decisions in virtual time and the daemons over loopback")
        .subcommand_required(true)
        .subcommand(assign::command())
        .subcommand(capacity::command())
        .subcommand(capacity::path::command())
        .subcommand(lease::storm_command())
        .subcommand(requests::report::command())
        .subcommand(lease::measure_command())
        .get_matches();

    let has_passed = match matches.subcommand() {
        Some(("assign", arguments)) => {
            assign::run(arguments);
            true
        }
        Some(("capacity", arguments)) => {
            capacity::run(arguments);
            true
        }
        Some(("capacity-path", arguments)) => {
            capacity::path::run(arguments);
            true
        }
        Some(("lease-storm", arguments)) => lease::run_storms(arguments),
        Some(("requests", arguments)) => {
            requests::report::run(arguments);
            true
        }
        Some(("lease-measure", arguments)) => lease::run_measurements(arguments),
        _ => false,
    };

    if has_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
