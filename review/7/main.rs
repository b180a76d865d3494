//! An upstream has left with an acknowledgement, then the store comes back from a copy that is some seconds old
//! while the node beside the upstream is restarted.

#[path = "../common-2/mod.rs"]
mod common;
use common::{fleet, upstream};

use fleet::{Ask, Fleet, Plan, Record, config};
use std::{
    env,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// `drainS`.
const DRAIN_MS: u64 = 2_000;

/// `stabilityWindowS`, with a margin for the clients' links.
const STABILITY_MS: u64 = 3_200;

/// How long the upstream goes on serving after its leave was acknowledged.
const SERVING: Duration = Duration::from_secs(14);

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(2);

const DEADLINE: Duration = Duration::from_millis(1_000);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|verb| verb == "upstream") {
        return upstream::run(upstream::Options::from_args(&args[1..]));
    }
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let plan = Plan {
        services: vec![("reservas", false), ("reservas", false), ("reservas", false), ("bajas", false)],
        slots: 6,
        work: Duration::from_millis(20),
        crash_path: String::new(),
        settings: String::new(),
        config: config(
            12,
            &[
                ("reservar", "/book/", "unsafe", "reservas", 2, 1.0),
                ("cancelar", "/cancel/", "unsafe", "bajas", 2, 1.0),
            ],
            &[("reservas", false), ("bajas", false)],
        ),
    };
    let Some(mut fleet) = Fleet::start(plan) else {
        println!("the fleet did not start");
        exit(2);
    };
    let verdict = play(&mut fleet, trouble);
    let folder = args.first().map_or("review/7", String::as_str).to_owned();
    fleet.record.write(&Path::new(&folder).join("record.txt"));
    if let Ok(logs) = env::var("KEEP_LOGS") {
        fleet.keep_logs(Path::new(&logs));
    }
    drop(fleet);
    exit(verdict);
}

/// Sends bookings to one node, five in three seconds in the mean, at uneven times, until it is told to stop.
fn send_bookings(machine: usize, address: SocketAddr, record: Record, stop: Arc<AtomicBool>) {
    let mut number = 0;
    let mut random = unix_ms().wrapping_add(machine as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("book-{machine}-{number}-{}", unix_ms());
        let path = format!("/book/{machine}-{number}");
        let record = record.clone();
        thread::spawn(move || {
            let ask = Ask { method: "POST", path: &path, id: &id, key: None, body: b"one slot", deadline: DEADLINE };
            let _answer = ask.send(address, &record);
        });
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        thread::sleep(Duration::from_millis(300 + random % 600));
    }
}

/// Returns when the upstream of a machine printed something first.
fn moment(fleet: &Fleet, machine: usize, word: &str) -> Option<u64> {
    let events = fleet.record.events();
    let found = events.iter().find(|event| event.machine == machine && event.words[0] == word);
    found.map(|event| event.at_ms)
}

fn play(fleet: &mut Fleet, trouble: bool) -> i32 {
    let stop = Arc::new(AtomicBool::new(false));
    // The upstreams have announced themselves by then.
    thread::sleep(Duration::from_secs(5));
    let clients: Vec<_> = fleet
        .machines
        .iter()
        .map(|machine| {
            let (index, address) = (machine.index, machine.outbound());
            let (record, stop) = (fleet.record.clone(), Arc::clone(&stop));
            thread::spawn(move || send_bookings(index, address, record, stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));

    let copy = fleet.store.copy();
    thread::sleep(Duration::from_secs(1));
    fleet.machines[0].command("leave");
    thread::sleep(Duration::from_millis(800));
    let Some(left_at) = moment(fleet, 0, "leave-acknowledged") else {
        println!("the leave was not acknowledged");
        return 2;
    };

    let mut calm_at = 0;
    if trouble {
        fleet.record.note("the store is away".to_owned());
        fleet.store.leave();
        thread::sleep(Duration::from_millis(300));
        fleet.machines[0].kill_node();
        thread::sleep(Duration::from_millis(600));
        fleet.machines[0].start_node();
        thread::sleep(AWAY - Duration::from_millis(900));
        fleet.store.come_back(Some(&copy));
        fleet.record.note("the store is back from the copy".to_owned());
        calm_at = unix_ms();
    }
    let ends_at = left_at + SERVING.as_millis() as u64;
    thread::sleep(Duration::from_millis(ends_at.saturating_sub(unix_ms())));
    fleet.machines[0].kill_upstream();
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        drop(client.join());
    }
    thread::sleep(Duration::from_millis(1_200));

    // Only requests that came when all machines had been in touch for long count.
    let bound_from = (left_at + DRAIN_MS).max(calm_at + STABILITY_MS + DEADLINE.as_millis() as u64);
    let events = fleet.record.events();
    let runs = |machine: usize, after: u64| {
        let is_late = |event: &&fleet::Event| {
            event.machine == machine && event.words[0] == "run" && event.at_ms > after
        };
        events.iter().filter(is_late).count()
    };
    let late = runs(0, bound_from);
    let others = runs(1, bound_from) + runs(2, bound_from);
    println!(
        "{late} requests reached the upstream that had left, later than {:.1} s after its acknowledgement; {others} the others",
        (bound_from - left_at) as f64 / 1_000.0
    );
    if others == 0 {
        return 2;
    }
    i32::from(late > 0)
}
