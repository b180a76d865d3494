//! The `wagtail` command-line program.

use std::{env, process::ExitCode};
use wagtail_tool::{args, commands, errors};

/// Runs the command, prints an error to the standard error and returns the exit code.
fn main() -> ExitCode {
    let matches = args::build_command().get_matches();
    let variable = |name: &str| env::var(name).ok();

    let outcome = args::read_matches(&matches, variable).and_then(commands::run);

    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", errors::explain(&error, args::wants_json(&matches)));

            ExitCode::from(error.exit_status().code())
        }
    }
}
