//! Tests of the learned capacity of a target, in virtual time.

mod changes;
mod limiters;
mod model;
mod pace;

use limiters::Limiter;
use model::{ModelClass, ONE_CLASS, Scenario, Slowdown, TWO_CLASSES, run};

/// The number of seeds of each case.
const SEEDS: u64 = 3;

/// The least share of the work in time that a target that does not slow down keeps.
const MIN_KEPT_SHARE: f64 = 0.98;

/// The classes of requests, with their name.
const CLASS_SETS: [(&str, &[ModelClass]); 2] =
    [("60 ms", ONE_CLASS), ("30 and 900 ms", TWO_CLASSES)];

/// Returns the work that is completed in time over all seeds.
fn total(scenario: &Scenario, limiter: Limiter) -> f64 {
    (0..SEEDS)
        .map(|seed| run(scenario, limiter, seed).total())
        .sum()
}

/// Returns scenarios of a target at a load, with each set of classes, quiet and noisy.
fn scenarios(slowdown: Slowdown, load: f64) -> Vec<(String, Scenario)> {
    let mut scenarios = Vec::new();
    for (name, classes) in CLASS_SETS {
        for is_noisy in [false, true] {
            let noise = if is_noisy { ", noisy" } else { "" };
            let scenario = Scenario {
                classes,
                is_noisy,
                ..Scenario::steady(slowdown, load)
            };
            scenarios.push((format!("{name}{noise}"), scenario));
        }
    }

    scenarios
}

/// Guards against a limit below the slots at a target that handles all of them well, at loads of 0.8,
/// 1.15 and 2 times its capacity.
#[test]
fn at_80_to_200_percent_load_a_target_that_does_not_slow_down_keeps_its_work() {
    for load in [4.8, 6.9, 12.0] {
        for (name, scenario) in scenarios(Slowdown::NEVER, load) {
            let all_slots = total(&scenario, Limiter::Fixed(model::SLOTS));
            let learned = total(&scenario, Limiter::Estimator);
            println!("never, load {load}, {name}: {:.3}", learned / all_slots);

            assert!(
                learned >= MIN_KEPT_SHARE * all_slots,
                "load {load}, {name}: {learned:.1} of {all_slots:.1}"
            );
        }
    }
}

/// Guards against a limit that stays above the level from which a target slows down, at loads of 1.15
/// and 2 times what it can do at its best level.
#[test]
fn at_115_to_200_percent_load_a_target_that_slows_down_completes_more_work() {
    for (from, loads) in [(2, [2.3, 4.0]), (3, [3.45, 6.0])] {
        for load in loads {
            for (name, scenario) in scenarios(Slowdown::from(from), load) {
                let all_slots = total(&scenario, Limiter::Fixed(model::SLOTS));
                let learned = total(&scenario, Limiter::Estimator);
                println!(
                    "from {from}, load {load}, {name}: {:.3}",
                    learned / all_slots
                );

                assert!(
                    learned > all_slots,
                    "from {from}, load {load}, {name}: {learned:.1} of {all_slots:.1}"
                );
            }
        }
    }
}

/// Guards against an estimator that is no better than simpler limits where these fail: AIMD at a
/// target that slows down, and a gradient limit at one that does not and serves two classes. Prints
/// the table of `docs/design/capacity.md`.
#[test]
fn at_115_percent_load_the_estimator_completes_more_work_than_simpler_limits() {
    let limiters = [
        Limiter::Fixed(model::SLOTS),
        Limiter::AIMD,
        Limiter::GRADIENT,
        Limiter::Estimator,
    ];
    for (target, slowdown, load) in [
        ("never", Slowdown::NEVER, 6.9),
        ("from 2", Slowdown::from(2), 2.3),
        ("from 3", Slowdown::from(3), 3.45),
    ] {
        for (name, scenario) in scenarios(slowdown, load) {
            let [fixed, aimd, gradient, learned] =
                limiters.map(|limiter| total(&scenario, limiter));
            println!(
                "| {target}, {name} | {fixed:.0} | {aimd:.0} | {gradient:.0} | {learned:.0} |"
            );

            if slowdown.steepness > 0.0 {
                assert!(learned > aimd, "{target}, {name}: {learned:.1}, {aimd:.1}");
            } else if scenario.classes.len() > 1 {
                assert!(learned > gradient, "{name}: {learned:.1}, {gradient:.1}");
            }
        }
    }
}
