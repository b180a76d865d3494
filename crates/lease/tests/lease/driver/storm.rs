//! Storms: runs of random faults, one or two at a time, that end with a time without faults.

use super::{MS, SECOND, World, WorldOptions};
use rand::Rng;
use std::time::Duration;
use wagtail_lease::{LeaseEvent, LeaseOptions};

/// The time in microseconds within which, after the last fault, every slice must be served and
/// recorded again.
const SETTLE_TIME: u64 = 40 * SECOND;

/// `StormResult` is the result of a run of random faults.
#[derive(Debug)]
pub struct StormResult {
    pub world: World,
    /// The slices that were not served by their recorded owner in the end.
    pub unsettled: Vec<String>,
    pub faults: u64,
}

impl StormResult {
    /// Returns whether faults happened, every check ran, and none of them failed.
    pub fn has_passed(&self) -> bool {
        let counts = &self.world.counts;
        let is_checked =
            counts.owners > 0 && counts.epochs > 0 && counts.work > 0 && counts.records > 0;

        is_checked
            && self.faults > 0
            && self.world.violations.is_empty()
            && self.unsettled.is_empty()
    }
}

/// Returns the options of the storm of a seed.
pub fn storm_options(seed: u64) -> WorldOptions {
    let lease = LeaseOptions {
        replace_after: Duration::from_secs([1, 3, 10][(seed / 2 % 3) as usize]),
        ..LeaseOptions::default()
    };

    WorldOptions {
        lease,
        seed,
        nodes: [3, 4, 5, 6, 7, 8, 9, 12][(seed % 8) as usize],
        loss: [0.0, 0.02, 0.1][(seed % 3) as usize],
        duplicates: 0.05,
        longest_delay: [2, 20, 120][(seed / 3 % 3) as usize] * MS,
        ..WorldOptions::default()
    }
}

/// Runs random faults for `micros`, ends all of them and checks the slices after the settle time.
pub fn run_storm(options: WorldOptions, micros: u64) -> StormResult {
    let mut world = World::new(options);
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(4 * SECOND);

    let end = world.now + micros;
    let mut timers = FaultTimers::default();
    let mut faults = 0;

    while world.now < end {
        let wait = world.rng.random_range(50 * MS..1_500 * MS);
        world.run_for(wait);
        timers.end_due_faults(&mut world);
        inject_fault(&mut world, &mut timers);
        faults += 1;

        // Some faults come in pairs, to cover coinciding failures.
        if world.rng.random_bool(0.3) {
            inject_fault(&mut world, &mut timers);
            faults += 1;
        }
    }

    timers.end_all_faults(&mut world);
    world.options.loss = 0.0;
    world.options.longest_delay = 5 * MS;
    world.link_cuts.clear();
    world.run_for(SETTLE_TIME);

    let unsettled = unsettled(&world);

    StormResult {
        world,
        unsettled,
        faults,
    }
}

/// `FaultTimers` holds when the faults in force end.
#[derive(Debug, Default)]
struct FaultTimers {
    restarts: Vec<(u64, usize)>,
    outage_until: u64,
    slow_until: u64,
}

impl FaultTimers {
    fn end_due_faults(&mut self, world: &mut World) {
        let now = world.now;
        let due: Vec<usize> = self
            .restarts
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, node)| *node)
            .collect();
        self.restarts.retain(|(at, _)| *at > now);

        for node in due {
            world.restart(node);
        }

        world.outage &= now < self.outage_until;

        if now >= self.slow_until {
            world.lost_answers = 0.0;
            world.platform_delay = 5 * MS;
        }
    }

    fn end_all_faults(&mut self, world: &mut World) {
        for (at, _) in &mut self.restarts {
            *at = 0;
        }

        self.outage_until = 0;
        self.slow_until = 0;
        self.end_due_faults(world);
    }
}

/// Causes one random fault or moves a slice.
fn inject_fault(world: &mut World, timers: &mut FaultTimers) {
    let node = world.rng.random_range(0..world.nodes.len());
    let other = world.rng.random_range(0..world.nodes.len());
    let time = world.rng.random_range(50 * MS..5 * SECOND);

    match world.rng.random_range(0..11) {
        0 | 1 => world.pause(node, time),
        2 => crash_for_a_time(world, timers, node, time),
        3 => world.cut(node, other, time),
        4 => isolate(world, node, time),
        5 => {
            world.outage = true;
            timers.outage_until = world.now + time * 4;
        }
        6 => {
            world.lost_answers = 0.5;
            world.platform_delay = 2_500 * MS;
            timers.slow_until = world.now + time;
        }
        7 | 8 => move_slice(world, other),
        9 => crash_owner_and_witness(world, timers, time),
        _ => pause_owner(world, time),
    }
}

fn crash_for_a_time(world: &mut World, timers: &mut FaultTimers, node: usize, time: u64) {
    if world.nodes[node].machine.is_some() {
        world.kill(node);
        timers.restarts.push((world.now + time, node));
    }
}

fn isolate(world: &mut World, node: usize, time: u64) {
    for other in 0..world.nodes.len() {
        world.cut(node, other, time);
        world.cut(other, node, time);
    }
}

fn move_slice(world: &mut World, to: usize) {
    let index = world.rng.random_range(0..world.options.slices);
    let slice = world.slice(index);
    let to = world.nodes[to].name.clone();

    if let Some(owner) = world.owner(&slice) {
        world.tell(owner, LeaseEvent::Move { slice, to });
    }
}

fn crash_owner_and_witness(world: &mut World, timers: &mut FaultTimers, time: u64) {
    let index = world.rng.random_range(0..world.options.slices);
    let slice = world.slice(index);

    let Some(record) = world.store.get(&slice).map(|stored| stored.record.clone()) else {
        return;
    };

    for name in record.members.iter().take(2) {
        let node = world.node(name);
        crash_for_a_time(world, timers, node, time);
    }
}

fn pause_owner(world: &mut World, time: u64) {
    let index = world.rng.random_range(0..world.options.slices);

    if let Some(owner) = world.owner(&world.slice(index)) {
        world.pause(owner, time);
    }
}

/// Returns a message for each slice that is not served by exactly its recorded owner.
fn unsettled(world: &World) -> Vec<String> {
    let mut unsettled = Vec::new();

    for slice in world.slices() {
        let owners = world.owners(&slice);

        let [owner] = owners.as_slice() else {
            unsettled.push(format!(
                "{slice} is served by {owners:?}: {:?}",
                world.store.get(&slice)
            ));
            continue;
        };

        let stored = world.store.get(&slice).map(|stored| &stored.record.owner);

        if stored != Some(&world.identity(*owner)) {
            unsettled.push(format!(
                "{slice} is served by vm-{owner}, recorded {stored:?}"
            ));
        }
    }

    unsettled
}
