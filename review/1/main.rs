//! A late second copy of a refusal is taken for the answer to the next request on the connection.

#[path = "../common/fleet.rs"]
mod fleet;
#[path = "../common/http.rs"]
mod http;
#[path = "../common/json.rs"]
mod json;
#[path = "../common/store.rs"]
mod store;
#[path = "../common/upstream.rs"]
mod upstream;

use fleet::{BROKEN, Fleet, HELD, NOT_RUN, Random, Record, Route, config, has_trouble};
use http::{Connection, request};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};
use upstream::{Behaviour, Upstream, UpstreamState, born_now, good_answer, refusal};

/// The share of its requests that each upstream sheds; the sites have 0.55 for all upstreams of a service.
const SHED_SHARE: f64 = 0.45;

/// The share of its answers that a garbling upstream sends a second time, late; the sites have 0.03.
const EXTRA_SHARE: f64 = 0.03;

/// How long both last; the sites have 8.5 s and 5 s.
const TROUBLE_TIME: Duration = Duration::from_secs(5);

/// How often they come, and the pause between.
const TROUBLES: u32 = 3;
const TROUBLE_PAUSE: Duration = Duration::from_secs(3);

/// How long an upstream works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// The clients of each node, each with one connection and the pause between two of its requests.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(100);

fn main() {
    let record = Arc::new(Record::new());
    let mut fleet = Fleet::new(&["lotdesk", "lotdesk", "lotdesk"], 1.5, "");
    let routes = [Route {
        name: "r-release",
        prefix: "/release/",
        kind: "unsafe",
        timeout: 1.2,
        service: "lotdesk",
    }];
    fleet
        .store
        .put("config", "main", config(7, &routes, &["lotdesk"], &[]));

    // The upstreams that ran each request, and the statuses that the clients got.
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let troubled_until: Arc<Mutex<Option<Instant>>> = Arc::default();
    let random = Arc::new(Mutex::new(Random(0x9e37_79b9_7f4a_7c15)));

    for (index, node) in fleet.nodes.iter().enumerate() {
        let (runs, troubled_until) = (Arc::clone(&runs), Arc::clone(&troubled_until));
        let random = Arc::clone(&random);
        // Two of the three upstreams garble: a share of 0.6.
        let garbles = index < 2;
        let behaviour: Arc<Behaviour> = Arc::new(move |upstream, connection, backlog, message| {
            let id = message.field("wagtailpulley-request-id").unwrap_or("");
            if !upstream.is_meant(message) {
                return connection.write(&refusal(421, id));
            }
            let is_troubled = troubled_until
                .lock()
                .unwrap()
                .is_some_and(|until| Instant::now() < until);
            let draw = || random.lock().unwrap().share();
            let is_extra = is_troubled && garbles && draw() < EXTRA_SHARE;
            let answer = if is_troubled && draw() < SHED_SHARE {
                upstream
                    .record
                    .line(&format!("upstream {} sheds {id}", upstream.id));
                refusal(503, id)
            } else {
                runs.lock()
                    .unwrap()
                    .entry(id.to_owned())
                    .or_default()
                    .push(upstream.id.clone());
                upstream.run(message, WORK_TIME);
                good_answer(id, b"released")
            };
            if is_extra {
                upstream.record.line(&format!(
                    "upstream {} will send the answer to {id} again, late",
                    upstream.id
                ));
                backlog.0.extend(&answer);
            }
            connection.write(&answer)
        });
        let upstream = Upstream {
            id: format!("i-{index}"),
            service: "lotdesk".to_owned(),
            zone: "qc-east-a".to_owned(),
            address: node.app,
            admin: node.admin,
            slots: 9,
            born: born_now(),
            interval: Duration::from_millis(1_500),
            record: Arc::clone(&record),
            state: Arc::new(UpstreamState::default()),
        };
        upstream.start(behaviour);
    }
    fleet.start_all();
    thread::sleep(Duration::from_secs(4));

    let until = Instant::now() + (TROUBLE_TIME + TROUBLE_PAUSE) * TROUBLES + Duration::from_secs(4);
    let clients: Vec<_> = (0..fleet.nodes.len() * CLIENTS)
        .map(|client| {
            let outbound = fleet.nodes[client % fleet.nodes.len()].outbound;
            let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
            thread::spawn(move || {
                let mut connection: Option<Connection> = None;
                let mut ordinal = 0;
                while Instant::now() < until {
                    ordinal += 1;
                    let id = format!("{client:02x}{ordinal:06x}");
                    let bytes = request(
                        "POST",
                        "/release/2f",
                        &[
                            ("Host", "hulo84.example"),
                            ("Wagtailpulley-Request-Id", &id),
                            ("Wagtailpulley-Request-Deadline", "2500"),
                        ],
                        b"lot",
                    );
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => match Connection::open(outbound) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    let _ = open
                        .stream
                        .set_read_timeout(Some(Duration::from_millis(2_500)));
                    let answer = open.write(&bytes).and_then(|()| open.read_response());
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    record.line(&format!("client gets {status} for {id}"));
                    answers.lock().unwrap().insert(id, status);
                    if answer.is_ok_and(|answer| answer.keeps_open()) {
                        connection = Some(open);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    for _ in 0..TROUBLES {
        if has_trouble() {
            record.line("the upstreams shed, and two of them send some answers twice, for 5 s");
            *troubled_until.lock().unwrap() = Some(Instant::now() + TROUBLE_TIME);
        }
        thread::sleep(TROUBLE_TIME + TROUBLE_PAUSE);
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));

    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let served = answers.values().filter(|status| **status == 200).count();
    let mut twice = 0;
    let mut refused = 0;
    for (id, upstreams) in runs.iter() {
        if upstreams.len() > 1 {
            twice += 1;
            record.line(&format!("TWICE: {id} ran at {}", upstreams.join(" and ")));
        }
        let status = answers.get(id).copied().unwrap_or(0);
        if [408, 421, 429, 503].contains(&status) {
            refused += 1;
            record.line(&format!("REFUSED: {id} ran and was answered {status}"));
        }
    }
    println!(
        "{} requests, {served} served; {twice} ran twice, {refused} ran and were refused",
        answers.len()
    );
    let code = if served < answers.len() / 4 {
        NOT_RUN
    } else if twice + refused > 0 {
        BROKEN
    } else {
        HELD
    };
    fleet.finish(code);
}
