//! The program `wagtaild`, which runs the daemon.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::{fs, io, path::PathBuf, process::ExitCode};
use wagtail_daemon::run::run;
use wagtail_settings::DaemonSettings;
use wagtail_telemetry::logs::{init_logs, log_subscriber};

/// The exit code if the daemon could not start or requests were cut off at its end.
const EXIT_FAILED: u8 = 1;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Reads the settings, and checks them only (`--check`) or runs the daemon.
fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("config")
        .cloned()
        .unwrap_or_default();

    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{}: {message}", path.display());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(error) = log_subscriber(&settings.log, io::sink) {
        eprintln!("{}: log: {error}", path.display());
        return ExitCode::from(EXIT_SETTINGS);
    }
    if matches.get_flag("check") {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }

    if let Err(error) = init_logs(&settings.log) {
        eprintln!("{}: log: {error}", path.display());
        return ExitCode::from(EXIT_SETTINGS);
    }

    run_daemon(settings)
}

/// Defines the command line.
fn command() -> Command {
    Command::new("wagtaild")
        .version(crate_version!())
        .about("Routes requests to the servers that own their keys")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings in YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and end; exit code 2 when they have faults"),
        )
}

/// Reads and validates the settings; returns the error as a text.
fn read_settings(path: &PathBuf) -> Result<DaemonSettings, String> {
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;

    DaemonSettings::from_yaml(&text).map_err(|error| error.to_string())
}

/// Runs the daemon until it has shut down and returns the exit code.
fn run_daemon(settings: DaemonSettings) -> ExitCode {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime cannot start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };

    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
