//! Nodes as processes on loopback addresses, with their settings and the configuration.

use crate::{
    http::{call, request, wait_until},
    json::{Json, map, num, text},
    store::Store,
};
use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Sends a process a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The longest time that a script takes.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Ends the script, with its processes, when it takes too long or its main thread fails.
fn watch_time() {
    let main_thread = std::thread::current().id();
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        if std::thread::current().id() == main_thread {
            end_script();
        }
    }));

    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        println!("the script takes too long");
        end_script();
    });
}

/// Ends the processes and then the script, which counts as one that could not run.
fn end_script() -> ! {
    if let Ok(processes) = PROCESSES.lock() {
        for process in processes.iter() {
            unsafe {
                kill(*process as i32, SIGKILL);
            }
        }
    }
    std::process::exit(NOT_RUN);
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the time of day in milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A small generator of random numbers.
#[derive(Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number in 0..1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What was sent, answered and run, with times since the start.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the second argument of the program names.
    pub fn new() -> Self {
        let path = std::env::args().nth(1).expect("the path of the record");
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).unwrap()),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, line: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:9.4} {line}");
    }
}

/// A node with its addresses.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub host: String,
    /// Where callers send their requests.
    pub outbound: SocketAddr,
    pub readiness: SocketAddr,
    pub admin: SocketAddr,
    /// Where the node expects its upstream.
    pub app: SocketAddr,
    settings: PathBuf,
    starts: u32,
    child: Option<Child>,
}

/// The nodes, their store and the folder of their settings and logs.
#[derive(Debug)]
pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    program: PathBuf,
}

/// Returns loopback hosts that are not in use: the ports of the fleet and of the metrics are free there.
fn free_hosts(count: usize, ports: &[u16]) -> Vec<String> {
    let mut random = Random(unix_millis() ^ (u64::from(std::process::id()) << 20) | 1);
    let mut hosts = Vec::new();
    while hosts.len() < count {
        let (a, b, c) = (
            16 + random.next() % 200,
            random.next() % 256,
            2 + random.next() % 250,
        );
        let host = format!("127.{a}.{b}.{c}");
        let is_free = ports
            .iter()
            .all(|port| TcpListener::bind((host.as_str(), *port)).is_ok());
        if is_free && !hosts.contains(&host) {
            hosts.push(host);
        }
    }
    hosts
}

impl Fleet {
    /// Prepares a node for each of `services`, in zones a, b and c by turns. `contracts` is added to the
    /// contracts of a small deployment.
    pub fn new(services: &[&str], heartbeat: f64, contracts: &str) -> Self {
        watch_time();
        let (store, store_address) = Store::start("127.0.0.1");
        let folder = std::env::temp_dir().join(format!(
            "wagtail-review-{}-{}",
            std::process::id(),
            unix_millis()
        ));
        fs::create_dir_all(&folder).unwrap();
        let ports = [9464, 8300, 8301, 8302, 8304, 8306];
        let hosts = free_hosts(services.len(), &ports);
        let zones = ["qc-east-a", "qc-east-b", "qc-east-c"];

        let nodes = services
            .iter()
            .zip(hosts)
            .enumerate()
            .map(|(index, (service, host))| {
                let name = format!("sidecar-{index}");
                let zone = zones[index % zones.len()];
                let settings = folder.join(format!("{name}.conf"));
                let lines = format!(
                    "nodeId={name}\nrole=node\nmachineClass=sidecar\nserves=sidecar\nip={host}\n\
                     zone={zone}\nregion=qc-east\nzones.qc-east-a=qc-east\nzones.qc-east-b=qc-east\n\
                     zones.qc-east-c=qc-east\nlistenAddrs.inbound={host}:8300\n\
                     listenAddrs.outbound={host}:8304\nlistenAddrs.readiness={host}:8302\n\
                     listenAddrs.admin={host}:8306\nportRange=7620,7635\nseeds=\nbootstrap=true\n\
                     lossCounts=false\nlimits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=260\n\
                     limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=static\n\
                     entrypoint=static\nheartbeatIntervalS={heartbeat}\n\
                     contracts=base,drain,config,cost,retry,recover,own,platform{contracts}\n\
                     faultTolerance.nodes=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
                     bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stabilityWindowS=3\n\
                     bounds.ackS=4\nbounds.syncS=4\nbounds.drainS=2\nbounds.graceS=6\n\
                     bounds.lossSlackS=0.2\nbounds.configApplyS=2\nbounds.rollbackSlackS=0.25\n\
                     bounds.maxSkewS=5\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
                     bounds.retryBudgetSlack=58\nbounds.recoverS=15\nbounds.holdMaxS=10\n\
                     bounds.thawS=0.3\ngrants=heartbeat\nappAddr={host}:8301\nservice={service}\n\
                     platform.address={store_address}\nplatform.form=objects\n\
                     platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
                     platform.valueBytes=1048576\nplatform.minTtlS=1\n"
                );
                fs::write(&settings, lines).unwrap();
                let at = |port: u16| SocketAddr::new(host.parse::<IpAddr>().unwrap(), port);
                Node {
                    name,
                    outbound: at(8304),
                    readiness: at(8302),
                    admin: at(8306),
                    app: at(8301),
                    host,
                    settings,
                    starts: 0,
                    child: None,
                }
            })
            .collect();

        Self {
            store,
            nodes,
            folder,
            program: PathBuf::from("target/release/wagtail-node"),
        }
    }

    /// Starts a node with the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log = self
            .folder
            .join(format!("{}-{}.log", node.name, node.starts));
        node.starts += 1;
        let log = File::create(log).unwrap();
        let mut command = Command::new(&self.program);
        command
            .args(["--metrics-port", "9464"])
            .env("WAGTAILPULLEY_CONFIG", &node.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        // The node ends with the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => {
                PROCESSES.lock().unwrap().push(child.id());
                node.child = Some(child);
            }
            Err(error) => {
                println!("the node cannot be started: {error}");
                std::process::exit(NOT_RUN);
            }
        }
    }

    /// Starts all nodes and waits until they are ready; ends the script if they are not.
    pub fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
        for index in 0..self.nodes.len() {
            if !self.wait_until_ready(index, Duration::from_secs(15)) {
                println!("node {index} is not ready");
                self.finish(NOT_RUN);
            }
        }
    }

    /// Waits until a node says that it is ready.
    pub fn wait_until_ready(&self, index: usize, limit: Duration) -> bool {
        let node = &self.nodes[index];
        let ask = request("GET", "/readiness", &[("Host", "node")], b"");
        wait_until(limit, || {
            call(node.readiness, &ask, Duration::from_millis(500))
                .is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Sends a signal to a node.
    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &self.nodes[index].child {
            unsafe {
                kill(child.id() as i32, signal);
            }
        }
    }

    /// Returns whether the process of a node has ended, with its exit status.
    pub fn ended(&mut self, index: usize) -> Option<String> {
        let child = self.nodes[index].child.as_mut()?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Kills a node with SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(child) = self.nodes[index].child.as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all nodes, removes the folder (unless KEEP is set) and ends the script.
    pub fn finish(&mut self, code: i32) -> ! {
        for index in 0..self.nodes.len() {
            self.signal(index, SIGCONT);
            self.kill(index);
        }
        if std::env::var("KEEP").is_ok() {
            println!("the logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code);
    }
}

/// A route of the configuration.
#[derive(Debug, Clone)]
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout: f64,
    pub service: &'a str,
}

/// Returns a configuration for the host `hulo84.example`. The services whose names are in `keyed` divide
/// their keys.
pub fn config(version: u32, routes: &[Route<'_>], services: &[&str], keyed: &[&str]) -> Json {
    let mut resources = Vec::new();
    for route in routes {
        resources.push(map(&[
            ("resourceKind", text("routes")),
            ("metadata", map(&[("name", text(route.name))])),
            (
                "spec",
                map(&[
                    ("host", text("hulo84.example")),
                    ("pathPrefix", text(route.prefix)),
                    ("routeType", text(route.kind)),
                    ("timeoutS", num(route.timeout)),
                    ("targetLatencyS", num(0.4)),
                    ("priority", num(1.0)),
                    ("service", text(route.service)),
                    ("maxAttempts", num(2.0)),
                ]),
            ),
        ]));
    }
    for service in services {
        let mut spec = vec![
            ("healthPath", text("/health")),
            ("maxConnections", num(110.0)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
        ];
        if keyed.contains(service) {
            spec.push(("sharding", Json::Bool(true)));
            spec.push(("warmS", num(3.0)));
            spec.push(("grants", text("heartbeat")));
        }
        resources.push(map(&[
            ("resourceKind", text("services")),
            ("metadata", map(&[("name", text(service))])),
            ("spec", map(&spec)),
        ]));
    }
    resources.push(map(&[
        ("resourceKind", text("limits")),
        ("metadata", map(&[])),
        (
            "spec",
            map(&[
                ("maxHeaderBytes", num(16_384.0)),
                ("maxBodyBytes", num(67_108_864.0)),
                ("headerTimeoutS", num(3.0)),
                ("idleTimeoutS", num(15.0)),
            ]),
        ),
    ]));

    map(&[
        ("version", text(&format!("{version:08x}"))),
        ("resources", Json::List(resources)),
    ])
}
