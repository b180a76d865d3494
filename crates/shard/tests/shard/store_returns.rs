//! The store returns from a copy while rows change: what the lost span held must lead to no second
//! holder and to no token that is given out twice. Each case runs with many seeds, which decide which
//! writes take effect late.

use crate::storm::{CHECKED_KEYS, FaultSimulation, ScriptedFault, StormOptions};

/// The number of seeds of a case.
const SEED_COUNT: u64 = 40;

/// The end of a case in milliseconds of virtual time.
const CASE_MS: u64 = 50_000;

/// The time at the end of a case in which every key must be held at least once, in milliseconds.
const SERVED_MS: u64 = 5_000;

/// Runs a case with all seeds. At its end every key is held again.
fn run_case(script: &[(u64, ScriptedFault)]) {
    for seed in 1..=SEED_COUNT {
        let mut simulation = FaultSimulation::new(seed, StormOptions::default());
        simulation.run(CASE_MS - SERVED_MS, script);
        let before = simulation.served_ms.clone();
        simulation.run(CASE_MS, script);

        let held_again = simulation
            .served_ms
            .iter()
            .filter(|(key, served)| before.get(key) != Some(*served));
        assert_eq!(held_again.count() as u64, CHECKED_KEYS, "seed {seed}");
    }
}

/// Returns the fault in which the store returns at once from a copy of an age.
fn returns(age: u64) -> ScriptedFault {
    ScriptedFault::StoreReturns { away: 0, age }
}

/// Guards against keys that nobody serves after a return that lost no change of theirs.
#[test]
fn holders_that_live_keep_their_keys_over_a_return() {
    const QUIET_FROM_MS: u64 = 15_000;
    const QUIET_UNTIL_MS: u64 = 35_000;

    let options = StormOptions {
        prompt_calls: true,
        without_balancing: true,
        ..StormOptions::default()
    };

    for seed in 1..=SEED_COUNT {
        let mut simulation = FaultSimulation::new(seed, options);
        simulation.run(QUIET_FROM_MS, &[]);
        let before = simulation.served_total_ms();
        let script = [(
            20_000,
            ScriptedFault::StoreReturns {
                away: 500,
                age: 3_000,
            },
        )];
        simulation.run(QUIET_UNTIL_MS, &script);

        let served = simulation.served_total_ms() - before;
        let total = (QUIET_UNTIL_MS - QUIET_FROM_MS) * CHECKED_KEYS;
        assert_eq!(served, total, "seed {seed}");
    }
}

/// Guards against a return that costs more than the keys of the VM that was lost with it, or that leaves
/// those unserved for longer than the time within which service must recover.
#[test]
fn a_vm_that_is_lost_with_a_return_costs_only_its_own_keys() {
    const LOSS_MS: u64 = 20_000;
    const END_MS: u64 = 45_000;
    const MAX_RECOVERY_MS: u64 = 15_000;
    let options = StormOptions {
        prompt_calls: true,
        without_balancing: true,
        ..StormOptions::default()
    };
    let loss = ScriptedFault::PowerLoss {
        index: 1,
        down: 30_000,
    };

    let mut longest = 0;
    for seed in 1..=SEED_COUNT {
        let mut simulation = FaultSimulation::new(seed, options);
        simulation.run(LOSS_MS, &[]);
        let lost_keys = simulation.keys_of(1);
        let before = simulation.served_ms.clone();
        simulation.run(END_MS, &[(LOSS_MS, loss), (LOSS_MS, returns(5_000))]);

        for (key, served) in &simulation.served_ms {
            let unserved = END_MS - LOSS_MS - (served - before[key]);
            if lost_keys.contains(key) {
                longest = longest.max(unserved);
                assert!(
                    unserved <= MAX_RECOVERY_MS,
                    "seed {seed}, key {key}: {unserved} ms"
                );
            } else {
                assert_eq!(unserved, 0, "seed {seed}, key {key}");
            }
        }
    }
    println!("the keys of the lost VM were unserved for up to {longest} ms");
}

/// Guards against two holders when a hand-over that has ended is lost, and the node of the first holder
/// reads that it still has the keys.
#[test]
fn a_lost_handover_leaves_one_holder() {
    for delay in [2_000, 3_000, 5_000] {
        run_case(&[
            (10_000, ScriptedFault::TargetLeaves { index: 1 }),
            (10_000 + delay, returns(delay)),
        ]);
    }
}

/// Guards against two holders when the store returns in the middle of a hand-over.
#[test]
fn a_handover_that_is_half_done_leaves_one_holder() {
    for delay in [300, 700, 1_200] {
        run_case(&[
            (10_000, ScriptedFault::TargetLeaves { index: 1 }),
            (10_000 + delay, returns(200)),
        ]);
    }
}

/// Guards against a revocation that is lost while the planner goes on to wait for its end.
#[test]
fn a_lost_revocation_counts_from_its_repetition() {
    let freeze = ScriptedFault::NodeFreezes {
        index: 1,
        frozen: 4_000,
    };

    for return_at in [12_000, 13_000, 14_100] {
        run_case(&[(10_000, freeze), (return_at, returns(3_000))]);
    }
}

/// Guards against two holders when a revocation and the grant that followed are lost, and the first
/// holder's node, which stood still meanwhile, reads that its target has the keys.
#[test]
fn a_lost_revocation_and_grant_leave_one_holder_when_the_first_one_wakes() {
    let freeze = ScriptedFault::NodeFreezes {
        index: 1,
        frozen: 11_000,
    };

    for age in [500, 2_000, 5_000, 11_000] {
        run_case(&[(10_000, freeze), (20_900, returns(age))]);
    }
}

/// Guards against two holders when the first one's VM lost power and is back, with its keys granted to
/// others in the lost span.
#[test]
fn a_lost_takeover_leaves_one_holder_when_the_first_one_returns() {
    let loss = ScriptedFault::PowerLoss {
        index: 1,
        down: 10_300,
    };

    for age in [500, 2_000, 5_000, 11_000] {
        run_case(&[(10_000, loss), (20_800, returns(age))]);
    }
}

/// Guards against a node that is cut off from the store and believes the earlier era.
#[test]
fn a_node_that_missed_a_return_grants_nothing_that_others_got() {
    let cut = ScriptedFault::StoreCut {
        index: 1,
        cut: 12_000,
    };

    run_case(&[
        (10_000, cut),
        (10_500, ScriptedFault::TargetLeaves { index: 2 }),
        (12_000, returns(1_500)),
    ]);
}

/// Guards against what a restarted node believes, which remembers no era and no grant.
#[test]
fn a_node_that_restarts_over_a_return_grants_nothing_that_others_got() {
    for at in [11_000, 12_500] {
        run_case(&[
            (10_000, ScriptedFault::TargetLeaves { index: 1 }),
            (
                at,
                ScriptedFault::NodeRestarts {
                    index: 1,
                    down: 400,
                },
            ),
            (12_700, returns(2_600)),
        ]);
    }
}

/// Guards against a new incarnation that inherits rows which another target got in the lost span.
#[test]
fn a_target_that_restarts_over_a_return_inherits_nothing_that_others_got() {
    run_case(&[
        (10_000, ScriptedFault::TargetLeaves { index: 1 }),
        (
            12_500,
            ScriptedFault::TargetRestarts {
                index: 1,
                down: 300,
            },
        ),
        (12_700, returns(2_600)),
    ]);
}

/// Guards against the loss of what protects from a return when the store returns twice, the second
/// time from a copy that is older than the first return.
#[test]
fn two_returns_in_a_row_leave_one_holder() {
    for second in [12_600, 13_400, 15_000, 19_000] {
        run_case(&[
            (10_000, ScriptedFault::TargetLeaves { index: 1 }),
            (12_000, returns(1_800)),
            (second, returns(4_000)),
        ]);
    }
}

/// Guards against two holders when the planner's node, which writes the table, is lost with the
/// return.
#[test]
fn a_planner_that_is_lost_with_the_return_leaves_one_holder() {
    let loss = ScriptedFault::PowerLoss {
        index: 0,
        down: 6_000,
    };

    run_case(&[
        (10_000, ScriptedFault::TargetLeaves { index: 1 }),
        (12_000, loss),
        (12_000, returns(1_800)),
    ]);
}
