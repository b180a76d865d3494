//! The command line of the target stand-in.

use crate::options::TargetOptions;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Returns the definition of the command line.
pub fn command() -> Command {
    let defaults = TargetOptions::default();
    let number = |name: &'static str, default: u64, help: &str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .value_parser(value_parser!(u64))
            .help(format!("{help} [default: {default}]"))
    };

    Command::new("target-standin")
        .about("Stands in for a target, with slots, fenced grants and injectable faults")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The address to listen on, which is announced"),
        )
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("The local address of the daemon of the target"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .required(true)
                .help("The service that the target serves"),
        )
        .arg(
            Arg::new("fenced")
                .long("fenced")
                .action(ArgAction::SetTrue)
                .help("Runs a keyed request only under a valid grant"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Appends the execution log to a file"),
        )
        .arg(number(
            "slots",
            u64::from(defaults.slots),
            "The number of requests that run concurrently",
        ))
        .arg(number(
            "queue",
            defaults.queue as u64,
            "The maximum number of requests that wait for a slot",
        ))
        .arg(number(
            "cold-ms",
            defaults.cold_ms,
            "The duration of a cold start in milliseconds",
        ))
        .arg(number(
            "drain-ms",
            defaults.drain_ms,
            "The longest wait in milliseconds for requests in flight at shutdown",
        ))
        .arg(number(
            "seed",
            defaults.seed,
            "The seed of the random faults",
        ))
}

/// Reads the options from the command line.
///
/// # Panics
///
/// Panics when the matches are not those of [`command`].
pub fn read_options(matches: &ArgMatches) -> TargetOptions {
    let defaults = TargetOptions::default();
    let number = |name: &str, default: u64| matches.get_one(name).copied().unwrap_or(default);
    let address = |name: &str| matches.get_one::<SocketAddr>(name).copied();
    let service = matches
        .get_one::<String>("service")
        .expect("clap requires the argument");

    TargetOptions {
        listen: address("listen").expect("clap requires the argument"),
        daemon: address("daemon"),
        service: Arc::from(service.as_str()),
        slots: u32::try_from(number("slots", u64::from(defaults.slots))).unwrap_or(u32::MAX),
        queue: usize::try_from(number("queue", defaults.queue as u64)).unwrap_or(usize::MAX),
        fenced: matches.get_flag("fenced"),
        cold_ms: number("cold-ms", defaults.cold_ms),
        drain_ms: number("drain-ms", defaults.drain_ms),
        log: matches.get_one::<PathBuf>("log").cloned(),
        seed: number("seed", defaults.seed),
    }
}
