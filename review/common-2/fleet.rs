//! Nodes and upstreams as processes on loopback addresses.

use super::{
    http::{self, Message},
    json::Json,
    store::Store,

    upstream::Options,
};
use crate::unix_ms;
use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The ports, alike on all machines.
const INBOUND: u16 = 8300;
const APP: u16 = 8301;
const READINESS: u16 = 8302;
const OUTBOUND: u16 = 8304;
const ADMIN: u16 = 8306;
const STORE: u16 = 8309;

/// The time between two heartbeats of an upstream.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// `Event` is a line that an upstream printed: when, which one, and what.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    pub machine: usize,
    pub words: Vec<String>,
}

/// `Record` collects what is sent, answered and run.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    events: Arc<Mutex<Vec<Event>>>,
    /// The events that are left out of the text.
    hidden: Arc<Mutex<Vec<&'static str>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            lines: Arc::default(),
            events: Arc::default(),
            hidden: Arc::default(),
        }
    }

    /// Leaves some events of the upstreams out of the text, where the case notes them in a shorter form.
    pub fn hide(&self, words: &[&'static str]) {
        *self.hidden.lock().unwrap() = words.to_vec();
    }

    pub fn note(&self, line: String) {
        self.lines.lock().unwrap().push((unix_ms(), line));
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Writes the record, with times since the first line.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let start = lines.first().map_or(0, |(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:8.3} {line}\n", (at - start) as f64 / 1_000.0));
        }
        fs::write(path, text).expect("the record can be written");
    }
}

/// `Machine` is a node with its upstream.
pub struct Machine {
    pub index: usize,
    pub ip: Ipv4Addr,
    pub zone: String,
    settings: PathBuf,
    node: Option<Child>,
    upstream: Option<Child>,
    commands: Option<ChildStdin>,
    options: Options,
    starts: u32,
    record: Record,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn outbound(&self) -> SocketAddr {
        self.address(OUTBOUND)
    }

    /// Starts the node with the command of the deploy file.
    pub fn start_node(&mut self) {
        let log = File::options().create(true).append(true).open(self.settings.with_extension("log"));
        let child = Command::new("target/release/wagtail-node")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("WAGTAILPULLEY_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be written"))
            .stderr(Stdio::null())
            .spawn();
        self.node = Some(child.expect("the node starts"));
        self.record.note(format!("m{} node started", self.index));
    }

    pub fn kill_node(&mut self) {
        if let Some(mut node) = self.node.take() {
            drop(node.kill());
            drop(node.wait());
            self.record.note(format!("m{} node killed", self.index));
        }
    }

    /// Sends a signal to the node by its number.
    pub fn signal_node(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        if let Some(node) = &self.node {
            self.record.note(format!("m{} node gets signal {signal}", self.index));
            // SAFETY: the call takes two numbers, and the process is a child that was not waited for.
            unsafe { kill(node.id() as i32, signal) };
        }
    }

    /// Sends a signal to the upstream by its number.
    pub fn signal_upstream(&self, signal: i32) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        if let Some(upstream) = &self.upstream {
            self.record.note(format!("m{} upstream gets signal {signal}", self.index));
            // SAFETY: the call takes two numbers, and the process is a child that was not waited for.
            unsafe { kill(upstream.id() as i32, signal) };
        }
    }

    /// Returns whether the process of the node has ended by itself.
    pub fn node_ended(&mut self) -> bool {
        self.node.as_mut().is_some_and(|node| !matches!(node.try_wait(), Ok(None)))
    }

    /// Starts a new life of the upstream.
    pub fn start_upstream(&mut self, program: &Path) {
        self.starts += 1;
        self.options.id = format!("i-{}-{}", self.index, self.starts);
        let mut child = Command::new(program)
            .args(self.options.to_args())
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the upstream starts");
        let out = child.stdout.take().expect("the output is piped");
        self.commands = child.stdin.take();
        self.upstream = Some(child);
        let (record, machine, id) = (self.record.clone(), self.index, self.options.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut words = line.split(' ').map(str::to_owned);
                let at_ms = words.next().and_then(|at| at.parse().ok()).unwrap_or(0);
                let words: Vec<String> = words.collect();
                let is_hidden = words.first().is_some_and(|word| record.hidden.lock().unwrap().contains(&word.as_str()));
                if !is_hidden {
                    let line = format!("m{machine} {id} {}", words.join(" "));
                    record.lines.lock().unwrap().push((at_ms, line));
                }
                record.events.lock().unwrap().push(Event { at_ms, machine, words });
            }
        });
    }

    pub fn command(&mut self, line: &str) {
        if let Some(commands) = &mut self.commands {
            let _gone = writeln!(commands, "{line}");
        }
    }

    pub fn kill_upstream(&mut self) {
        if let Some(mut upstream) = self.upstream.take() {
            drop(upstream.kill());
            drop(upstream.wait());
            self.record.note(format!("m{} upstream killed", self.index));
        }
    }

    /// Returns whether the upstream has crashed, and forgets it if so.
    pub fn upstream_crashed(&mut self) -> bool {
        let has_ended = self.upstream.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if has_ended {
            self.upstream = None;
        }
        has_ended
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = http::call(self.address(READINESS), "GET", "/readiness", &[("host", "n")], b"", limit);
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        for child in [self.node.take(), self.upstream.take()].into_iter().flatten() {
            let mut child = child;
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// `Plan` is what a fleet consists of.
pub struct Plan {
    /// The service of each machine, and whether it is keyed.
    pub services: Vec<(&'static str, bool)>,
    pub slots: usize,
    pub work: Duration,
    pub crash_path: String,
    /// Further lines of the settings of all nodes.
    pub settings: String,
    pub config: Json,
}

/// `Fleet` is a store with its machines.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: Arc<Store>,
    pub record: Record,
    pub program: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(plan: Plan) -> Option<Fleet> {
        let record = Record::new();
        let base = free_base(plan.services.len())?;
        let ip = |host: usize| Ipv4Addr::new(127, base.0, base.1, host as u8 + 1);
        let folder = std::env::temp_dir().join(format!("wagtail-review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let store_address = SocketAddr::from((ip(0), STORE));
        let store = Store::start(store_address);
        store.put("config", "main", plan.config);
        let program = std::env::current_exe().ok()?;

        let mut machines = Vec::new();
        for (index, (service, keyed)) in plan.services.iter().enumerate() {
            let ip = ip(index + 1);
            let zone = format!("zone-{}", ["a", "b", "c"][index % 3]);
            let settings = folder.join(format!("m{index}.conf"));
            let text = settings_text(index, ip, &zone, service, store_address, &plan.settings);
            fs::write(&settings, text).ok()?;
            let options = Options {
                address: SocketAddr::from((ip, APP)),
                admin: SocketAddr::from((ip, ADMIN)),
                id: String::new(),
                service: (*service).to_owned(),
                zone: zone.clone(),
                keyed: *keyed,
                slots: plan.slots,
                work: plan.work,
                heartbeat: HEARTBEAT,
                crash_path: plan.crash_path.clone(),
            };
            machines.push(Machine {
                index,
                ip,
                zone,
                settings,
                node: None,
                upstream: None,
                commands: None,
                options,
                starts: 0,
                record: record.clone(),
            });
        }
        let mut fleet = Fleet {
            machines,
            store,
            record,
            program,
            folder,
        };
        for machine in &mut fleet.machines {
            machine.start_node();
            machine.start_upstream(&fleet.program);
        }
        fleet.wait_until_ready(Duration::from_secs(15)).then_some(fleet)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends_at = Instant::now() + limit;
        while Instant::now() < ends_at {
            if self.machines.iter().all(Machine::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the logs of the nodes to a folder, for whoever looks for a cause.
    pub fn keep_logs(&self, folder: &Path) {
        for machine in &self.machines {
            let log = machine.settings.with_extension("log");
            let _missing = fs::copy(&log, folder.join(format!("m{}.log", machine.index)));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Returns a part of the loopback range whose ports are free.
fn free_base(machines: usize) -> Option<(u8, u8)> {
    let seed = std::process::id();
    (0..200).find_map(|step| {
        let base = ((seed / 200 % 200 + 20) as u8, ((seed + step) % 200 + 20) as u8);
        let is_free = (0..=machines).all(|host| {
            let ip = Ipv4Addr::new(127, base.0, base.1, host as u8 + 1);
            [INBOUND, APP, READINESS, OUTBOUND, ADMIN, STORE]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        is_free.then_some(base)
    })
}

fn settings_text(index: usize, ip: Ipv4Addr, zone: &str, service: &str, store: SocketAddr, further: &str) -> String {
    format!(
        "nodeId=sidecar-{index}\nrole=node\nmachineClass=sidecar\nserves=sidecar\nip={ip}\nzone={zone}\n\
         region=r\nzones.zone-a=r\nzones.zone-b=r\nzones.zone-c=r\nlistenAddrs.inbound={ip}:{INBOUND}\n\
         listenAddrs.outbound={ip}:{OUTBOUND}\nlistenAddrs.readiness={ip}:{READINESS}\n\
         listenAddrs.admin={ip}:{ADMIN}\nportRange=7620,7635\nseeds=\nbootstrap=true\nlossCounts=false\n\
         limits.cpuShare=0.2\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
         limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=static\nentrypoint=static\n\
         heartbeatIntervalS=0.87\ncontracts=base,drain,config,cost,retry,recover,own,platform\n\
         faultTolerance.nodes=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\n\
         bounds.reuseAfterS=2\nbounds.stabilityWindowS=3\nbounds.ackS=4\nbounds.syncS=4\nbounds.drainS=2\n\
         bounds.graceS=6\nbounds.lossSlackS=0.2\nbounds.configApplyS=2\nbounds.rollbackSlackS=0.25\n\
         bounds.maxSkewS=5\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
         bounds.retryBudgetSlack=60\nbounds.recoverS=15\nbounds.holdMaxS=10\nbounds.thawS=0.3\n\
         grants=heartbeat\nappAddr={ip}:{APP}\nservice={service}\nplatform.address={store}\n\
         platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
         platform.valueBytes=1048576\nplatform.minTtlS=1\n{further}\n"
    )
}

/// `Ask` is a request of a client.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub body: &'a [u8],
    pub deadline: Duration,
}

impl Ask<'_> {
    /// Sends the request on a new connection.
    pub fn send(&self, address: SocketAddr, record: &Record) -> io::Result<Message> {
        record.note(format!("client sends {} {} {} to {address}", self.id, self.method, self.path));
        let answer = self.send_quietly(address);
        record.note(match &answer {
            Ok(answer) => format!("client gets {} for {}: {}", answer.status, self.id, answer.text()),
            Err(error) => format!("client gets nothing for {}: {error}", self.id),
        });
        answer
    }

    /// Sends the request without a note.
    pub fn send_quietly(&self, address: SocketAddr) -> io::Result<Message> {
        let wait = self.deadline.as_millis().to_string();
        let key = self.key.map(|key| key.to_string());
        let mut headers = vec![
            ("host", "shop.example"),
            ("wagtailpulley-request-id", self.id),
            ("wagtailpulley-request-deadline", wait.as_str()),
        ];
        if let Some(key) = &key {
            headers.push(("wagtailpulley-shard-key", key));
        }
        http::call(address, self.method, self.path, &headers, self.body, self.deadline)
    }
}

/// Returns a configuration with the routes `(name, prefix, type, service, maxAttempts, timeoutS)` and the services.
pub fn config(version: u32, routes: &[(&str, &str, &str, &str, u32, f64)], services: &[(&str, bool)]) -> Json {
    let resource = |kind: &str, name: &str, spec: Json| {
        Json::table(vec![
            ("resourceKind", Json::text(kind)),
            ("metadata", Json::table(vec![("name", Json::text(name))])),
            ("spec", spec),
        ])
    };
    let mut resources = Vec::new();
    for (name, prefix, kind, service, attempts, timeout) in routes {
        let spec = Json::table(vec![
            ("host", Json::text("shop.example")),
            ("pathPrefix", Json::text(prefix)),
            ("routeType", Json::text(kind)),
            ("timeoutS", Json::number(timeout)),
            ("targetLatencyS", Json::number(0.3)),
            ("priority", Json::number(1)),
            ("service", Json::text(service)),
            ("maxAttempts", Json::number(attempts)),
        ]);
        resources.push(resource("routes", name, spec));
    }
    for (name, keyed) in services {
        let spec = Json::table(vec![
            ("maxConnections", Json::number(120)),
            ("sharding", Json::Bool(*keyed)),
            ("warmS", Json::number(1)),
            ("healthPath", Json::text("/health")),
        ]);
        resources.push(resource("services", name, spec));
    }
    let limits = Json::table(vec![
        ("maxHeaderBytes", Json::number(16_384)),
        ("maxBodyBytes", Json::number(1_000_000)),
        ("headerTimeoutS", Json::number(3)),
        ("idleTimeoutS", Json::number(15)),
    ]);
    resources.push(resource("limits", "limits", limits));
    Json::table(vec![("version", Json::text(&format!("{version:08x}"))), ("resources", Json::List(resources))])
}
