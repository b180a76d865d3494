//! Checks the invariants in simulated runs with every kind of fault, and that deliberately broken
//! variants are detected.

#[path = "../src/requests/mod.rs"]
#[expect(dead_code, reason = "the command's parts are not used here")]
mod requests;

use requests::{
    broken::BrokenPart,
    checks::InvariantName,
    scenarios::{self, ScenarioSetup},
    sizes::DeploymentSize,
    world::RouterVersion,
};

/// Asserts that every invariant was checked and none was violated.
fn assert_safe(size: DeploymentSize, seed: u64) {
    let setup = ScenarioSetup::new(RouterVersion::Wagtail, size, seed);
    let checks = scenarios::storm(&setup).checks;

    for name in InvariantName::ALL {
        let count = checks.count(name);

        assert!(
            count.checked > 100,
            "{name:?} was hardly checked, seed {seed}"
        );
        assert_eq!(count.broken, 0, "{name:?} is broken, seed {seed}");
    }
}

#[test]
fn invariants_hold_in_storms_at_malla() {
    for seed in 100..103 {
        assert_safe(DeploymentSize::malla(), seed);
    }
}

#[test]
fn invariants_hold_in_storms_at_suturo() {
    for seed in 200..203 {
        assert_safe(DeploymentSize::suturo(), seed);
    }
}

#[test]
fn each_broken_part_is_found() {
    for part in BrokenPart::ALL {
        let version = RouterVersion::Broken(part);
        let setup = ScenarioSetup::new(version, DeploymentSize::malla(), 1);
        let count = scenarios::storm(&setup).checks.count(part.breaks());

        assert!(count.broken > 0, "{part:?} was not found");
    }
}

#[test]
fn safety_is_never_worse_than_that_of_the_naive_version() {
    let run = |version| {
        let setup = ScenarioSetup::new(version, DeploymentSize::malla(), 7);

        scenarios::storm(&setup).checks
    };
    let wagtail = run(RouterVersion::Wagtail);
    let naive = run(RouterVersion::Naive);

    for name in InvariantName::ALL {
        assert!(wagtail.count(name).broken <= naive.count(name).broken);
    }

    // The comparison is meaningful only where the naive version fails.
    assert!(naive.count(InvariantName::AtMostOnce).broken > 0);
}
