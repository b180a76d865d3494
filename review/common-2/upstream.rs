//! A stand-in for an upstream, a process of its own. It prints what it does, a line for each event, and takes
//! commands on its standard input: `drain`, `leave`, `leaving`, `limit RATE`, `unlimited`, `fault NAME`.

use super::{
    http::{self, Message, Peer, read_request, write_response},
    json::Json,

};
use crate::unix_ms;
use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The requests that wait for a slot at most.
const MAX_QUEUED: usize = 24;

/// The size of the largest reply that acknowledges a heartbeat, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 10;

/// What a range is handed over with.
const HANDOVER: &str = "5c0e7a21d94b36f8";

/// How late the last heartbeat before a leave arrives.
const LATENESS: Duration = Duration::from_millis(2_200);

/// How much slower than true time the upstream's clock runs at most.
const CLOCK_LAG: f64 = 1.02;

/// `Options` are the arguments of the process.
#[derive(Debug, Clone)]
pub struct Options {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub slots: usize,
    pub work: Duration,
    pub heartbeat: Duration,
    /// The beginning of the paths whose requests end the process, if there are any.
    pub crash_path: String,
}

impl Options {
    pub fn to_args(&self) -> Vec<String> {
        vec![
            "upstream".to_owned(),
            self.address.to_string(),
            self.admin.to_string(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.keyed.to_string(),
            self.slots.to_string(),
            self.work.as_millis().to_string(),
            self.heartbeat.as_millis().to_string(),
            self.crash_path.clone(),
        ]
    }

    pub fn from_args(args: &[String]) -> Options {
        let millis = |text: &str| Duration::from_millis(text.parse().unwrap());
        Options {
            address: args[0].parse().unwrap(),
            admin: args[1].parse().unwrap(),
            id: args[2].clone(),
            service: args[3].clone(),
            zone: args[4].clone(),
            keyed: args[5] == "true",
            slots: args[6].parse().unwrap(),
            work: millis(&args[7]),
            heartbeat: millis(&args[8]),
            crash_path: args[9].clone(),
        }
    }
}

#[derive(Default)]
struct State {
    running: usize,
    queued: usize,
    draining: bool,
    leaving: bool,
    /// Whether the leave was announced, after which there are no further heartbeats.
    left: bool,
    /// The number of the last heartbeat.
    sequence: u64,
    limit: Option<String>,
    /// What happens to a part of the answers: `lose`, `extra`, `cut` or `none`.
    fault: String,
    /// The held ranges with their tokens, and until when.
    holds: Vec<(u16, u16, u64)>,
    held_until: Option<Instant>,
    released: Vec<(u16, u16)>,
    /// The keys of the requests that run.
    working: BTreeMap<u64, u16>,
    next_run: u64,
    highest: u64,
}

struct Upstream {
    options: Options,
    born: u64,
    state: Mutex<State>,
    changed: Condvar,
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _gone = writeln!(out, "{} {line}", unix_ms());
    let _gone = out.flush();
}

/// Runs the upstream until the process is killed.
pub fn run(options: Options) {
    let upstream = Arc::new(Upstream {
        born: unix_ms(),
        options,
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    let listener = TcpListener::bind(upstream.options.address).expect("the address is free");

    let beating = Arc::clone(&upstream);
    thread::spawn(move || beating.send_heartbeats());
    let commanded = Arc::clone(&upstream);
    thread::spawn(move || commanded.read_commands());
    say("start");
    for stream in listener.incoming().flatten() {
        let upstream = Arc::clone(&upstream);
        thread::spawn(move || {
            let _unchanged = stream.set_nodelay(true);
            upstream.serve(&mut BufReader::new(stream));
        });
    }
}

impl Upstream {
    fn read_commands(self: &Arc<Self>) {
        for line in io::stdin().lines().map_while(Result::ok) {
            say(&format!("command {line}"));
            if line == "leave" {
                self.send_leave();
                continue;
            }
            let mut state = self.state.lock().unwrap();
            match line.split_once(' ') {
                Some(("limit", rate)) => state.limit = Some(rate.to_owned()),
                Some(("fault", name)) => state.fault = name.to_owned(),
                _ if line == "unlimited" => state.limit = None,
                _ if line == "drain" => state.draining = true,
                _ if line == "leaving" => state.leaving = true,
                _ => {}
            }
            self.changed.notify_all();
        }
        // The test has ended.
        std::process::exit(0);
    }

    /// Announces the leave until it is acknowledged, with a pause of a heartbeat between two attempts. A heartbeat
    /// that was sent before it arrives late, and is the last one.
    fn send_leave(self: &Arc<Self>) {
        let (body, _) = self.heartbeat();
        self.state.lock().unwrap().left = true;
        let late = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(LATENESS);
            say("late-heartbeat");
            let _answer = late.post("heartbeat", body.as_bytes());
        });
        for _ in 0..4 {
            say("leave-sent");
            let reply = self.post("leave", b"");
            if reply.is_ok_and(|reply| (200..300).contains(&reply.status)) {
                say("leave-acknowledged");
                return;
            }
            thread::sleep(self.options.heartbeat);
        }
        say("leave-not-acknowledged");
    }

    fn post(&self, call: &str, body: &[u8]) -> io::Result<Message> {
        let path = format!("/instances/{}/{call}", self.options.id);
        let admin = self.options.admin.to_string();
        let headers = [("host", admin.as_str()), ("content-type", "application/json")];
        http::call(self.options.admin, "POST", &path, &headers, body, Duration::from_secs(1))
    }

    fn send_heartbeats(&self) {
        let mut was_acked = false;
        while !self.state.lock().unwrap().left {
            let sent_at = Instant::now();
            let (body, reported) = self.heartbeat();
            let is_draining = self.state.lock().unwrap().draining;
            let limit = Duration::from_secs(1);
            let reply = self.post("heartbeat", body.as_bytes());
            let mut pause = self.options.heartbeat;
            if let Ok(reply) = &reply
                && reply.body.len() > MAX_REPLY_BYTES
            {
                say(&format!("not-acknowledged reply of {} bytes", reply.body.len()));
            } else if let Ok(reply) = reply
                && (200..300).contains(&reply.status)
                && sent_at.elapsed() < limit
            {
                if is_draining && !was_acked {
                    was_acked = true;
                    say("drain-acknowledged");
                }
                if self.options.keyed {
                    say(&format!("acknowledged reply of {} bytes", reply.body.len()));
                }
                if self.apply(&reply, reported, sent_at) {
                    pause = Duration::from_millis(90);
                }
            }
            let state = self.state.lock().unwrap();
            let was_draining = state.draining;
            let stopped = |state: &mut State| state.draining == was_draining;
            drop(self.changed.wait_timeout_while(state, pause, stopped));
        }
    }

    /// Returns the body of a heartbeat and the number of releases in it.
    fn heartbeat(&self) -> (String, usize) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        state.sequence += 1;
        let sequence = state.sequence;
        let mut fields = vec![
            ("address", Json::text(&self.options.address.to_string())),
            ("born", Json::number(self.born)),
            (
                "info",
                Json::table(vec![
                    ("service", Json::text(&self.options.service)),
                    ("version", Json::text("v1")),
                    ("zone", Json::text(&self.options.zone)),
                    ("maxConcurrency", Json::number(self.options.slots)),
                ]),
            ),
            (
                "status",
                Json::table(vec![
                    ("state", Json::text(if state.draining { "draining" } else { "ready" })),
                    ("sequence", Json::number(sequence)),
                    ("warmupLeftS", Json::number(0)),
                ]),
            ),
        ];
        if self.options.keyed {
            let row = |(from, to, token): &(u16, u16, u64)| {
                Json::List(vec![Json::number(from), Json::number(to), Json::number(token)])
            };
            fields.push(("holds", Json::List(state.holds.iter().map(row).collect())));
            let row = |(from, to): &(u16, u16)| {
                Json::List(vec![Json::number(from), Json::number(to), Json::text(HANDOVER)])
            };
            fields.push(("released", Json::List(state.released.iter().map(row).collect())));
        }
        (Json::table(fields).to_string(), state.released.len())
    }

    /// Applies the reply to a heartbeat; returns whether ranges are left to release.
    fn apply(&self, reply: &Message, reported: usize, sent_at: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        state.released.drain(..reported);
        let body = Json::parse(&reply.text()).unwrap_or(Json::Null);
        let Some(hold) = body.get("holdS").as_f64() else {
            return false;
        };
        let rows: Vec<(u16, u16, u64)> = body.get("holds").as_list().iter().filter_map(read_row).collect();
        let granted = |key: u16| rows.iter().any(|(from, to, _)| *from <= key && key <= *to);
        let working: Vec<u16> = state.working.values().copied().collect();
        let mut waits = false;
        let mut kept = rows.clone();
        for row in state.holds.clone() {
            if rows.contains(&row) {
                continue;
            }
            let is_busy = working.iter().any(|key| row.0 <= *key && *key <= row.1 && !granted(*key));
            let is_covered = (row.0..=row.1).all(granted);
            if is_busy {
                waits = true;
                kept.push(row);
            } else if !is_covered {
                waits = true;
                state.released.push((row.0, row.1));
                say(&format!("released {}-{}@{}", row.0, row.1, row.2));
            }
        }
        for row in &rows {
            if !state.holds.contains(row) {
                let is_above = row.2 > state.highest;
                state.highest = state.highest.max(row.2);
                say(&format!("granted {}-{}@{} above={is_above}", row.0, row.1, row.2));
            }
        }
        let until = sent_at + Duration::from_secs_f64(hold * CLOCK_LAG);
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let texts: Vec<String> = kept.iter().map(|row| format!("{}-{}@{}", row.0, row.1, row.2)).collect();
        say(&format!("holds {} {}", unix_ms() + left, texts.join(",")));
        state.holds = kept;
        state.held_until = Some(until);
        waits
    }

    fn serve(&self, peer: &mut Peer) {
        while let Ok(request) = read_request(peer) {
            let id = request.header("wagtailpulley-request-id").unwrap_or_default().to_owned();
            let began = Instant::now();
            let (status, is_run, body) = self.answer(&request, &id, began);
            let state = self.state.lock().unwrap();
            let (limit, leaving) = (state.limit.clone(), state.leaving);
            let is_hit = is_run && unix_ms() % 3 == 0;
            let fault = if is_hit { state.fault.clone() } else { String::new() };
            drop(state);
            if fault == "lose" {
                say(&format!("lose {id}"));
                return;
            }
            let mut headers = vec![("wagtailpulley-request-id", id.as_str()), ("keep-alive", "timeout=10")];
            if is_run {
                headers.push(("wagtailpulley-response-seal", "3e1b.07.5a2.600.0.c9f2a4d1"));
            } else if request.path != "/health" {
                headers.push(("wagtailpulley-not-executed", "1"));
            }
            if let Some(limit) = &limit {
                headers.push(("server-limit", limit));
            }
            if leaving {
                headers.push(("server-leaving", "1"));
            }
            if fault == "cut" {
                say(&format!("cut {id}"));
                let mut bytes = Vec::new();
                let _unfailing = write_response(&mut bytes, status, &headers, body.as_bytes());
                let _gone = peer.get_mut().write_all(&bytes[..bytes.len() - 3]);
                return;
            }
            if write_response(peer.get_mut(), status, &headers, body.as_bytes()).is_err() {
                return;
            }
            if fault == "extra" {
                say(&format!("extra {id}"));
                let _gone = write_response(peer.get_mut(), status, &headers, body.as_bytes());
            }
        }
    }

    /// Runs a request; returns its status, whether it ran, and the body of the answer.
    fn answer(&self, request: &Message, id: &str, began: Instant) -> (u16, bool, String) {
        let path = &request.path;
        say(&format!("arrive {id} {path}"));
        if id.is_empty() {
            return (400, false, String::new());
        }
        let expected = request.header("wagtailpulley-expect-instance");
        if expected.is_some_and(|expected| expected != self.options.id) {
            return (421, false, String::new());
        }
        let wait = request.header("wagtailpulley-request-deadline").and_then(|wait| wait.parse().ok());
        let ends_at = began + Duration::from_millis(wait.unwrap_or(10_000));
        let key = request.header("wagtailpulley-shard-key").and_then(|key| key.parse().ok());
        let Some(run) = self.begin(key, ends_at) else {
            return (503, false, String::new());
        };
        if let Some(key) = key.filter(|_| self.options.keyed)
            && !run.holds
        {
            self.end(run.number);
            say(&format!("refuse {id} key {key}"));
            return (421, false, String::new());
        }

        say(&format!("run {id} {path}"));
        if !self.options.crash_path.is_empty() && path.starts_with(&self.options.crash_path) {
            say(&format!("crash {id}"));
            std::process::abort();
        }
        thread::sleep(self.options.work);
        self.end(run.number);
        say(&format!("ran {id}"));
        (200, true, format!("{} {id}", self.options.id))
    }

    /// Waits for a slot, and begins a run; `None` if there is no room or time.
    fn begin(&self, key: Option<u16>, ends_at: Instant) -> Option<Run> {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.options.slots {
            if state.queued >= MAX_QUEUED {
                return None;
            }
            state.queued += 1;
            while state.running >= self.options.slots {
                let left = ends_at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    state.queued -= 1;
                    return None;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            state.queued -= 1;
        }
        state.running += 1;
        state.expire();
        let holds = key.is_some_and(|key| state.holds.iter().any(|(from, to, _)| *from <= key && key <= *to));
        state.next_run += 1;
        let number = state.next_run;
        if let Some(key) = key {
            state.working.insert(number, key);
        }
        Some(Run { number, holds })
    }

    fn end(&self, number: u64) {
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        state.working.remove(&number);
        self.changed.notify_all();
    }
}

struct Run {
    number: u64,
    holds: bool,
}

impl State {
    fn expire(&mut self) {
        if self.held_until.is_some_and(|until| Instant::now() >= until) && !self.holds.is_empty() {
            say("lapsed");
            self.holds.clear();
        }
    }
}

fn read_row(row: &Json) -> Option<(u16, u16, u64)> {
    let row = row.as_list();
    let key = |index: usize| u16::try_from(row.get(index)?.as_u64()?).ok();
    Some((key(0)?, key(1)?, row.get(2)?.as_u64()?))
}
