//! The plain course of claims, takeovers and hand-overs.

use crate::driver::{SECOND, World, WorldOptions};

#[test]
fn claimed_slices_are_served_and_recorded() {
    let mut world = World::new(WorldOptions::default());
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(5 * SECOND);

    for slice in world.slices() {
        let owner = world.owner(&slice).unwrap();
        assert_eq!(world.store[&slice].record.owner, world.identity(owner));
    }

    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_lost_owner_is_replaced_within_three_seconds() {
    let mut world = World::new(WorldOptions::default());
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(5 * SECOND);

    let slice = world.slice(0);
    let owner = world.owner(&slice).unwrap();
    world.reset_gaps();
    world.kill(owner);
    world.run_for(10 * SECOND);

    let next = world.owner(&slice).unwrap();
    assert_ne!(next, owner);
    println!("{:?} {:?}", world.longest_gap, world.problems);
    assert!(world.longest_gap[&slice] <= 3 * SECOND);
    assert_eq!(world.store[&slice].record.owner, world.identity(next));
    assert_eq!(world.violations, Vec::<String>::new());
}
