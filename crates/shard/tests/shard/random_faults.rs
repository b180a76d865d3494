//! Random faults in virtual time: no key is ever held by two incarnations, and its fencing tokens
//! only rise.

use crate::storm::{CHECKED_KEYS, FaultSimulation, StormOptions};
use std::panic::catch_unwind;

/// The virtual time of one simulation in milliseconds.
const SIMULATION_MS: u64 = 60_000;

/// The number of simulations of a test, each with its own seed.
const SEED_COUNT: u64 = 100;

/// On average a fault every 1.7 s.
const FAULT_RATE: f64 = 0.006;

/// On average two returns of the store in 60 s.
const RETURN_RATE: f64 = 0.000_35;

/// Runs a simulation. Returns for how long the keys were held, in milliseconds.
fn run_storm(seed: u64, options: StormOptions) -> u64 {
    let mut simulation = FaultSimulation::new(seed, options);
    simulation.run(SIMULATION_MS, &[]);

    simulation.served_total_ms()
}

/// Runs a simulation for each seed. Returns the share of the time for which the keys were held.
///
/// # Panics
///
/// Panics when a simulation has failed, after all have run.
fn run_storms(options: StormOptions) -> f64 {
    let mut served = 0;
    let mut failed = Vec::new();
    for seed in 1..=SEED_COUNT {
        match catch_unwind(|| run_storm(seed, options)) {
            Ok(storm_served) => served += storm_served,
            Err(_reported) => failed.push(seed),
        }
    }
    assert!(
        failed.is_empty(),
        "{} storms failed: {failed:?}",
        failed.len()
    );

    #[expect(
        clippy::cast_precision_loss,
        reason = "a share needs no more than 52 bits"
    )]
    let share = served as f64 / (SEED_COUNT * SIMULATION_MS * CHECKED_KEYS) as f64;
    println!("{share:.3} of the key time was served with {options:?}");
    share
}

#[test]
fn no_key_has_two_holders_under_random_faults() {
    let served = run_storms(StormOptions {
        fault_rate: FAULT_RATE,
        ..StormOptions::default()
    });

    assert!(served > 0.5, "{served}");
}

/// Guards against two holders of a key, and against tokens that are given out twice, when the store
/// returns from an older copy without any other fault.
#[test]
fn no_key_has_two_holders_when_the_store_returns_from_a_copy() {
    let served = run_storms(StormOptions {
        return_rate: RETURN_RATE * 1.5,
        ..StormOptions::default()
    });

    assert!(served > 0.5, "{served}");
}

/// Guards against two holders of a key, and against tokens that are given out twice, when the store
/// returns from an older copy while targets, nodes and their links fail.
#[test]
fn no_key_has_two_holders_under_random_faults_and_returns_of_the_store() {
    let served = run_storms(StormOptions {
        fault_rate: FAULT_RATE,
        return_rate: RETURN_RATE,
        ..StormOptions::default()
    });

    assert!(served > 0.5, "{served}");
}

/// Guards against two holders of a key when nodes grant from tables that a watch tells of, and from reads
/// of other nodes, which may be frozen, late or from before a return of the store.
#[test]
fn no_key_has_two_holders_with_shared_reads_under_random_faults_and_returns() {
    for (fault_rate, return_rate) in [(FAULT_RATE, RETURN_RATE), (0.0, RETURN_RATE * 1.5)] {
        let served = run_storms(StormOptions {
            fault_rate,
            return_rate,
            shares_reads: true,
            ..StormOptions::default()
        });

        assert!(served > 0.5, "{served}");
    }
}

/// Checks the simulation itself: if a revoked row is freed without waiting for its last grant to
/// lapse, two incarnations hold one key, and a check must fail.
#[test]
fn random_faults_expose_a_planner_that_does_not_wait() {
    let options = StormOptions {
        fault_rate: FAULT_RATE,
        skip_lapse_wait: true,
        ..StormOptions::default()
    };
    let found = (1..=SEED_COUNT).any(|seed| catch_unwind(|| run_storm(seed, options)).is_err());

    assert!(found);
}
