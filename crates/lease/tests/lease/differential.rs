//! The machines against an owner with one lock and no failures of its own.

use crate::driver::{SECOND, World, WorldOptions};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use wagtail_core::slice::SliceId;
use wagtail_lease::LeaseEvent;

/// The steps of one run.
const STEPS: usize = 12;

/// The time after which everything is quiet again.
const QUIET: u64 = 8 * SECOND;

/// `NaiveOwner` decides alone, at once, and sees every loss.
#[derive(Debug, Default)]
struct NaiveOwner {
    owners: BTreeMap<SliceId, usize>,
    lost: BTreeSet<usize>,
}

impl NaiveOwner {
    fn claim(&mut self, slice: SliceId, node: usize) {
        self.owners.entry(slice).or_insert(node);
    }

    fn move_slice(&mut self, slice: &SliceId, to: usize) {
        if !self.lost.contains(&to) {
            self.owners.insert(slice.clone(), to);
        }
    }

    fn lose(&mut self, node: usize, deputies: &BTreeMap<SliceId, Vec<usize>>) {
        self.lost.insert(node);

        for (slice, owner) in &mut self.owners {
            if *owner == node {
                let next = deputies[slice]
                    .iter()
                    .find(|next| !self.lost.contains(next));
                *owner = *next.expect("a deputy is left");
            }
        }
    }
}

/// Returns the deputies of each slice, as recorded.
fn deputies(world: &World) -> BTreeMap<SliceId, Vec<usize>> {
    let records = world.store.values().map(|stored| &stored.record);

    records
        .map(|record| {
            let nodes = record.deputies.iter().map(|name| world.node(name));

            (record.slice.clone(), nodes.collect())
        })
        .collect()
}

#[test]
fn the_machines_agree_with_one_lock_when_quiet() {
    for seed in 0..6 {
        let mut world = World::new(WorldOptions {
            nodes: 7,
            slices: 7,
            seed,
            ..WorldOptions::default()
        });
        let mut naive = NaiveOwner::default();

        world.run_for(SECOND);
        world.claim_all();

        for index in 0..7 {
            naive.claim(world.slice(index), index as usize);
        }

        world.run_for(QUIET);

        for step in 0..STEPS {
            take_step(&mut world, &mut naive);
            world.run_for(QUIET);

            for (slice, owner) in &naive.owners {
                let owners = world.owners(slice);
                assert_eq!(owners, vec![*owner], "seed {seed}, step {step}, {slice}");
            }
        }

        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Moves a slice, loses a node or starts a lost one.
fn take_step(world: &mut World, naive: &mut NaiveOwner) {
    let node = world.rng.random_range(0..7);
    let index = world.rng.random_range(0..7);
    let slice = world.slice(index);

    if naive.lost.contains(&node) {
        naive.lost.remove(&node);
        world.restart(node);
    } else if naive.lost.len() < 2 && world.rng.random_bool(0.5) {
        naive.lose(node, &deputies(world));
        world.kill(node);
    } else {
        let owner = naive.owners[&slice];
        let to = world.nodes[node].name.clone();

        naive.move_slice(&slice, node);
        world.tell(owner, LeaseEvent::Move { slice, to });
    }
}
