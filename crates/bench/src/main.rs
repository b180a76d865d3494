//! Measurements of the decisions in virtual time and of the daemons over loopback.

mod requests;

use clap::Command;

/// Runs the program.
fn main() {
    let matches = Command::new("wagtail-bench")
        .subcommand_required(true)
        .subcommand(requests::report::command())
        .get_matches();

    if let Some(("requests", matches)) = matches.subcommand() {
        requests::report::run(matches);
    }
}
