//! Broken variants, each of which the storms must find.

use crate::driver::{
    SECOND, WorldOptions,
    storm::{run_storm, storm_options},
};
use wagtail_lease::options::LeaseFault;

/// Counts the storms in which a variant breaks an invariant.
fn count_broken(seeds: std::ops::Range<u64>, change: impl Fn(&mut WorldOptions)) -> usize {
    seeds
        .filter(|seed| {
            let mut options = storm_options(*seed);
            change(&mut options);

            !run_storm(options, 30 * SECOND).world.violations.is_empty()
        })
        .count()
}

#[test]
fn trial() {
    for fault in [
        LeaseFault::None,
        LeaseFault::ForgetPromise,
        LeaseFault::NewSetOnly,
        LeaseFault::UnwrittenSet,
        LeaseFault::DeposedChange,
        LeaseFault::NoQuietTerm,
    ] {
        let broken = count_broken(0..200, |options| options.lease.fault = fault);
        println!("{fault:?}: {broken}");
    }
    let broken = count_broken(0..200, |options| options.clock_ignores_pauses = true);
    println!("pauses: {broken}");
    let broken = count_broken(0..200, |options| options.keeps_incarnation = true);
    println!("incarnation: {broken}");
}
