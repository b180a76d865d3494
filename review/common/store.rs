//! A stand-in for the platform's metadata store, as its page describes it: one revision counter,
//! conditional writes, lists, watches and finalizer-free deletes.

use crate::{
    http::{Connection, Message, response},
    json::{Json, map, num, text},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The number of changes that the history keeps.
const HISTORY: usize = 20_000;

/// The revision at the start.
const FIRST_REVISION: u64 = 100;

/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
pub struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Debug, Clone)]
pub struct Change {
    revision: u64,
    kind: String,
    object: Json,
    deleted: bool,
}

#[derive(Debug, Clone, Default)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// A copy of the store.
#[derive(Debug, Clone)]
pub struct StoreCopy(Content);

/// The store. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    /// `Store-Era`, stated in all answers once it is above 0.
    era: Arc<AtomicU64>,
    /// Whether calls get no answer.
    down: Arc<AtomicBool>,
}

impl Store {
    /// Starts the store on a free port of an address.
    pub fn start(host: &str) -> (Self, SocketAddr) {
        let store = Self::default();
        store.content.0.lock().unwrap().revision = FIRST_REVISION;
        let listener = TcpListener::bind((host, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an object, as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut content = self.content.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        content.store(&key, Some(spec), None);
        self.content.1.notify_all();
    }

    /// Makes the store away, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.content.0.lock().unwrap().clone())
    }

    /// Returns from a copy: what was written since is gone, and the era rises by one.
    pub fn restore(&self, copy: StoreCopy) {
        *self.content.0.lock().unwrap() = copy.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    /// Returns the content of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let content = self.content.0.lock().unwrap();
        let object = content.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.spec.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request() {
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let era = self.era.load(Ordering::SeqCst).to_string();
            let mut fields = vec![("Content-Type", "application/json")];
            if era != "0" {
                fields.push(("Store-Era", era.as_str()));
            }
            let answer = response(status, &fields, body.encode().as_bytes());
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse)
            .unwrap_or(Json::Null);

        match (request.method(), parts.as_slice()) {
            ("GET", ["objects", kind]) => match query.get("watch") {
                Some(from) => self.watch(
                    kind,
                    from.parse().unwrap_or(0),
                    query.get("waitMs").and_then(|wait| wait.parse().ok()),
                ),
                None => self.list(kind, query.get("after").copied().unwrap_or("")),
            },
            ("GET", ["objects", kind, name]) => {
                let content = self.content.0.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                match content.objects.get(&key) {
                    Some(object) => (200, encode(&key.1, object)),
                    None => (404, Json::Null),
                }
            }
            ("POST", ["objects", kind]) => {
                let name = body.get("metadata").get("name").text().unwrap_or("");
                self.write(
                    (*kind).to_owned(),
                    name.to_owned(),
                    &body,
                    &query,
                    false,
                    true,
                )
            }
            ("PUT", ["objects", kind, name]) => self.write(
                (*kind).to_owned(),
                (*name).to_owned(),
                &body,
                &query,
                false,
                false,
            ),
            ("PUT", ["objects", kind, name, "status"]) => self.write(
                (*kind).to_owned(),
                (*name).to_owned(),
                &body,
                &query,
                true,
                false,
            ),
            ("DELETE", ["objects", kind, name]) => {
                let mut content = self.content.0.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                let known = content.objects.get(&key).cloned();
                match known {
                    None => (404, Json::Null),
                    Some(object) if !matches(&object, &body, &query) => {
                        (409, encode(&key.1, &object))
                    }
                    Some(object) => {
                        content.objects.remove(&key);
                        content.revision += 1;
                        let change = Change {
                            revision: content.revision,
                            kind: key.0.clone(),
                            object: encode(
                                &key.1,
                                &Object {
                                    revision: content.revision,
                                    ..object
                                },
                            ),
                            deleted: true,
                        };
                        content.history.push(change);
                        self.content.1.notify_all();
                        (200, Json::Null)
                    }
                }
            }
            _ => (404, Json::Null),
        }
    }

    fn write(
        &self,
        kind: String,
        name: String,
        body: &Json,
        query: &BTreeMap<&str, &str>,
        is_status: bool,
        is_new: bool,
    ) -> (u16, Json) {
        let mut content = self.content.0.lock().unwrap();
        let key = (kind, name);
        let known = content.objects.get(&key).cloned();
        match (&known, is_new) {
            (Some(object), true) => return (409, encode(&key.1, object)),
            (None, false) => return (404, Json::Null),
            (Some(object), false) if !matches(object, body, query) => {
                return (409, encode(&key.1, object));
            }
            _ => {}
        }
        if is_status {
            content.store(&key, None, Some(body.get("status").clone()));
        } else {
            content.store(&key, Some(body.get("spec").clone()), None);
        }
        self.content.1.notify_all();
        let object = &content.objects[&key];
        (200, encode(&key.1, object))
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let content = self.content.0.lock().unwrap();
        let items = content
            .objects
            .iter()
            .filter(|((other, name), _)| other == kind && name.as_str() > after)
            .map(|((_, name), object)| encode(name, object))
            .collect();
        let body = map(&[
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(false)),
            ("at", num(content.revision as f64)),
        ]);
        (200, body)
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: Option<u64>) -> (u16, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
        let mut content = self.content.0.lock().unwrap();
        loop {
            let oldest = content.history.first().map_or(0, |change| change.revision);
            if from > content.revision || (content.history.len() >= HISTORY && from + 1 < oldest) {
                return (410, Json::Null);
            }
            let events: Vec<Json> = content
                .history
                .iter()
                .filter(|change| change.kind == kind && change.revision > from)
                .map(|change| {
                    map(&[
                        ("object", change.object.clone()),
                        ("deleted", Json::Bool(change.deleted)),
                    ])
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = map(&[
                    ("events", Json::List(events)),
                    ("at", num(content.revision as f64)),
                ]);
                return (200, body);
            }
            content = self.content.1.wait_timeout(content, end - now).unwrap().0;
        }
    }
}

impl Content {
    /// Stores the content or the status of an object. A write that changes nothing raises no revision.
    fn store(&mut self, key: &(String, String), spec: Option<Json>, status: Option<Json>) {
        let known = self.objects.get(key).cloned();
        let mut next = known.clone().unwrap_or(Object {
            revision: 0,
            created: self.revision + 1,
            spec: Json::Null,
            status: Json::Null,
        });
        if let Some(spec) = spec {
            next.spec = spec;
        }
        if let Some(status) = status {
            next.status = status;
        }
        let is_same =
            known.is_some_and(|known| known.spec == next.spec && known.status == next.status);
        if is_same {
            return;
        }

        self.revision += 1;
        next.revision = self.revision;
        self.history.push(Change {
            revision: self.revision,
            kind: key.0.clone(),
            object: encode(&key.1, &next),
            deleted: false,
        });
        if self.history.len() > HISTORY {
            self.history.remove(0);
        }
        self.objects.insert(key.clone(), next);
    }
}

/// Returns whether a write with a condition fits the object.
fn matches(object: &Object, body: &Json, query: &BTreeMap<&str, &str>) -> bool {
    let stated = body
        .get("metadata")
        .get("revision")
        .num()
        .or_else(|| query.get("revision")?.parse().ok());
    stated.is_none_or(|revision| revision == object.revision as f64)
}

fn encode(name: &str, object: &Object) -> Json {
    map(&[
        (
            "metadata",
            map(&[
                ("name", text(name)),
                ("revision", num(object.revision as f64)),
                ("created", num(object.created as f64)),
                ("finalizers", Json::List(Vec::new())),
                ("deletionPending", Json::Bool(false)),
            ]),
        ),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ])
}
