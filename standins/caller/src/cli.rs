//! The command line of the caller stand-in.

use crate::plan::PlannedService;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::{net::SocketAddr, path::PathBuf, sync::Arc};
use wagtail_core::ids::ServiceName;

/// `CallerOptions` holds the options from the command line.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// The `callers` addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// The number of requests.
    pub requests: usize,
    /// The number of callers.
    pub callers: usize,
    /// The total request rate of all callers per second.
    pub rate: u64,
    /// The number of keys of each keyed service.
    pub keys: u32,
    /// The seed of the planned requests.
    pub seed: u64,
    /// The services that requests are sent to.
    pub services: Vec<PlannedService>,
    /// The longest wait in milliseconds until every slice is served for the first time.
    pub ready_ms: u64,
    /// The wait in milliseconds after the last outcome before the logs are read.
    pub settle_ms: u64,
    /// The execution logs of all targets.
    pub logs: Vec<PathBuf>,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };

    Command::new("caller-standin")
        .about("Stands in for the callers: sends requests and checks the responses")
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_name("ADDRESS,...")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .help("The callers addresses of the daemons"),
        )
        .arg(
            Arg::new("services")
                .long("services")
                .value_name("NAME[:SLICES],...")
                .required(true)
                .value_delimiter(',')
                .value_parser(parse_service)
                .help("The services; a keyed one names its number of slices"),
        )
        .arg(
            Arg::new("check-logs")
                .long("check-logs")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The execution logs of all targets"),
        )
        .arg(number("requests", "4000", "The number of requests"))
        .arg(number("callers", "32", "The number of callers"))
        .arg(number(
            "rate",
            "400",
            "The total request rate of all callers per second",
        ))
        .arg(number(
            "keys",
            "500",
            "The number of keys of each keyed service",
        ))
        .arg(number("seed", "1", "The seed of the planned requests"))
        .arg(number(
            "ready-ms",
            "30000",
            "The longest wait in milliseconds until every slice is served for the first time",
        ))
        .arg(number(
            "settle-ms",
            "500",
            "The wait in milliseconds after the last outcome before the logs are read",
        ))
}

/// Reads the options from the command line.
///
/// # Panics
///
/// Panics when the matches are not those of [`command`].
pub fn read_options(matches: &ArgMatches) -> CallerOptions {
    let number = |name: &str| {
        *matches
            .get_one::<u64>(name)
            .expect("the argument has a default value")
    };
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);

    CallerOptions {
        nodes: read_list(matches, "nodes"),
        requests: count("requests"),
        callers: count("callers"),
        rate: number("rate"),
        keys: u32::try_from(number("keys")).unwrap_or(u32::MAX),
        seed: number("seed"),
        services: read_list(matches, "services"),
        ready_ms: number("ready-ms"),
        settle_ms: number("settle-ms"),
        logs: read_list(matches, "check-logs"),
    }
}

/// Returns all values of an argument that takes several.
fn read_list<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}

/// Parses `NAME` of a service without keys, or `NAME:SLICES` of a keyed one.
fn parse_service(text: &str) -> Result<PlannedService, String> {
    let (name, slices) = match text.split_once(':') {
        Some((name, slices)) => {
            let slices: u32 = slices.parse().map_err(|error| format!("{error}"))?;
            (name, slices.max(1))
        }
        None => (text, 0),
    };
    let name = ServiceName::new(name).map_err(|error| error.to_string())?;

    Ok(PlannedService {
        name: Arc::from(name.as_str()),
        slices,
    })
}
