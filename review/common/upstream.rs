//! A stand-in for an application upstream: heartbeats, grants of keys, and requests.

use crate::{
    fleet::{Record, unix_millis},
    http::{Connection, Message, call, request, response},
    json::{Json, map, num, text},
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The mark that this upstream puts on its answers.
pub const SEAL: &str = "wagtailpulley-response-seal";

/// The size up to which an answer acknowledges a heartbeat.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;

/// The time after which a heartbeat reports what was released.
const RELEASE_TIME: Duration = Duration::from_millis(80);

/// What an upstream does with a request; it writes the answer itself.
pub type Behaviour =
    dyn Fn(&Upstream, &mut Connection, &mut Backlog, &Message) -> io::Result<()> + Send + Sync;

/// Bytes that are sent on a connection when its next request has come.
#[derive(Debug, Default)]
pub struct Backlog(pub Vec<u8>);

/// One life of an upstream. Clones share it.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub interval: Duration,
    pub record: Arc<Record>,
    pub state: Arc<UpstreamState>,
}

/// The state that the clones of an upstream share.
#[derive(Debug, Default)]
pub struct UpstreamState {
    pub sequence: AtomicU64,
    /// Whether the process of the upstream has ended.
    pub ended: AtomicBool,
    pub draining: AtomicBool,
    /// Whether the upstream sends no heartbeats of its own accord.
    pub silent: AtomicBool,
    pub holds: Mutex<Grants>,
    /// The number of answers that were too large.
    pub oversize: AtomicU64,
    running: Mutex<u32>,
    freed: Condvar,
}

/// The keys that an upstream holds.
#[derive(Debug, Clone, Default)]
pub struct Grants {
    pub rows: Vec<(u64, u64, u64)>,
    pub until: Option<Instant>,
    released: Vec<(u64, u64, String)>,
}

impl Grants {
    /// Returns the fencing token with which a key is held now.
    pub fn token(&self, key: u64) -> Option<u64> {
        if self.until.is_none_or(|until| Instant::now() >= until) {
            return None;
        }
        let row = self.rows.iter().find(|row| row.0 <= key && key <= row.1)?;
        Some(row.2)
    }
}

impl Upstream {
    /// Starts the upstream: it listens, and sends heartbeats.
    pub fn start(&self, behaviour: Arc<Behaviour>) {
        let listener = TcpListener::bind(self.address).unwrap();
        let upstream = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if upstream.state.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (upstream, behaviour) = (upstream.clone(), Arc::clone(&behaviour));
                thread::spawn(move || upstream.serve(stream, &behaviour));
            }
        });

        self.start_heartbeats();
    }

    /// Sends heartbeats until the upstream has ended.
    pub fn start_heartbeats(&self) {
        let upstream = self.clone();
        thread::spawn(move || {
            while !upstream.state.ended.load(Ordering::SeqCst) {
                if !upstream.state.silent.load(Ordering::SeqCst) {
                    upstream.beat();
                }
                // Another heartbeat follows soon while a release is not reported.
                let has_released = !upstream.state.holds.lock().unwrap().released.is_empty();
                thread::sleep(if has_released {
                    RELEASE_TIME
                } else {
                    upstream.interval
                });
            }
        });
    }

    /// Sends a heartbeat and applies the answer, if it comes within a second.
    pub fn beat(&self) -> u16 {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = self.beat_body(sequence);
        let sent = Instant::now();
        let path = format!("/instances/{}/heartbeat", self.id);
        let bytes = request(
            "POST",
            &path,
            &[("Host", "node"), ("Content-Type", "application/json")],
            body.encode().as_bytes(),
        );
        match call(self.admin, &bytes, Duration::from_secs(1)) {
            Ok(answer) if answer.status() / 100 == 2 && answer.body.len() > MAX_ANSWER_BYTES => {
                self.state.oversize.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "upstream {} gets an answer of {} bytes to its heartbeat {sequence}, which \
                     acknowledges nothing",
                    self.id,
                    answer.body.len()
                ));
                0
            }
            Ok(answer) if answer.status() / 100 == 2 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if let Some(body) = Json::parse(&body) {
                    self.apply(&body, sent);
                }
                answer.status()
            }
            Ok(answer) => answer.status(),
            Err(_) => 0,
        }
    }

    fn beat_body(&self, sequence: u64) -> Json {
        let grants = self.state.holds.lock().unwrap().clone();
        let is_valid = grants.until.is_some_and(|until| Instant::now() < until);
        let holds = grants
            .rows
            .iter()
            .filter(|_| is_valid)
            .map(|row| {
                Json::List(vec![
                    num(row.0 as f64),
                    num(row.1 as f64),
                    num(row.2 as f64),
                ])
            })
            .collect();
        let released = grants
            .released
            .iter()
            .map(|row| Json::List(vec![num(row.0 as f64), num(row.1 as f64), text(&row.2)]))
            .collect();
        let state = if self.state.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        map(&[
            ("address", text(&self.address.to_string())),
            ("born", num(self.born as f64)),
            (
                "info",
                map(&[
                    ("service", text(&self.service)),
                    ("version", text("v1")),
                    ("zone", text(&self.zone)),
                    ("maxConcurrency", num(f64::from(self.slots))),
                ]),
            ),
            (
                "status",
                map(&[
                    ("state", text(state)),
                    ("sequence", num(sequence as f64)),
                    ("warmupLeftS", num(0.0)),
                ]),
            ),
            ("holds", Json::List(holds)),
            ("released", Json::List(released)),
        ])
    }

    /// Takes over the grants of an answer; `sent` is when the heartbeat was sent.
    fn apply(&self, body: &Json, sent: Instant) {
        let mut grants = self.state.holds.lock().unwrap();
        grants.released.clear();
        let (Json::List(rows), Some(hold)) = (body.get("holds"), body.get("holdS").num()) else {
            return;
        };
        let rows: Vec<(u64, u64, u64)> = rows
            .iter()
            .map(|row| {
                let part = |index: usize| row.list()[index].num().unwrap_or(0.0) as u64;
                (part(0), part(1), part(2))
            })
            .collect();
        let was_valid = grants.until.is_some_and(|until| Instant::now() < until);
        if was_valid {
            let gone: Vec<_> = grants
                .rows
                .iter()
                .filter(|row| !rows.iter().any(|next| next.0 <= row.1 && row.0 <= next.1))
                .map(|row| (row.0, row.1, handover(row.0, row.2)))
                .collect();
            grants.released.extend(gone);
        }
        if rows != grants.rows {
            let shown: Vec<String> = rows
                .iter()
                .map(|row| format!("{}-{} token {}", row.0, row.1, row.2))
                .collect();
            self.record.line(&format!(
                "upstream {} is granted [{}] for {hold} s",
                self.id,
                shown.join(", ")
            ));
        }
        grants.rows = rows;
        grants.until = Some(sent + Duration::from_secs_f64(hold));
    }

    /// Announces the leave.
    pub fn leave(&self) -> u16 {
        let path = format!("/instances/{}/leave", self.id);
        let bytes = request("POST", &path, &[("Host", "node")], b"");
        call(self.admin, &bytes, Duration::from_secs(1)).map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream, behaviour: &Arc<Behaviour>) {
        let mut connection = Connection::new(stream);
        let mut backlog = Backlog::default();
        while let Ok(Some(request)) = connection.read_request() {
            if self.state.ended.load(Ordering::SeqCst) {
                return;
            }
            let late = std::mem::take(&mut backlog.0);
            if !late.is_empty() && connection.write(&late).is_err() {
                return;
            }
            if behaviour(self, &mut connection, &mut backlog, &request).is_err() {
                return;
            }
        }
    }

    /// Returns whether the request is for this upstream.
    pub fn is_meant(&self, request: &Message) -> bool {
        request
            .field("wagtailpulley-expect-instance")
            .is_none_or(|id| id == self.id)
    }

    /// Records the run of a request, waits for a slot and works on it.
    pub fn run(&self, request: &Message, work: Duration) {
        let id = request.field("wagtailpulley-request-id").unwrap_or("");
        self.record.line(&format!("upstream {} runs {id}", self.id));
        self.work(work);
    }

    /// Waits for a slot and works.
    pub fn work(&self, work: Duration) {
        let mut running = self.state.running.lock().unwrap();
        while *running >= self.slots {
            running = self.state.freed.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        thread::sleep(work);
        *self.state.running.lock().unwrap() -= 1;
        self.state.freed.notify_one();
    }
}

/// Returns the answer to a request that ran.
pub fn good_answer(id: &str, body: &[u8]) -> Vec<u8> {
    response(
        200,
        &[
            ("Wagtailpulley-Request-Id", id),
            (SEAL, "3e1b.07.5a2.600.0"),
        ],
        body,
    )
}

/// Returns the answer of an upstream that did not run a request.
pub fn refusal(status: u16, id: &str) -> Vec<u8> {
    response(
        status,
        &[
            ("Wagtailpulley-Request-Id", id),
            ("Wagtailpulley-Not-Executed", "1"),
        ],
        b"",
    )
}

/// Returns the name of the state that is handed over with a range.
fn handover(from: u64, token: u64) -> String {
    let mixed = (from + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ token.wrapping_mul(0xc2b2_ae3d);
    format!("{mixed:016x}")
}

/// Returns the time of day at which an upstream that starts now was born.
pub fn born_now() -> u64 {
    unix_millis()
}
