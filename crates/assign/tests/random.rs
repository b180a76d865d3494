//! Simulations with random changes of targets and load, lost messages and failed moves.

mod support;

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::env;
use support::{AssignSimulation, CheckCounts, InjectedFault, SLICES};

/// The number of targets that are stopped, restarted and drained.
const TARGETS: usize = 8;
/// The number of seeds of a test run unless `WAGTAIL_SEEDS` is set.
const SEEDS: u64 = 20;

/// Returns the seeds of this run: `WAGTAIL_SEED` alone if it is set, otherwise as many as
/// `WAGTAIL_SEEDS` says, from 0.
fn seeds() -> Vec<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());

    match number("WAGTAIL_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("WAGTAIL_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

/// Simulates random changes, then a time without faults and changes, and checks the bounds of every
/// move. At the end drained targets must own no slices and all slices must be owned.
fn simulate(seed: u64, injected: InjectedFault) -> Result<CheckCounts, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed + 77);
    let mut run = AssignSimulation::new(TARGETS, seed, injected);
    let mut draining = [false; TARGETS];
    run.run(10)?;

    for _ in 0..25 {
        let index = random.random_range(0..TARGETS);
        let can_lose_target = run.eligible() > 2;
        match random.random_range(0..6) {
            0 if can_lose_target && run.is_up(index) => run.crash(index),
            1 if !run.is_up(index) => {
                run.start(index);
                draining[index] = false;
            }
            2 if can_lose_target && run.is_up(index) => draining[index] = true,
            3 => draining[index] = false,
            _ => run.shift_load(),
        }
        run.drain(index, draining[index]);
        run.announce();
        run.run(random.random_range(1..20))?;
    }

    run.faulty = false;
    run.run(60)?;
    for (index, drained) in draining.iter().enumerate() {
        if !drained || !run.is_up(index) {
            continue;
        }
        if run.owned(index) > 0 {
            return Err(format!(
                "vm-{index} is drained and owns {} slices",
                run.owned(index)
            ));
        }
        run.counts.drained += 1;
    }
    if run.owners.len() != SLICES as usize {
        return Err(format!(
            "only {} slices are owned when quiet",
            run.owners.len()
        ));
    }

    Ok(run.counts)
}

#[test]
fn bounds_hold_and_drained_targets_own_no_slices_at_the_end() {
    let mut total = CheckCounts::default();

    for seed in seeds() {
        let counts = match simulate(seed, InjectedFault::Nothing) {
            Ok(counts) => counts,
            Err(violation) => panic!("WAGTAIL_SEED={seed}: {violation}"),
        };

        total.balance_moves += counts.balance_moves;
        total.drain_moves += counts.drain_moves;
        total.failed_moves += counts.failed_moves;
        total.messages += counts.messages;
        total.drained += counts.drained;
    }

    println!("{total:?}");
    let counts = [
        total.balance_moves,
        total.drain_moves,
        total.failed_moves,
        total.messages,
        total.drained,
    ];
    assert!(counts.iter().all(|&count| count > 0), "{total:?}");
}

/// Returns the first violated bound in the runs with an injected fault.
fn first_violation(injected: InjectedFault) -> Option<String> {
    (0..SEEDS).find_map(|seed| simulate(seed, injected).err())
}

#[test]
fn more_moves_in_flight_than_allowed_are_caught() {
    assert_matches!(
        first_violation(InjectedFault::ExcessMoves),
        Some(violation) if violation.contains("in flight")
    );
}

#[test]
fn more_moves_than_the_budget_are_caught() {
    assert_matches!(
        first_violation(InjectedFault::FastRefill),
        Some(violation) if violation.contains("budget")
    );
}

#[test]
fn an_unannounced_drain_is_caught() {
    assert_matches!(
        first_violation(InjectedFault::UnannouncedDrain),
        Some(violation) if violation.contains("drain")
    );
}

#[test]
fn targets_that_know_the_same_members_never_claim_the_same_slice() {
    let mut run = AssignSimulation::new(TARGETS, 1, InjectedFault::Nothing);
    run.faulty = false;
    run.run(5).unwrap();

    assert_eq!(run.owners.len(), SLICES as usize);
    assert_eq!(run.claims, u64::from(SLICES));
    assert!((0..TARGETS).all(|index| run.owned(index) > 0));
}
