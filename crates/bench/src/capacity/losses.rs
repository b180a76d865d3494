//! Calls to the platform and unserved time after the loss of nodes, in virtual time.

use super::fit::{LineFit, f64_from_u64, f64_from_usize};
use crate::lease::driver::{SECOND, World, WorldOptions};
use std::time::Duration;
use wagtail_lease::LeaseOptions;

/// The number of nodes of the fleet.
const NODES: usize = 620;
/// The number of availability zones over which the nodes are spread.
const ZONES: usize = 5;
/// The number of slices that each node owns in the run.
const SLICES_PER_NODE: usize = 2;
/// The planned number of slices of each node.
const PLANNED_SLICES: f64 = 40.0;
/// The numbers of nodes that are lost at once: one VM, a few, a rack and a zone.
const LOST: [usize; 4] = [1, 5, 20, 124];
/// The observed time after the loss in virtual seconds.
const WATCHED_SECONDS: u64 = 40;
/// The rate at which slices are claimed, in writes per second.
const CLAIMS_PER_SECOND: usize = 250;
/// The default renewal interval of a daemon.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the calls to the platform by the number of lost nodes.
pub fn run() {
    println!("lost,slices lost,reads,writes,most calls/s,last call after s,longest unserved ms");
    let mut reads = Vec::new();
    let mut writes = Vec::new();

    for lost in LOST {
        let (read, written) = kill_nodes(lost);
        let slices = f64_from_usize(lost * SLICES_PER_NODE);
        reads.push((slices, read));
        writes.push((slices, written));
    }

    let planned = 124.0 * PLANNED_SLICES;
    LineFit::new(&reads).print("reads", "calls", "lost slice", planned);
    LineFit::new(&writes).print("writes", "calls", "lost slice", planned);
}

/// Kills nodes of one zone and returns the number of reads and writes that followed.
fn kill_nodes(lost: usize) -> (f64, f64) {
    let mut world = make_world();
    for node in 0..lost {
        world.kill(node * ZONES % NODES);
    }
    world.reset_gaps();

    let before = world.counts.clone();
    let mut calls = before.reads + before.writes;
    let (mut most, mut last_call) = (0, 0);
    for second in 1..=WATCHED_SECONDS {
        world.run_for(SECOND);
        let now = world.counts.reads + world.counts.writes;
        most = most.max(now - calls);
        if now > calls {
            last_call = second;
        }
        calls = now;
    }

    let reads = world.counts.reads - before.reads;
    let writes = world.counts.writes - before.writes;
    let gap = world.longest_gap.values().max().copied().unwrap_or(0);
    println!(
        "{lost},{},{reads},{writes},{most},{last_call},{}",
        lost * SLICES_PER_NODE,
        gap / 1_000
    );

    (f64_from_u64(reads), f64_from_u64(writes))
}

/// Creates a fleet whose slices are all served.
fn make_world() -> World {
    let total = NODES * SLICES_PER_NODE;
    let mut world = World::new(WorldOptions {
        nodes: NODES,
        zones: ZONES,
        slices: u32::try_from(total).unwrap_or(u32::MAX),
        fenced: true,
        lease: LeaseOptions {
            renew_interval: RENEW_INTERVAL,
            ..LeaseOptions::default()
        },
        ..WorldOptions::default()
    });

    world.run_for(SECOND);
    world.claim_all();
    let settle = u64::try_from(total / CLAIMS_PER_SECOND + 8).unwrap_or(u64::MAX);
    world.run_for(settle * SECOND);

    world
}
