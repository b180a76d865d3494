//! A stand-in for the platform's store, as the protocol page describes it.

use super::{
    http::{Message, Peer, read_request, write_response},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The maximum number of objects on a page of a list.
const PAGE_SIZE: usize = 500;

/// The status of a call whose connection is closed without an answer.
const NO_ANSWER: u16 = 0;

#[derive(Default, Clone)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// The changes: revision, kind, object, whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

/// `Store` serves the objects.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the store answers nobody.
    away: AtomicBool,
    /// How often the store has come back from a copy.
    era: AtomicU64,
}

/// `Copy` is what the store held at some moment.
pub struct Copy(State);

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 10;
        let listener = TcpListener::bind(address).expect("the address of the store is free");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _unchanged = stream.set_nodelay(true);
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(&mut BufReader::new(stream)));
            }
        });
        store
    }

    /// Writes an object, as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.changed.notify_all();
    }

    /// Returns a copy of everything.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Takes the store away: connections are closed, and new ones get no answer.
    pub fn leave(&self) {
        self.away.store(true, Ordering::SeqCst);
        let _state = self.state.lock().unwrap();
        self.changed.notify_all();
    }

    /// Brings the store back as it was, or from a copy, in the next era.
    pub fn come_back(&self, copy: Option<&Copy>) {
        let mut state = self.state.lock().unwrap();
        if let Some(copy) = copy {
            *state = copy.0.clone();
            self.era.fetch_add(1, Ordering::SeqCst);
        }
        self.away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Returns the text of the spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        object.get("spec").as_text().map(str::to_owned)
    }

    fn serve(&self, peer: &mut Peer) {
        while let Ok(request) = read_request(peer) {
            thread::sleep(ANSWER_TIME);
            if self.away.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&request);
            if status == NO_ANSWER {
                return;
            }
            let era = self.era.load(Ordering::SeqCst).to_string();
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            if write_response(peer.get_mut(), status, &headers, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let none = || Json::table(Vec::new());
        let &["objects", kind, ref rest @ ..] = parts.as_slice() else {
            return (404, none());
        };
        let argument = |name: &str| {
            let found = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            found.map(str::to_owned)
        };
        if request.method == "GET" && rest.is_empty() {
            if let Some(from) = argument("watch") {
                let wait = argument("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                return self.watch(kind, from.parse().unwrap_or(0), Duration::from_millis(wait));
            }
            return self.list(kind, &argument("after").unwrap_or_default());
        }

        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let name = match rest {
            [name] => (*name).to_owned(),
            [] => body.get("metadata").get("name").as_text().unwrap_or_default().to_owned(),
            _ => return (404, none()),
        };
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let answer = match (request.method.as_str(), known) {
            ("GET", Some(object)) => (200, object),
            ("POST", Some(object)) => (409, object),
            ("POST", None) => (200, write(&mut state, kind, &name, body.get("spec").clone())),
            ("PUT", Some(object)) => {
                let expected = body.get("metadata").get("revision").as_u64();
                let present = object.get("metadata").get("revision").as_u64();
                if expected.is_some() && expected != present {
                    (409, object)
                } else if object.get("spec") == body.get("spec") {
                    (200, object)
                } else {
                    (200, write(&mut state, kind, &name, body.get("spec").clone()))
                }
            }
            ("DELETE", Some(object)) => {
                state.revision += 1;
                state.objects.remove(&(kind.to_owned(), name));
                let revision = state.revision;
                state.history.push((revision, kind.to_owned(), object, true));
                (200, none())
            }
            _ => (404, none()),
        };
        self.changed.notify_all();
        answer
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((other, name), _)| other == kind && name.as_str() > after);
        let mut items: Vec<Json> = of_kind.map(|(_, object)| object.clone()).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        let body = Json::table(vec![
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("at", Json::number(state.revision)),
        ]);
        (200, body)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
        let ends_at = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        if from > state.revision {
            return (410, Json::table(Vec::new()));
        }
        let era = self.era.load(Ordering::SeqCst);
        loop {
            if self.away.load(Ordering::SeqCst) || self.era.load(Ordering::SeqCst) != era {
                return (NO_ANSWER, Json::Null);
            }
            let changes = state.history.iter().filter(|(revision, other, ..)| *revision > from && other == kind);
            let events: Vec<Json> = changes
                .map(|(_, _, object, deleted)| {
                    Json::table(vec![("object", object.clone()), ("deleted", Json::Bool(*deleted))])
                })
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = Json::number(state.revision);
                return (200, Json::table(vec![("events", Json::List(events)), ("at", at)]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Writes an object under the next revision and returns it.
fn write(state: &mut State, kind: &str, name: &str, spec: Json) -> Json {
    state.revision += 1;
    let metadata = Json::table(vec![
        ("name", Json::text(name)),
        ("revision", Json::number(state.revision)),
        ("created", Json::number(1)),
        ("finalizers", Json::List(Vec::new())),
        ("deletionPending", Json::Bool(false)),
    ]);
    let object = Json::table(vec![("metadata", metadata), ("spec", spec), ("status", Json::Null)]);
    state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
    state.history.push((state.revision, kind.to_owned(), object.clone(), false));
    object
}
