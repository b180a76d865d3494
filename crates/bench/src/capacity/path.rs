//! Throughput and latency of requests through running daemons, compared with calling the target
//! directly.

use super::{
    fit::f64_from_u64,
    process::{ProcessTime, process_time},
};
use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use compio::runtime::{JoinHandle, Runtime};
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::Full;
use standin_net::client::ClientConnection;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The timeout of a connection attempt and of a response.
const WAIT: Duration = Duration::from_secs(5);
/// The deadline of each request in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// The greatest latency that the histogram records, in microseconds.
const LONGEST_US: u64 = 10_000_000;
/// The significant digits of the histogram.
const DIGITS: u8 = 3;
/// The number of rounds in which the direct and the routed path alternate, so that a busy machine
/// slows both.
const ROUNDS: usize = 3;
/// The warm-up time before the first round.
const WARM_UP: Duration = Duration::from_secs(2);

/// `PathResult` holds the measurements of one path, direct or routed.
#[derive(Debug)]
struct PathResult {
    /// The latencies of the successful responses in microseconds.
    latencies: Histogram<u64>,
    /// The number of failed requests.
    failed: u64,
    /// The total time of the measurement.
    elapsed: Duration,
    /// The processor time of each watched process.
    times: Vec<ProcessTime>,
}

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("capacity-path")
        .about("Measures requests a second and latency through daemons that run")
        .arg(
            address("direct")
                .value_delimiter(',')
                .help("The addresses of the targets, called in turn"),
        )
        .arg(address("through").help("The callers address of a daemon without such a target"))
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("PREFIX")
                .help("Sends keys with this prefix, for a keyed service; not sent to targets"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .default_value("patrones")
                .help("The service"),
        )
        .arg(number(
            "connections",
            "16",
            "The requests under way at a time",
        ))
        .arg(number("seconds", "10", "The measured time of each way"))
        .arg(
            Arg::new("pids")
                .long("pids")
                .value_name("PID,...")
                .value_delimiter(',')
                .required(true)
                .value_parser(value_parser!(u32))
                .help("The daemons whose processor time is read"),
        )
}

/// Measures the direct and the routed path in turn and prints their figures and ratios.
///
/// # Panics
///
/// Panics when the runtime cannot start.
pub fn run(matches: &ArgMatches) {
    let runtime = Runtime::new().expect("the runtime starts");

    runtime.block_on(measure_ways(matches));
}

/// Alternates between the two paths and prints their figures.
async fn measure_ways(matches: &ArgMatches) {
    let load = PathLoad::new(matches);
    let direct: Vec<SocketAddr> = matches
        .get_many::<SocketAddr>("direct")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let through: Vec<SocketAddr> = matches
        .get_one::<SocketAddr>("through")
        .into_iter()
        .copied()
        .collect();
    let part = load.time / u32::try_from(ROUNDS).unwrap_or(1);

    load.send(&through, true, WARM_UP).await;
    let mut called = PathResult::new(load.pids.len());
    let mut routed = PathResult::new(load.pids.len());
    for _ in 0..ROUNDS {
        if !direct.is_empty() {
            called.add(load.send(&direct, false, part).await);
        }
        routed.add(load.send(&through, true, part).await);
    }

    println!("way,connections,requests/s,failed,p50 us,p99 us");
    if !direct.is_empty() {
        called.print("direct", load.connections);
    }
    routed.print("through", load.connections);
    if !direct.is_empty() {
        let ratio = |quantile: f64| {
            f64_from_u64(routed.latencies.value_at_quantile(quantile))
                / f64_from_u64(called.latencies.value_at_quantile(quantile).max(1))
        };
        println!("ratio p50 {:.2} p99 {:.2}", ratio(0.5), ratio(0.99));
    }
    routed.print_processes(&load.pids);
}

/// `PathLoad` describes a closed-loop load, with one request at a time on each connection.
#[derive(Debug)]
struct PathLoad {
    service: String,
    key: Option<String>,
    connections: u64,
    time: Duration,
    pids: Vec<u32>,
}

impl PathLoad {
    /// Creates the load from the command-line arguments.
    fn new(matches: &ArgMatches) -> Self {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let text = |name: &str| matches.get_one::<String>(name).cloned();

        Self {
            service: text("service").unwrap_or_default(),
            key: text("key"),
            connections: number("connections"),
            time: Duration::from_secs(number("seconds")),
            pids: matches
                .get_many::<u32>("pids")
                .into_iter()
                .flatten()
                .copied()
                .collect(),
        }
    }

    /// Sends requests for a duration on all connections, on each one after the other.
    async fn send(&self, addresses: &[SocketAddr], routed: bool, time: Duration) -> PathResult {
        let before: Vec<ProcessTime> = self.pids.iter().map(|pid| process_time(*pid)).collect();
        let started = Instant::now();
        let end = started + time;

        let tasks: Vec<JoinHandle<PathResult>> = (0..self.connections)
            .map(|index| {
                let place = usize::try_from(index).unwrap_or(0) % addresses.len();
                let call = PathCall {
                    address: addresses[place],
                    path: if routed {
                        format!("/{}/items", self.service)
                    } else {
                        "/items".to_owned()
                    },
                    key: self.key.clone().filter(|_| routed),
                    connection: index,
                };
                compio::runtime::spawn(call.run(end))
            })
            .collect();

        let mut total = PathResult::new(0);
        for task in tasks {
            total.merge(&task.await.expect("a caller does not panic"));
        }

        total.elapsed = started.elapsed();
        total.times = self
            .pids
            .iter()
            .zip(before)
            .map(|(pid, before)| process_time(*pid).since(before))
            .collect();
        total
    }
}

/// `PathCall` sends the requests of one connection.
#[derive(Debug)]
struct PathCall {
    address: SocketAddr,
    path: String,
    key: Option<String>,
    connection: u64,
}

impl PathCall {
    /// Sends one request after the other until `end`, reconnecting after errors.
    async fn run(self, end: Instant) -> PathResult {
        let mut result = PathResult::new(0);
        let mut connection = None;
        let mut count = 0;

        while Instant::now() < end {
            if connection.is_none() {
                connection = ClientConnection::connect(self.address, WAIT).await.ok();
            }
            let Some(open) = &mut connection else {
                result.failed += 1;
                compio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };

            count += 1;
            let sent = Instant::now();
            let response = open.send(self.request(count), WAIT).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(LONGEST_US);

            match response {
                Ok(response) if response.status.is_success() => {
                    result.latencies.saturating_record(micros);
                }
                Ok(_) => result.failed += 1,
                Err(_) => {
                    result.failed += 1;
                    connection = None;
                }
            }
        }

        result
    }

    /// Creates one request.
    fn request(&self, count: u64) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .uri(&self.path)
            .header(
                "wagtail-request-id",
                format!("path-{}-{count}", self.connection),
            )
            .header("wagtail-tenant", "malla")
            .header("wagtail-operation", "list")
            .header("wagtail-deadline-ms", DEADLINE_MS)
            .header("wagtail-time-left-ms", DEADLINE_MS)
            .header("standin-work-ms", 0)
            .header("standin-bytes", 0);
        if let Some(key) = &self.key {
            builder = builder.header("wagtail-key", format!("{key}-{}-{count}", self.connection));
        }

        builder
            .body(Full::new(Bytes::new()))
            .expect("the request is valid")
    }
}

impl PathResult {
    /// Creates an empty result for a number of watched processes.
    fn new(processes: usize) -> Self {
        Self {
            latencies: Histogram::new_with_max(LONGEST_US, DIGITS)
                .expect("the bounds are those that the histogram allows"),
            failed: 0,
            elapsed: Duration::ZERO,
            times: vec![ProcessTime::default(); processes],
        }
    }

    /// Adds the latencies and failures of another result.
    fn merge(&mut self, other: &Self) {
        self.latencies
            .add(&other.latencies)
            .expect("both have the same bounds");
        self.failed += other.failed;
    }

    /// Adds the requests, elapsed time and processor time of a later round.
    fn add(&mut self, other: Self) {
        self.merge(&other);
        self.elapsed += other.elapsed;
        for (time, added) in self.times.iter_mut().zip(other.times) {
            *time = time.plus(added);
        }
    }

    /// Prints the row of one path.
    fn print(&self, way: &str, connections: u64) {
        println!(
            "{way},{connections},{:.0},{},{},{}",
            f64_from_u64(self.latencies.len()) / self.elapsed.as_secs_f64(),
            self.failed,
            self.latencies.value_at_quantile(0.5),
            self.latencies.value_at_quantile(0.99),
        );
    }

    /// Prints the processor time of each process, per request of this path.
    fn print_processes(&self, pids: &[u32]) {
        let requests = f64_from_u64(self.latencies.len().max(1));

        println!("pid,% of a core,user us/request,system us/request");
        for (pid, time) in pids.iter().zip(&self.times) {
            println!(
                "{pid},{:.1},{:.1},{:.1}",
                (time.user + time.system) / self.elapsed.as_secs_f64() * 100.0,
                time.user * 1_000_000.0 / requests,
                time.system * 1_000_000.0 / requests,
            );
        }
    }
}

/// Returns an argument that takes an address.
fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .required(name == "through")
        .value_parser(value_parser!(SocketAddr))
}

/// Returns a numeric argument.
fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}
