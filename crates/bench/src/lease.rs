//! Random fault injection and measurements of the lease machines in virtual time.

#[path = "../../lease/tests/lease/driver/mod.rs"]
#[allow(
    dead_code,
    reason = "the tests use more of the driver than the measurements"
)]
pub mod driver;

use clap::{Arg, ArgMatches, Command, value_parser};
use driver::{
    MS, SECOND, World, WorldCounts, WorldOptions,
    storm::{run_storm, storm_options},
};
use std::{fs, sync::LazyLock, time::Instant};
use wagtail_core::slice::SliceId;
use wagtail_lease::{LeaseEvent, LeaseMessage};

/// The number of slices that each node owns in the measurements.
const SLICES_PER_NODE: u32 = 16;

/// The total size in bytes of the headers of IP, of TCP with the timestamps option, and of an
/// HTTP/2 data frame.
const HEADER_BYTES: u64 = 20 + 32 + 9;

/// The time of the first stopwatch reading, from which all are counted.
static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the definition of the subcommand that injects random faults.
pub fn storm_command() -> Command {
    Command::new("lease-storm")
        .about("Runs the lease machines under random faults, one run a seed")
        .arg(number("seeds", "100", "the runs"))
        .arg(number("first", "0", "the seed of the first run"))
        .arg(number(
            "seconds",
            "60",
            "the virtual seconds of faults in a run",
        ))
}

/// Returns the definition of the subcommand that measures unavailability and cost.
pub fn measure_command() -> Command {
    Command::new("lease-measure")
        .about("Measures unavailable time, control cost and platform calls of the lease machines")
        .arg(number("runs", "100", "the runs of each failure"))
        .arg(number(
            "nodes",
            "0",
            "one fleet size in place of 14, 50, 150 and 620",
        ))
        .arg(number("only-gaps", "0", "1 leaves the control cost out"))
}

/// Runs the machines under random faults and returns whether every run passed.
pub fn run_storms(arguments: &ArgMatches) -> bool {
    let seeds = get(arguments, "seeds");
    let first = get(arguments, "first");
    let seconds = get(arguments, "seconds");

    let mut failed = 0;
    let mut checked = 0;
    let mut faults = 0;

    for seed in first..first + seeds {
        let result = run_storm(storm_options(seed), seconds * SECOND);
        let counts = &result.world.counts;

        checked += counts.owners + counts.epochs + counts.work + counts.records;
        faults += result.faults;

        if !result.has_passed() {
            failed += 1;
            println!("seed {seed} failed");
            print_first(&result.world.violations);
            print_first(&result.unsettled);
            println!(
                "  replay: cargo run --release -p wagtail-bench -- lease-storm --seeds 1 --first {seed} --seconds {seconds}"
            );
        }
    }

    println!("runs={seeds} failed={failed} faults={faults} checks={checked}");

    failed == 0 && checked > 0
}

/// Runs and prints the measurements, and returns whether no invariant was violated.
pub fn run_measurements(arguments: &ArgMatches) -> bool {
    let runs = get(arguments, "runs");
    let nodes = get(arguments, "nodes");
    let mut has_passed = measure_gaps(runs);

    if get(arguments, "only-gaps") == 1 {
        return has_passed;
    }

    let sizes = if nodes == 0 {
        vec![14, 50, 150, 620]
    } else {
        vec![nodes]
    };

    for size in sizes {
        let size = usize::try_from(size).unwrap_or(14);
        has_passed &= measure_cost(size);
    }

    has_passed
}

/// `GapCase` is a failure whose unavailable time is measured.
struct GapCase {
    /// The printed name of the failure.
    name: &'static str,
    /// Injects the failure; takes the measured slice and its members, the owner first.
    inject: fn(&mut World, &SliceId, &[usize]),
    /// Whether the targets check fencing tokens.
    fenced: bool,
}

/// Measures the unavailable time of a key for each failure, and returns whether no invariant was
/// violated.
fn measure_gaps(runs: u64) -> bool {
    let kill_first_member = |world: &mut World, _: &SliceId, set: &[usize]| world.kill(set[0]);
    let kill_first_two_members = |world: &mut World, _: &SliceId, set: &[usize]| {
        world.kill(set[0]);
        world.kill(set[1]);
    };

    let cases = [
        GapCase {
            name: "owner lost",
            inject: kill_first_member,
            fenced: false,
        },
        GapCase {
            name: "owner lost, fenced targets",
            inject: kill_first_member,
            fenced: true,
        },
        GapCase {
            name: "owner and witness lost",
            inject: kill_first_two_members,
            fenced: false,
        },
        GapCase {
            name: "owner and first deputy lost",
            inject: kill_owner_and_deputy,
            fenced: false,
        },
        GapCase {
            name: "owner lost in an outage",
            inject: |world, slice, set| {
                world.outage = true;
                world.run_for(2 * SECOND);
                kill_owner(world, slice, set);
            },
            fenced: false,
        },
        GapCase {
            name: "owner and witness lost in an outage",
            inject: |world, _, set| {
                world.outage = true;
                world.run_for(2 * SECOND);
                world.kill(set[0]);
                world.kill(set[1]);
            },
            fenced: false,
        },
        GapCase {
            name: "zone lost",
            inject: kill_zone,
            fenced: false,
        },
        GapCase {
            name: "owner frozen 5 s",
            inject: |world, _, set| world.pause(set[0], 5 * SECOND),
            fenced: false,
        },
        GapCase {
            name: "owner restarted after 300 ms",
            inject: |world, _, set| {
                world.kill(set[0]);
                world.run_for(300 * MS);
                world.restart(set[0]);
            },
            fenced: false,
        },
        GapCase {
            name: "planned move, drain up to 300 ms",
            inject: move_to_next_node,
            fenced: false,
        },
    ];

    let mut has_passed = true;

    for case in cases {
        has_passed &= measure_gap(&case, runs);
    }

    has_passed
}

/// Measures one failure, and returns whether no invariant was violated.
fn measure_gap(case: &GapCase, runs: u64) -> bool {
    let mut gaps = Vec::new();
    let mut broken = 0;

    for seed in 0..runs {
        let mut world = World::new(WorldOptions {
            nodes: 15,
            slices: 15,
            seed,
            loss: 0.01,
            fenced: case.fenced,
            ..WorldOptions::default()
        });

        world.run_for(SECOND);
        world.claim_all();
        world.run_for(6 * SECOND);

        // Varies the phase of the renewals at which the failure occurs.
        world.run_for(seed * 7 % 250 * MS);

        let slice = world.slice(u32::try_from(seed % 15).unwrap_or(0));
        let record = &world.store[&slice].record;
        let mut set: Vec<usize> = record.members.iter().map(|name| world.node(name)).collect();
        let owner = world.node(&record.owner.name);
        set.sort_by_key(|node| *node != owner);

        world.reset_gaps();
        (case.inject)(&mut world, &slice, &set);
        world.run_for(10 * SECOND);

        gaps.push(world.longest_gap.get(&slice).copied().unwrap_or(0) / MS);
        broken += world.violations.len();
    }

    gaps.sort_unstable();
    println!(
        "unavailable case={:?} runs={runs} p50_ms={} p99_ms={} worst_ms={} violations={broken}",
        case.name,
        gaps[gaps.len() / 2],
        gaps[gaps.len() * 99 / 100],
        gaps[gaps.len() - 1],
    );

    broken == 0
}

/// Kills the owner.
fn kill_owner(world: &mut World, _: &SliceId, set: &[usize]) {
    world.kill(set[0]);
}

/// Kills the owner and the first deputy, the node that is called first.
fn kill_owner_and_deputy(world: &mut World, slice: &SliceId, set: &[usize]) {
    let deputy = world.node(&world.store[slice].record.deputies[0]);

    world.kill(set[0]);
    world.kill(deputy);
}

/// Kills all nodes in the zone of the owner.
fn kill_zone(world: &mut World, _: &SliceId, set: &[usize]) {
    let zone = set[0] % world.options.zones;

    for node in (zone..world.nodes.len()).step_by(world.options.zones) {
        world.kill(node);
    }
}

/// Starts a planned move of the slice to the next node.
fn move_to_next_node(world: &mut World, slice: &SliceId, set: &[usize]) {
    let to = (set[0] + 1) % world.nodes.len();
    let to = world.nodes[to].name.clone();
    let slice = slice.clone();

    world.tell(set[0], LeaseEvent::Move { slice, to });
}

/// Measures the control cost of a fleet and the calls to the platform when a part of it is lost,
/// and returns whether no invariant was violated.
fn measure_cost(nodes: usize) -> bool {
    let resident = resident_kilobytes();
    let mut world = served_fleet(nodes);
    let resident = resident_kilobytes().saturating_sub(resident);

    world.counts = WorldCounts::default();
    world.run_for(10 * SECOND);
    print_cost(nodes, &world, resident);

    // Each part is lost in a different zone and restarts before the next loss.
    let zones = world.options.zones;
    let parts = [("vm", 1), ("rack", 20), ("zone", nodes)];

    for (zone, (name, count)) in parts.into_iter().enumerate() {
        let lost: Vec<usize> = (zone..nodes).step_by(zones).take(count).collect();

        // A small fleet has no racks, and losing larger parts would cost it its majorities.
        if nodes >= 50 || count == 1 {
            measure_loss(&mut world, name, &lost);

            for node in lost {
                world.restart(node);
            }

            world.run_for(20 * SECOND);
        }
    }

    world.violations.is_empty()
}

/// Creates a fleet whose slices are all served and recorded.
fn served_fleet(nodes: usize) -> World {
    let count = u32::try_from(nodes).unwrap_or(u32::MAX);
    let mut world = World::new(WorldOptions {
        nodes,
        zones: if nodes >= 150 { 5 } else { 3 },
        slices: count * SLICES_PER_NODE,
        probe: if nodes >= 150 { 50 * MS } else { 10 * MS },
        measure: Some(encoded),
        stopwatch: Some(stopwatch),
        ..WorldOptions::default()
    });

    world.run_for(SECOND);
    world.claim_all();

    // Claims share the platform's limit of 300 calls per second; the wait assumes 200.
    world.run_for(15 * SECOND + u64::from(count * SLICES_PER_NODE) * SECOND / 200);

    world
}

/// Prints the steady-state control cost of a node.
fn print_cost(nodes: usize, world: &World, resident: u64) {
    let counts = &world.counts;
    let shared = nodes as u64 * 10;
    let headers = counts.messages * HEADER_BYTES;
    let unserved = world
        .slices()
        .iter()
        .filter(|slice| world.owner(slice).is_none())
        .count();

    println!(
        "cost nodes={nodes} slices={} unserved={unserved} sent_messages_s={} sent_payload_bytes_s={} \
         sent_and_received_bytes_s={} handled_s={} ns_a_handle={} core_us_a_second={} \
         resident_kb_a_machine={}",
        world.options.slices,
        counts.messages / shared,
        counts.bytes / shared,
        (counts.bytes + headers) * 2 / shared,
        counts.handled / shared,
        counts.handled_ns / counts.handled.max(1),
        counts.handled_ns / shared / 1_000,
        resident / nodes as u64,
    );
}

/// Measures the calls to the platform and the unavailable time when nodes are lost at once.
fn measure_loss(world: &mut World, name: &str, lost: &[usize]) {
    let nodes = world.nodes.len();

    world.counts = WorldCounts::default();
    world.reset_gaps();

    for node in lost {
        world.kill(*node);
    }

    world.run_for(30 * SECOND);

    let worst = world.longest_gap.values().copied().max().unwrap_or(0) / MS;
    let counts = &world.counts;
    let over = world
        .longest_gap
        .values()
        .filter(|gap| **gap > 3 * SECOND)
        .count();

    println!(
        "loss nodes={nodes} lost={name} count={} slices={} reads={} writes={} most_writes_s={} \
         worst_gap_ms={worst} gaps_over_3s={over} sent_bytes_s_a_node={} violations={}",
        lost.len(),
        world.longest_gap.len(),
        counts.reads,
        counts.writes,
        counts.max_writes_per_second,
        (counts.bytes + counts.messages * HEADER_BYTES) / 30 / nodes as u64,
        world.violations.len(),
    );
}

/// Returns the encoded size of a message.
fn encoded(message: &LeaseMessage) -> usize {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_or(0, |bytes| bytes.len())
}

/// Returns the nanoseconds since the first reading of the stopwatch.
fn stopwatch() -> u64 {
    u64::try_from(ORIGIN.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Returns the resident memory of this process in KiB.
fn resident_kilobytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));

    line.and_then(|line| line.split_whitespace().nth(1))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Prints the first few lines of a list.
fn print_first(lines: &[String]) {
    for line in lines.iter().take(3) {
        println!("  {line}");
    }
}

/// Returns the value of a numeric argument.
fn get(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or(0)
}

/// Returns a numeric argument.
fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
