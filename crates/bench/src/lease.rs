//! Storms and measurements of the lease machines in virtual time.

#[path = "../../lease/tests/lease/driver/mod.rs"]
#[expect(
    clippy::needless_pass_by_value,
    reason = "the driver belongs to the tests of the leases"
)]
pub(crate) mod driver;

use clap::{Arg, ArgMatches, Command, value_parser};
use driver::{
    SECOND,
    storm::{run_storm, storm_options},
};

/// Returns the command that runs random faults.
pub fn storm_command() -> Command {
    Command::new("lease-storm")
        .about("Runs the lease machines under random faults, one run a seed")
        .arg(number("seeds", "100", "the runs"))
        .arg(number("first", "0", "the seed of the first run"))
        .arg(number(
            "seconds",
            "60",
            "the virtual seconds of faults in a run",
        ))
}

/// Runs random faults and returns whether every run was green.
pub fn run_storms(arguments: &ArgMatches) -> bool {
    let get = |name: &str| *arguments.get_one::<u64>(name).unwrap_or(&0);
    let (seeds, first, seconds) = (get("seeds"), get("first"), get("seconds"));

    let mut failed = 0;
    let mut checked = 0;
    let mut faults = 0;

    for seed in first..first + seeds {
        let result = run_storm(storm_options(seed), seconds * SECOND);
        let counts = &result.world.counts;

        checked += counts.owners + counts.epochs + counts.work + counts.records;
        faults += result.faults;

        if !result.is_green() {
            failed += 1;
            println!("seed {seed} failed");
            print_first(&result.world.violations);
            print_first(&result.unsettled);
            println!(
                "  replay: cargo run --release -p wagtail-bench -- lease-storm --seeds 1 --first {seed} --seconds {seconds}"
            );
        }
    }

    println!("runs={seeds} failed={failed} faults={faults} checks={checked}");

    failed == 0 && checked > 0
}

/// Prints the first few lines of a list.
fn print_first(lines: &[String]) {
    for line in lines.iter().take(3) {
        println!("  {line}");
    }
}

/// Returns a numeric argument.
fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
