//! Measurements of the decisions in virtual time and of the daemons over loopback.

mod assign;

use clap::Command;

/// Runs the program.
fn main() {
    let matches = Command::new("wagtail-bench")
        .about("Measures the decisions in virtual time and the daemons over loopback")
        .subcommand_required(true)
        .subcommand(assign::command())
        .get_matches();

    if let Some(("assign", matches)) = matches.subcommand() {
        assign::run(matches);
    }
}
