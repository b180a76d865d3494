//! The machines compared with a central reference model that never fails.

use crate::driver::{SECOND, World, WorldOptions};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use wagtail_core::slice::SliceId;
use wagtail_lease::LeaseEvent;

/// The number of random changes per seed.
const STEP_COUNT: usize = 12;

/// The time after a change, in microseconds, after which the machines must agree with the model.
const SETTLE_TIME: u64 = 8 * SECOND;

/// `ReferenceModel` assigns owners centrally and at once, and learns of every lost node.
#[derive(Debug, Default)]
struct ReferenceModel {
    owners: BTreeMap<SliceId, usize>,
    lost: BTreeSet<usize>,
}

impl ReferenceModel {
    fn claim(&mut self, slice: SliceId, node: usize) {
        self.owners.entry(slice).or_insert(node);
    }

    fn move_slice(&mut self, slice: &SliceId, to: usize) {
        if !self.lost.contains(&to) {
            self.owners.insert(slice.clone(), to);
        }
    }

    fn lose_node(&mut self, node: usize, deputies: &BTreeMap<SliceId, Vec<usize>>) {
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

/// Returns the deputies of each slice, in the order of its stored record.
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
fn the_machines_agree_with_the_reference_model_when_settled() {
    for seed in 0..6 {
        let mut world = World::new(WorldOptions {
            nodes: 7,
            slices: 7,
            seed,
            ..WorldOptions::default()
        });
        let mut reference = ReferenceModel::default();

        world.run_for(SECOND);
        world.claim_all();

        for index in 0..7 {
            reference.claim(world.slice(index), index as usize);
        }

        world.run_for(SETTLE_TIME);

        for step in 0..STEP_COUNT {
            apply_random_change(&mut world, &mut reference);
            world.run_for(SETTLE_TIME);

            for (slice, owner) in &reference.owners {
                let owners = world.owners(slice);
                assert_eq!(owners, vec![*owner], "seed {seed}, step {step}, {slice}");
            }
        }

        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Moves a slice, kills a node or restarts a killed one, in the machines and in the model.
fn apply_random_change(world: &mut World, reference: &mut ReferenceModel) {
    let node = world.rng.random_range(0..7);
    let index = world.rng.random_range(0..7);
    let slice = world.slice(index);

    if reference.lost.contains(&node) {
        reference.lost.remove(&node);
        world.restart(node);
    } else if reference.lost.len() < 2 && world.rng.random_bool(0.5) {
        reference.lose_node(node, &deputies(world));
        world.kill(node);
    } else {
        let owner = reference.owners[&slice];
        let to = world.nodes[node].name.clone();

        reference.move_slice(&slice, node);
        world.tell(owner, LeaseEvent::Move { slice, to });
    }
}
