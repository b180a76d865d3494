//! Randomized tests of concurrent operators on a faulty platform, in virtual time.
//!
//! Guards against accepted configurations that are lost, reverted or reported with a wrong outcome,
//! when operators plan and confirm concurrently at several nodes while daemons restart and the
//! platform delays or loses requests and responses. Runs with an injected defect show that the
//! checks detect it.

mod support;

use assert_matches::assert_matches;
use std::env;
use support::{BrokenPart, CheckCounts, RaceRun};

/// The default number of seeds; `WAGTAIL_SEEDS` sets another one.
const SEEDS: u64 = 60;

/// Returns the seeds to run: only `WAGTAIL_SEED` if it is set, otherwise a range from zero.
fn seeds() -> Vec<u64> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());

    match number("WAGTAIL_SEED") {
        Some(seed) => vec![seed],
        None => (0..number("WAGTAIL_SEEDS").unwrap_or(SEEDS)).collect(),
    }
}

#[test]
fn racing_operators_never_lose_or_revert_a_configuration() {
    let mut total = CheckCounts::default();

    for seed in seeds() {
        let mut run = RaceRun::new(seed, BrokenPart::Nothing);

        if let Err(fault) = run.run() {
            panic!("WAGTAIL_SEED={seed}: {fault}");
        }

        total.writes += run.counts.writes;
        total.confirmed += run.counts.confirmed;
        total.repeated += run.counts.repeated;
        total.refused += run.counts.refused;
        total.unknown += run.counts.unknown;
        total.kept += run.counts.kept;
        total.restarts += run.counts.restarts;
        total.id_collisions += run.counts.id_collisions;
    }

    println!("{total:?}");
    let counts = [
        total.writes,
        total.confirmed,
        total.repeated,
        total.refused,
        total.unknown,
        total.kept,
        total.restarts,
        total.id_collisions,
    ];
    assert!(counts.iter().all(|&count| count > 0), "{total:?}");
}

/// Returns the first violation that a run with an injected defect detects.
fn first_fault(defect: BrokenPart) -> Option<String> {
    (0..SEEDS).find_map(|seed| RaceRun::new(seed, defect).run().err())
}

#[test]
fn a_write_without_a_version_is_caught() {
    let fault = first_fault(BrokenPart::UnconditionalWrite);

    assert_matches!(fault, Some(fault) if fault.contains("is lost"));
}

#[test]
fn a_keeper_that_takes_any_version_is_caught() {
    let fault = first_fault(BrokenPart::AnyVersionKept);

    assert_matches!(fault, Some(fault) if fault.contains("went back"));
}

#[test]
fn a_started_node_that_believes_the_first_peer_is_caught() {
    let fault = first_fault(BrokenPart::FirstPeerBelieved);

    assert_matches!(fault, Some(fault) if fault.contains("went back"));
}

#[test]
fn a_configuration_that_forgets_its_plans_is_caught() {
    let fault = first_fault(BrokenPart::PlansForgotten);

    assert_matches!(fault, Some(fault) if fault.contains("remembered") || fault.contains("refused"));
}
