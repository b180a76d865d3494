//! Measures memory, messages and processor time by size, for `docs/CAPACITY.md`.

mod admit;
mod choice;
mod fit;
mod fleet;
mod lease;
mod losses;
pub mod path;
mod process;
mod records;
mod region;

use clap::{Arg, ArgMatches, Command};

/// The names of the tables, in the order of `docs/CAPACITY.md`.
const TABLES: [&str; 10] = [
    "lease-nodes",
    "lease-slices",
    "records",
    "fleet",
    "admit-time",
    "admit-memory",
    "admit-queue",
    "choice",
    "losses",
    "region",
];

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("capacity")
        .about("Measures one table of docs/CAPACITY.md, with the fit and its error")
        .arg(
            Arg::new("table")
                .required(true)
                .value_parser(TABLES)
                .help("The table; each runs in a process of its own, as it reads its memory"),
        )
}

/// Runs one table and prints its rows as comma-separated values, then its fits.
pub fn run(matches: &ArgMatches) {
    let table = matches
        .get_one::<String>("table")
        .map_or("", String::as_str);

    match table {
        "lease-nodes" => lease::by_nodes(),
        "lease-slices" => lease::by_slices(),
        "records" => records::run(),
        "fleet" => fleet::run(),
        "admit-time" => admit::by_tenants(),
        "admit-memory" => admit::by_identifiers(),
        "admit-queue" => admit::by_queue(),
        "choice" => choice::run(),
        "losses" => losses::run(),
        "region" => region::run(),
        _ => {}
    }
}
