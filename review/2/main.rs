//! A heartbeat of another writer, in which fields are missing or of another type, ends the hold of the
//! upstream that lives.

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

use fleet::{BROKEN, Fleet, HELD, NOT_RUN, Record, Route, config, has_trouble, unix_millis};
use http::{call, request};
use json::{map, num, text};
use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use upstream::{Behaviour, Upstream, UpstreamState, born_now, good_answer, refusal};

/// The time for which two upstreams may hold the same keys.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// The time between two looks at what the upstreams hold.
const LOOK: Duration = Duration::from_millis(10);

/// The keys that are looked at: one in this number.
const STEP: usize = 257;

fn main() {
    let record = Arc::new(Record::new());
    let mut fleet = Fleet::new(&["patchbook", "patchbook", "patchbook"], 1.5, "");
    let routes = [Route {
        name: "r-lookup",
        prefix: "/lookup/",
        kind: "safe",
        timeout: 1.0,
        service: "patchbook",
    }];
    fleet.store.put(
        "config",
        "main",
        config(7, &routes, &["patchbook"], &["patchbook"]),
    );

    let behaviour: Arc<Behaviour> = Arc::new(|upstream, connection, _, message| {
        let id = message.field("wagtailpulley-request-id").unwrap_or("");
        let key = message
            .field("wagtailpulley-shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        let is_held = upstream.state.holds.lock().unwrap().token(key).is_some();
        if !upstream.is_meant(message) || !is_held {
            return connection.write(&refusal(421, id));
        }
        upstream.run(message, Duration::from_millis(20));
        connection.write(&good_answer(id, b"patch"))
    });
    let upstreams: Vec<Upstream> = fleet
        .nodes
        .iter()
        .enumerate()
        .map(|(index, node)| Upstream {
            id: format!("i-{index}"),
            service: "patchbook".to_owned(),
            zone: "qc-east-a".to_owned(),
            address: node.app,
            admin: node.admin,
            slots: 9,
            born: born_now(),
            interval: Duration::from_millis(1_500),
            record: Arc::clone(&record),
            state: Arc::new(UpstreamState::default()),
        })
        .collect();
    for upstream in &upstreams {
        upstream.start(Arc::clone(&behaviour));
    }
    fleet.start_all();

    let all_held = || {
        (0..=65_535).step_by(STEP).all(|key| {
            upstreams
                .iter()
                .any(|upstream| upstream.state.holds.lock().unwrap().token(key).is_some())
        })
    };
    let has_started = http::wait_until(Duration::from_secs(25), all_held);
    thread::sleep(Duration::from_secs(4));
    if !has_started || !all_held() {
        println!("the keys are not held");
        fleet.finish(NOT_RUN);
    }

    if has_trouble() {
        // The address is of another type, the version too; the zone and the warm-up are missing.
        let body = map(&[
            ("address", num(8_080.0)),
            ("born", num(unix_millis() as f64)),
            (
                "info",
                map(&[
                    ("service", text("patchbook")),
                    ("version", num(3.0)),
                    ("maxConcurrency", num(9.0)),
                ]),
            ),
            (
                "status",
                map(&[("state", text("draining")), ("sequence", num(1.0))]),
            ),
        ])
        .encode();
        let bytes = request(
            "POST",
            "/instances/i-other/heartbeat",
            &[("Host", "node"), ("Content-Type", "application/json")],
            body.as_bytes(),
        );
        let status = call(fleet.nodes[0].admin, &bytes, Duration::from_secs(1))
            .map(|answer| answer.status());
        record.line(&format!(
            "another writer sends {body} to the node of i-0, which answers {status:?}"
        ));
    }

    let mut since: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut longest: BTreeMap<u64, Duration> = BTreeMap::new();
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        thread::sleep(LOOK);
        for key in (0..=65_535_u64).step_by(STEP) {
            let holders: Vec<(&str, u64)> = upstreams
                .iter()
                .filter_map(|upstream| {
                    let token = upstream.state.holds.lock().unwrap().token(key)?;
                    Some((upstream.id.as_str(), token))
                })
                .collect();
            if holders.len() < 2 {
                since.remove(&key);
                continue;
            }
            let began = *since.entry(key).or_insert_with(Instant::now);
            let known = longest.entry(key).or_default();
            if began.elapsed() > MAX_OVERLAP && *known <= MAX_OVERLAP {
                record.line(&format!("OWNER: key {key} is held by {holders:?}"));
            }
            *known = began.elapsed().max(*known);
        }
    }

    let broken = longest.values().filter(|time| **time > MAX_OVERLAP).count();
    let most = longest.values().max().copied().unwrap_or_default();
    println!(
        "{broken} of {} keys looked at had two holders for over 0.5 s; the longest time was {:.2} s",
        65_536 / STEP + 1,
        most.as_secs_f64()
    );
    fleet.finish(if broken > 0 { BROKEN } else { HELD });
}
