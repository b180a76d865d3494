//! Requests a second and latency through real daemons, beside the target called directly.

use super::{
    fit::float_of,
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

/// The longest wait for a connection and for an answer.
const WAIT: Duration = Duration::from_secs(5);
/// The time that a caller gives a request, in milliseconds.
const DEADLINE_MS: u64 = 5_000;
/// The greatest recorded latency in microseconds.
const LONGEST_US: u64 = 10_000_000;
/// The significant digits of the histogram.
const DIGITS: u8 = 3;
/// The rounds in which the two ways take turns, so that a busy machine slows both.
const ROUNDS: usize = 3;
/// The time of warming up before the first round.
const WARM_UP: Duration = Duration::from_secs(2);

/// `PathResult` is what one way carried.
#[derive(Debug)]
struct PathResult {
    /// The latencies of the good answers in microseconds.
    latencies: Histogram<u64>,
    /// The failed requests.
    failed: u64,
    /// The measured time.
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

/// Runs both ways in turn and prints their lines and ratios.
///
/// # Panics
///
/// Panics when no runtime can start.
pub fn run(matches: &ArgMatches) {
    let runtime = Runtime::new().expect("the runtime starts");

    runtime.block_on(measure_ways(matches));
}

/// Measures the ways in turn.
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
            float_of(routed.latencies.value_at_quantile(quantile))
                / float_of(called.latencies.value_at_quantile(quantile).max(1))
        };
        println!("ratio p50 {:.2} p99 {:.2}", ratio(0.5), ratio(0.99));
    }
    routed.print_processes(&load.pids);
}

/// `PathLoad` is a closed loop of requests.
#[derive(Debug)]
struct PathLoad {
    service: String,
    key: Option<String>,
    connections: u64,
    time: Duration,
    pids: Vec<u32>,
}

impl PathLoad {
    /// Reads the load from the command line.
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

    /// Sends requests for a time, each connection one after the other.
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

/// `PathCall` is one connection's requests.
#[derive(Debug)]
struct PathCall {
    address: SocketAddr,
    path: String,
    key: Option<String>,
    connection: u64,
}

impl PathCall {
    /// Sends one request after the other until the end.
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
            let answer = open.send(self.request(count), WAIT).await;
            let micros = u64::try_from(sent.elapsed().as_micros()).unwrap_or(LONGEST_US);

            match answer {
                Ok(answer) if answer.status.is_success() => {
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

    /// Makes one request.
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
    /// Makes a result without requests.
    fn new(processes: usize) -> Self {
        Self {
            latencies: Histogram::new_with_max(LONGEST_US, DIGITS)
                .expect("the bounds are those that the histogram allows"),
            failed: 0,
            elapsed: Duration::ZERO,
            times: vec![ProcessTime::default(); processes],
        }
    }

    /// Adds the requests of another connection.
    fn merge(&mut self, other: &Self) {
        self.latencies
            .add(&other.latencies)
            .expect("both have the same bounds");
        self.failed += other.failed;
    }

    /// Adds a later round.
    fn add(&mut self, other: Self) {
        self.merge(&other);
        self.elapsed += other.elapsed;
        for (time, added) in self.times.iter_mut().zip(other.times) {
            *time = time.plus(added);
        }
    }

    /// Prints the line of a way.
    fn print(&self, way: &str, connections: u64) {
        println!(
            "{way},{connections},{:.0},{},{},{}",
            float_of(self.latencies.len()) / self.elapsed.as_secs_f64(),
            self.failed,
            self.latencies.value_at_quantile(0.5),
            self.latencies.value_at_quantile(0.99),
        );
    }

    /// Prints the processor time of each process, for all requests of this way together.
    fn print_processes(&self, pids: &[u32]) {
        let requests = float_of(self.latencies.len().max(1));

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
