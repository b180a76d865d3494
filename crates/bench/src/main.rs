//! Measurements of the decisions in virtual time and of the daemons over loopback.

mod lease;

use clap::Command;
use std::process::ExitCode;

/// Runs the program.
fn main() -> ExitCode {
    let matches = Command::new("wagtail-bench")
        .about("Measures the decisions in virtual time and the daemons over loopback")
        .subcommand_required(true)
        .subcommand(lease::storm_command())
        .subcommand(lease::measure_command())
        .get_matches();

    let is_green = match matches.subcommand() {
        Some(("lease-storm", arguments)) => lease::run_storms(arguments),
        Some(("lease-measure", arguments)) => lease::run_measurements(arguments),
        _ => false,
    };

    if is_green {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
