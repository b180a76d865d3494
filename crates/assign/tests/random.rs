//! Random changes of targets and load, with lost messages and failed moves.

mod support;

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::env;
use support::{AssignRun, BrokenPart, CheckCounts, SLICES};

/// The targets that come and go.
const TARGETS: usize = 8;
/// The seeds that a plain test run takes; `WAGTAIL_SEEDS` sets another count.
const SEEDS: u64 = 20;

/// Returns the seeds of this run: `WAGTAIL_SEED` alone, or the first of their count.
fn seeds() -> Vec<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());

    match number("WAGTAIL_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("WAGTAIL_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

/// Runs random changes and then a quiet time, and checks every bound on the way.
fn storm(seed: u64, broken: BrokenPart) -> Result<CheckCounts, String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed + 77);
    let mut run = AssignRun::new(TARGETS, seed, broken);
    let mut draining = [false; TARGETS];
    run.run(10)?;

    for _ in 0..25 {
        let index = random.random_range(0..TARGETS);
        let spare = run.able() > 2;
        match random.random_range(0..6) {
            0 if spare && run.is_up(index) => run.crash(index),
            1 if !run.is_up(index) => {
                run.start(index);
                draining[index] = false;
            }
            2 if spare && run.is_up(index) => draining[index] = true,
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
fn bounds_hold_and_drained_targets_end_empty() {
    let mut total = CheckCounts::default();

    for seed in seeds() {
        let counts = match storm(seed, BrokenPart::Nothing) {
            Ok(counts) => counts,
            Err(fault) => panic!("WAGTAIL_SEED={seed}: {fault}"),
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

/// Returns the first fault that a broken run meets.
fn first_fault(broken: BrokenPart) -> Option<String> {
    (0..SEEDS).find_map(|seed| storm(seed, broken).err())
}

#[test]
fn more_moves_in_flight_than_allowed_are_caught() {
    assert_matches!(first_fault(BrokenPart::ManyMoves), Some(fault) if fault.contains("in flight"));
}

#[test]
fn more_moves_than_the_budget_are_caught() {
    assert_matches!(first_fault(BrokenPart::RichBudget), Some(fault) if fault.contains("budget"));
}

#[test]
fn a_drain_that_is_not_told_is_caught() {
    assert_matches!(
        first_fault(BrokenPart::DrainHidden),
        Some(fault) if fault.contains("drain")
    );
}

#[test]
fn targets_with_one_view_never_claim_the_same_slice() {
    let mut run = AssignRun::new(TARGETS, 1, BrokenPart::Nothing);
    run.faulty = false;
    run.run(5).unwrap();

    assert_eq!(run.owners.len(), SLICES as usize);
    assert_eq!(run.claims, u64::from(SLICES));
    assert!((0..TARGETS).all(|index| run.owned(index) > 0));
}
