//! Scenarios of claims, takeovers, hand-overs and recoveries, one failure at a time.

use crate::driver::{MS, SECOND, World, WorldOptions};
use assert_matches::assert_matches;
use wagtail_core::slice::SliceId;
use wagtail_lease::{LeaseEvent, LeaseProblem};

/// The longest time in microseconds that a slice may be unserved after a loss.
const MAX_UNSERVED_TIME: u64 = 3 * SECOND;

/// Creates a world whose slices are all served and recorded.
fn served_world(options: WorldOptions) -> World {
    let mut world = World::new(options);
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(5 * SECOND);

    assert_settled(&world);
    world.reset_gaps();

    world
}

/// Asserts that every slice is served by its recorded owner and that no invariant was violated.
fn assert_settled(world: &World) {
    for slice in world.slices() {
        let owner = world.owner(&slice).expect("the slice is served");
        assert_eq!(world.store[&slice].record.owner, world.identity(owner));
    }

    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.counts.owners > 0);
}

/// Returns the longest time in microseconds for which any slice was unserved.
fn longest_gap(world: &World) -> u64 {
    world.longest_gap.values().copied().max().unwrap_or(0)
}

/// Returns the members of a slice's set, the owner first.
fn members(world: &World, slice: &SliceId) -> Vec<usize> {
    let record = &world.store[slice].record;
    let owner = world.node(&record.owner.name);
    let others = record.members.iter().map(|name| world.node(name));

    [owner]
        .into_iter()
        .chain(others.filter(|node| *node != owner))
        .collect()
}

#[test]
fn a_lost_owner_is_replaced_in_time() {
    let mut world = served_world(WorldOptions::default());
    let owner = members(&world, &world.slice(0))[0];

    world.kill(owner);
    world.run_for(10 * SECOND);

    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);
    assert_settled(&world);
}

#[test]
fn an_owner_and_a_witness_lost_during_an_outage_are_replaced_in_time() {
    let mut world = served_world(WorldOptions::default());
    let members = members(&world, &world.slice(0));

    world.outage = true;
    world.run_for(5 * SECOND);
    assert_eq!(
        longest_gap(&world),
        0,
        "an outage leaves every slice served"
    );

    world.kill(members[0]);
    world.kill(members[1]);
    world.run_for(10 * SECOND);
    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);

    world.outage = false;
    world.run_for(15 * SECOND);
    assert_settled(&world);
}

#[test]
fn a_lost_zone_is_replaced_in_time() {
    let mut world = served_world(WorldOptions {
        nodes: 12,
        slices: 12,
        ..WorldOptions::default()
    });

    for node in (0..12).step_by(3) {
        world.kill(node);
    }

    world.run_for(15 * SECOND);

    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);
    assert_settled(&world);
}

#[test]
fn regions_that_lose_each_other_keep_their_slices_served() {
    // Three zones in the first region, two in the second.
    let mut world = served_world(WorldOptions {
        nodes: 20,
        zones: 5,
        first_region_zones: Some(3),
        slices: 40,
        ..WorldOptions::default()
    });
    let owners: Vec<_> = world
        .slices()
        .iter()
        .map(|slice| world.owner(slice))
        .collect();

    let is_first = |node: usize| node % 5 < 3;
    for from in 0..20 {
        for to in (0..20).filter(|to| is_first(*to) != is_first(from)) {
            world.cut(from, to, 30 * SECOND);
        }
    }
    world.run_for(40 * SECOND);

    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);
    let after: Vec<_> = world
        .slices()
        .iter()
        .map(|slice| world.owner(slice))
        .collect();
    assert_eq!(after, owners, "a cut between regions moves no slice");
    assert_settled(&world);
}

#[test]
fn a_lost_zone_of_two_in_a_region_is_replaced_in_time() {
    let mut world = served_world(WorldOptions {
        nodes: 20,
        zones: 5,
        first_region_zones: Some(3),
        slices: 40,
        ..WorldOptions::default()
    });

    for node in (4..20).step_by(5) {
        world.kill(node);
    }
    world.run_for(15 * SECOND);

    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);
    assert_settled(&world);
}

#[test]
fn a_frozen_owner_that_returns_may_not_serve() {
    let mut world = served_world(WorldOptions::default());
    let slice = world.slice(0);
    let owner = members(&world, &slice)[0];

    world.pause(owner, 5 * SECOND);
    world.run_for(5 * SECOND - MS);

    // The lease must count as lapsed before the machine has handled any event.
    let owners = world.owners(&slice);
    assert!(!owners.is_empty() && !owners.contains(&owner));

    world.run_for(5 * SECOND);
    assert!(longest_gap(&world) <= MAX_UNSERVED_TIME);
    assert_settled(&world);
}

#[test]
fn a_slice_moves_also_during_an_outage() {
    let mut world = served_world(WorldOptions::default());
    let slice = world.slice(0);
    let owner = members(&world, &slice)[0];
    let next = (owner + 1) % world.nodes.len();
    let to = world.nodes[next].name.clone();

    world.outage = true;
    world.tell(
        owner,
        LeaseEvent::Move {
            slice: slice.clone(),
            to,
        },
    );
    world.run_for(3 * SECOND);
    assert_eq!(world.owner(&slice), Some(next));

    world.outage = false;
    world.run_for(10 * SECOND);
    assert_settled(&world);
}

#[test]
fn no_more_slices_move_at_once_than_allowed() {
    let mut world = served_world(WorldOptions {
        nodes: 5,
        slices: 40,
        ..WorldOptions::default()
    });
    let to = world.nodes[1].name.clone();

    for index in (0..40).step_by(5) {
        let slice = world.slice(index);
        world.tell(
            0,
            LeaseEvent::Move {
                slice,
                to: to.clone(),
            },
        );
    }

    world.run_for(5 * SECOND);

    let refused = world
        .problems
        .iter()
        .filter(|(_, _, problem)| matches!(problem, LeaseProblem::MoveRefused { .. }))
        .count();
    assert_eq!(refused, 8 - world.options.lease.moves_in_flight);
    assert_settled(&world);
}

#[test]
fn restarts_that_outrun_replacement_leave_the_slices_served() {
    let mut world = served_world(WorldOptions::default());

    for round in 0..3 {
        for node in 0..world.nodes.len() {
            world.restart(node);
            world.run_for(1_500 * MS);
        }

        assert_eq!(world.violations, Vec::<String>::new(), "round {round}");
    }

    world.run_for(10 * SECOND);
    assert_settled(&world);
}

#[test]
fn a_fleet_that_restarts_at_once_serves_again() {
    for nodes in [1, 2, 3, 4, 8] {
        let mut world = served_world(WorldOptions {
            nodes,
            ..WorldOptions::default()
        });

        for node in 0..nodes {
            world.restart(node);
        }

        world.run_for(20 * SECOND);
        assert_settled(&world);
    }
}

#[test]
fn a_write_whose_answer_was_lost_is_recognised() {
    let mut world = World::new(WorldOptions::default());
    world.run_for(SECOND);
    world.lost_answers = 1.0;
    world.claim_all();
    world.run_for(20 * SECOND);

    for slice in world.slices() {
        assert_eq!(world.store[&slice].record.epoch.0, 5, "one claim is stored");
    }

    assert_settled(&world);
}

#[test]
fn a_lost_majority_is_reported_and_replaced_by_the_operators_word_alone() {
    let mut world = served_world(WorldOptions {
        slices: 1,
        ..WorldOptions::default()
    });
    let slice = world.slice(0);
    let lost: Vec<usize> = members(&world, &slice).into_iter().take(3).collect();

    for node in &lost {
        world.kill(*node);
        world.nodes[*node].listed = false;
    }

    world.announce_members();
    world.run_for(30 * SECOND);
    assert_eq!(
        world.owner(&slice),
        None,
        "no node may take over before the operator confirms the loss"
    );

    assert_matches!(
        world.problems.last(),
        Some((_, _, LeaseProblem::QuorumLost { silent })) if silent.len() == 3
    );

    for node in 0..world.nodes.len() {
        for gone in &lost {
            let name = world.nodes[*gone].name.clone();
            world.tell(node, LeaseEvent::NodeGone { name });
        }
    }

    world.run_for(10 * SECOND);
    assert_settled(&world);
}

#[test]
fn nodes_that_return_after_they_were_declared_gone_count_again() {
    let mut world = served_world(WorldOptions {
        nodes: 5,
        slices: 5,
        ..WorldOptions::default()
    });

    for node in 0..3 {
        world.kill(node);
    }
    world.run_for(SECOND);
    for survivor in 3..5 {
        for gone in 0..3 {
            let name = world.nodes[gone].name.clone();
            world.tell(survivor, LeaseEvent::NodeGone { name });
        }
    }
    world.run_for(20 * SECOND);

    for node in 0..3 {
        world.restart(node);
    }
    world.run_for(60 * SECOND);
    assert_settled(&world);

    // The three returned nodes are a majority of the set; the two others are not.
    for survivor in 3..5 {
        for node in 0..3 {
            world.cut(survivor, node, 30 * SECOND);
            world.cut(node, survivor, 30 * SECOND);
        }
    }
    world.run_for(60 * SECOND);
    assert_settled(&world);
}

#[test]
fn the_slices_of_a_lost_node_spread_over_many() {
    let mut world = served_world(WorldOptions {
        nodes: 12,
        slices: 120,
        ..WorldOptions::default()
    });
    let slices: Vec<SliceId> = world.slices();
    let owned = |world: &World, node| {
        let owners = slices.iter().filter_map(|slice| world.owner(slice));
        owners.filter(|owner| *owner == node).count()
    };
    assert_eq!(owned(&world, 0), 10);

    let before: Vec<usize> = (0..12).map(|node| owned(&world, node)).collect();
    world.kill(0);
    world.run_for(10 * SECOND);

    let most = (1..12).map(|node| owned(&world, node) - before[node]).max();
    let takers = (1..12).filter(|node| owned(&world, *node) > before[*node]);
    assert!(most <= Some(4), "{most:?}");
    assert!(takers.count() >= 4);
    assert_settled(&world);
}
