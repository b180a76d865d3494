//! Deliberately broken variants of the machine, each of which random faults or a scenario must
//! detect.

use crate::driver::{
    MS, SECOND, World, WorldOptions,
    storm::{run_storm, storm_options},
};
use std::time::Duration;
use wagtail_core::{lease::LeaseRecord, slice::SliceId};
use wagtail_lease::{LeaseOptions, options::LeaseFault};

/// The number of storms, runs of random faults, within which a broken variant must be detected.
const STORM_COUNT: u64 = 60;

/// Returns whether a storm makes a variant violate an invariant. The test in `random_faults` shows
/// that the correct machine violates none in the storms of the first seeds.
fn is_detected(change: impl Fn(&mut WorldOptions)) -> bool {
    (0..STORM_COUNT).any(|seed| {
        let mut options = storm_options(seed);
        change(&mut options);

        !run_storm(options, 30 * SECOND).world.violations.is_empty()
    })
}

#[test]
fn a_lease_that_ignores_pauses_is_found() {
    assert!(is_detected(|options| options.clock_ignores_pauses = true));
}

#[test]
fn a_witness_that_forgets_its_promise_is_found() {
    assert!(is_detected(|options| {
        options.lease.fault = LeaseFault::ForgetPromise;
    }));
}

#[test]
fn a_restart_that_keeps_its_incarnation_is_found() {
    assert!(is_detected(|options| options.keeps_incarnation = true));
}

#[test]
fn a_restarted_witness_that_grants_at_once_is_found() {
    assert!(is_detected(|options| {
        options.lease.fault = LeaseFault::NoQuietTerm;
    }));
}

#[test]
fn a_changed_set_without_the_old_majority_is_found() {
    assert!(is_detected(|options| {
        options.lease.fault = LeaseFault::NewSetOnly;
    }));
}

/// Creates a world of eight nodes and one slice that is served and recorded.
fn settled_world(fault: LeaseFault) -> (World, SliceId, LeaseRecord) {
    let lease = LeaseOptions {
        replace_after: Duration::from_secs(1),
        fault,
        ..LeaseOptions::default()
    };

    let mut world = World::new(WorldOptions {
        slices: 1,
        lease,
        ..WorldOptions::default()
    });

    world.run_for(SECOND);
    world.claim_all();
    world.run_for(3 * SECOND);

    let slice = world.slice(0);
    let record = world.store[&slice].record.clone();

    (world, slice, record)
}

/// Changes the set of an owner that gets the response from the platform only after it was deposed.
fn change_set_after_deposition(fault: LeaseFault) -> World {
    let (mut world, slice, record) = settled_world(fault);
    let owner = world.node(&record.owner.name);
    let witness = world.node(&record.members[1]);

    world.platform_delay = 300 * MS;
    world.kill(witness);

    while world.store[&slice].record.set_epoch == record.set_epoch {
        world.run_for(MS);
    }

    // The change is stored, its response is in flight, and no node can read the record.
    world.outage = true;
    world.pause(owner, 1_500 * MS);
    world.run_for(10 * SECOND);

    world
}

#[test]
fn a_deposed_owner_that_changes_its_set_waits_for_the_grants_to_another() {
    let broken = change_set_after_deposition(LeaseFault::DeposedChange);
    assert!(!broken.violations.is_empty());

    let correct = change_set_after_deposition(LeaseFault::None);
    assert_eq!(correct.violations, Vec::<String>::new());
    assert!(correct.counts.owners > 0);
}

/// Changes a set while its owner can't reach the platform. Then a majority of the old set restarts
/// on the other side of a network partition and knows only the platform's record.
fn change_set_unwritten(fault: LeaseFault) -> World {
    let (mut world, _, record) = settled_world(fault);
    let members: Vec<usize> = record.members.iter().map(|name| world.node(name)).collect();
    let others = (0..world.nodes.len()).filter(|node| !members.contains(node));
    let others: Vec<usize> = others.collect();

    world.cut_from_platform.insert(members[0]);
    world.kill(members[3]);
    world.kill(members[4]);
    world.run_for(5 * SECOND);

    for left in [members[0], members[1], others[0], others[1]] {
        for right in [members[2], members[3], members[4], others[2]] {
            world.cut(left, right, 60 * SECOND);
            world.cut(right, left, 60 * SECOND);
        }
    }

    for member in &members[2..] {
        world.restart(*member);
    }

    world.run_for(15 * SECOND);

    world
}

#[test]
fn a_changed_set_counts_only_when_its_record_is_known_to_be_stored() {
    let broken = change_set_unwritten(LeaseFault::UnwrittenSet);
    assert!(!broken.violations.is_empty());

    let correct = change_set_unwritten(LeaseFault::None);
    assert_eq!(correct.violations, Vec::<String>::new());
    assert!(correct.counts.owners > 0);
}
