//! Ownership changes when the network between two regions is cut, in virtual time.

use super::fit::{LineFit, f64_from_u64, f64_from_usize};
use crate::lease::driver::{SECOND, World, WorldOptions};
use std::time::Duration;
use wagtail_core::ids::NodeName;
use wagtail_lease::LeaseOptions;

/// The measured numbers of nodes.
const NODES: [usize; 4] = [20, 40, 60, 100];
/// The number of availability zones; the first [`FIRST_REGION`] are in one region, the others in a
/// second one.
const ZONES: usize = 5;
/// The number of zones of the first region.
const FIRST_REGION: usize = 3;
/// The number of slices that each node owns.
const SLICES_PER_NODE: usize = 10;
/// The planned number of slices.
const PLANNED_SLICES: f64 = 24_800.0;
/// The length of the network partition in virtual seconds.
const CUT_SECONDS: u64 = 30;
/// The rate at which slices are claimed, in writes per second.
const CLAIMS_PER_SECOND: usize = 250;
/// The accepted bound on the time for which a key is unserved, in microseconds.
const LONGEST_UNSERVED: u64 = 3 * SECOND;
/// The default renewal interval of a daemon.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the ownership changes and the calls to the platform by the number of slices. The platform
/// stays reachable from both regions.
pub fn run() {
    println!("nodes,slices,changed owner,unserved over 3 s,reads,writes,longest unserved ms");
    let (mut moves, mut writes) = (Vec::new(), Vec::new());

    for nodes in NODES {
        let (changed, written) = cut(nodes);
        let slices = f64_from_usize(nodes * SLICES_PER_NODE);
        moves.push((slices, changed));
        writes.push((slices, written));
    }

    LineFit::new(&moves).print("changed owner", "slices", "slice", PLANNED_SLICES);
    LineFit::new(&writes).print("writes", "calls", "slice", PLANNED_SLICES);
}

/// Partitions the regions of a fleet and returns the number of changed owners and of writes.
fn cut(nodes: usize) -> (f64, f64) {
    let mut world = make_world(nodes);
    let owners = owners(&world);
    let before = world.counts.clone();
    world.reset_gaps();

    let is_first = |node: usize| node % ZONES < FIRST_REGION;
    for from in 0..nodes {
        for to in (0..nodes).filter(|to| is_first(*to) != is_first(from)) {
            world.cut(from, to, CUT_SECONDS * SECOND);
        }
    }
    world.run_for(CUT_SECONDS * SECOND);

    let changed = self::owners(&world)
        .iter()
        .zip(&owners)
        .filter(|(now, then)| now != then)
        .count();
    let reads = world.counts.reads - before.reads;
    let writes = world.counts.writes - before.writes;
    let gap = world.longest_gap.values().max().copied().unwrap_or(0);
    let late = world
        .longest_gap
        .values()
        .filter(|gap| **gap > LONGEST_UNSERVED)
        .count();
    println!(
        "{nodes},{},{changed},{late},{reads},{writes},{}",
        nodes * SLICES_PER_NODE,
        gap / 1_000
    );

    (f64_from_usize(changed), f64_from_u64(writes))
}

/// Returns the owner of each slice.
fn owners(world: &World) -> Vec<Option<NodeName>> {
    world
        .slices()
        .iter()
        .map(|slice| world.owner(slice).map(|node| world.identity(node).name))
        .collect()
}

/// Creates a fleet whose slices are all served.
fn make_world(nodes: usize) -> World {
    let total = nodes * SLICES_PER_NODE;
    let mut world = World::new(WorldOptions {
        nodes,
        zones: ZONES,
        first_region_zones: Some(FIRST_REGION),
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
    let settle = u64::try_from(total / CLAIMS_PER_SECOND + 15).unwrap_or(u64::MAX);
    world.run_for(settle * SECOND);

    world
}
