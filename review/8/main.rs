//! A request that crashes each upstream that begins to run it comes again every some seconds, from a client that
//! repeats it at once after a failure.

#[path = "../common-2/mod.rs"]
mod common;
use common::{fleet, upstream};

use fleet::{Ask, Fleet, Plan, config};
use std::{
    env,
    path::Path,
    process::exit,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// The time after which a crashed upstream is back.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// `stabilityWindowS`, from which on after the third crash the rule holds.
const STABILITY_MS: u64 = 3_000;

/// The time between two rounds, in each of which the client comes with the request.
const ROUND: Duration = Duration::from_secs(8);

const ROUNDS: usize = 5;

/// How often the client repeats a request that failed, as in the sheet of Suturo.
const CLIENT_RETRIES: usize = 2;

/// The retries that may reach upstreams after that.
const MOST_RETRIES: usize = 3;

const DEADLINE: Duration = Duration::from_secs(2);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|verb| verb == "upstream") {
        return upstream::run(upstream::Options::from_args(&args[1..]));
    }
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let plan = Plan {
        services: vec![("scanvault", false), ("scanvault", false), ("scanvault", false)],
        slots: 9,
        work: Duration::from_millis(20),
        crash_path: if trouble { "/scan/x7".to_owned() } else { String::new() },
        settings: String::new(),
        config: config(
            12,
            &[("suture-scan", "/scan/", "download", "scanvault", 2, 2.0)],
            &[("scanvault", false)],
        ),
    };
    let Some(mut fleet) = Fleet::start(plan) else {
        println!("the fleet did not start");
        exit(2);
    };
    let verdict = play(&mut fleet, trouble);
    let folder = args.first().map_or("review/8", String::as_str).to_owned();
    fleet.record.write(&Path::new(&folder).join("record.txt"));
    if let Ok(logs) = env::var("KEEP_LOGS") {
        fleet.keep_logs(Path::new(&logs));
    }
    drop(fleet);
    exit(verdict);
}

/// Serves a harmless request at each node, as a check that all is up.
fn is_served(fleet: &Fleet) -> bool {
    let ends_at = Instant::now() + Duration::from_secs(8);
    (0..fleet.machines.len()).all(|machine| {
        let mut try_number = 0;
        loop {
            try_number += 1;
            let id = format!("check-{}-{machine}-{try_number}", unix_ms());
            let ask = Ask { method: "GET", path: "/scan/check", id: &id, key: None, body: b"", deadline: DEADLINE };
            let answer = ask.send(fleet.machines[machine].outbound(), &fleet.record);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            if Instant::now() >= ends_at {
                return false;
            }
            thread::sleep(Duration::from_millis(300));
        }
    })
}

fn play(fleet: &mut Fleet, trouble: bool) -> i32 {
    // The upstreams have announced themselves by then.
    thread::sleep(Duration::from_secs(4));
    if !is_served(fleet) {
        println!("the fleet does not serve");
        return 2;
    }

    for round in 0..ROUNDS {
        let round_ends = Instant::now() + ROUND;
        // One client attempt, and its retries at once, each on a new connection.
        let machine = round % fleet.machines.len();
        for attempt in 0..=CLIENT_RETRIES {
            let id = format!("scan-{round}-{attempt}");
            let ask = Ask { method: "GET", path: "/scan/x7", id: &id, key: None, body: b"", deadline: DEADLINE };
            let answer = ask.send(fleet.machines[machine].outbound(), &fleet.record);
            match answer {
                Ok(answer) if answer.status == 200 => break,
                // A refusal says when to come back; this client comes in the next round.
                Ok(answer) if answer.status == 503 => break,
                _ => {}
            }
        }
        let mut restarts = Vec::new();
        while Instant::now() < round_ends {
            for machine in 0..fleet.machines.len() {
                if fleet.machines[machine].upstream_crashed() {
                    fleet.record.note(format!("m{machine} upstream has crashed"));
                    restarts.push((Instant::now() + DOWN_TIME, machine));
                }
            }
            restarts.retain(|(due, machine)| {
                let is_due = Instant::now() >= *due;
                if is_due {
                    let program = fleet.program.clone();
                    fleet.machines[*machine].start_upstream(&program);
                }
                !is_due
            });
            thread::sleep(Duration::from_millis(5));
        }
    }

    thread::sleep(Duration::from_millis(200));
    let events = fleet.record.events();
    let crashes: Vec<u64> = events.iter().filter(|event| event.words[0] == "crash").map(|event| event.at_ms).collect();
    let runs = |after: u64| {
        let is_late_run = |event: &&fleet::Event| {
            event.words[0] == "run" && event.words[2] == "/scan/x7" && event.at_ms > after
        };
        events.iter().filter(is_late_run).count()
    };
    if !trouble {
        let served = runs(0);
        println!("without the trouble {served} of {ROUNDS} requests ran, {} crashes", crashes.len());
        return i32::from(served < ROUNDS || !crashes.is_empty()) * 2;
    }
    let mut sorted = crashes.clone();
    sorted.sort_unstable();
    let Some(third) = sorted.get(2) else {
        println!("only {} crashes", crashes.len());
        return 0;
    };
    let late = runs(third + STABILITY_MS);
    println!(
        "{} crashes; {late} retries reached upstreams later than {STABILITY_MS} ms after the third, {MOST_RETRIES} are allowed",
        crashes.len()
    );
    i32::from(late > MOST_RETRIES)
}
