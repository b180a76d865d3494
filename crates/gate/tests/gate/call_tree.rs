//! Load tests of admission by the call tree: lookups that call a service with too few slots.
//!
//! `cargo test -p wagtail-gate --test gate call_tree -- --nocapture` prints the table in
//! `docs/design/admission.md`.

use crate::{
    call_tree_model::{CallTreeModel, ModelOptions, ShareRule},
    call_tree_rules::{KINDS, ModelCounts},
};
use std::time::Duration;

/// The ages of reports.
const REPORT_AGES: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// The seeds of the load tests.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Returns options without faults: two waves after a start of 4 s.
fn options(rule: ShareRule, report_age: Duration) -> ModelOptions {
    ModelOptions {
        rule,
        report_age,
        seconds: 38,
        silence: (0, 0),
        restart: None,
        count_from: 4,
    }
}

/// Runs the model and prints a row of the table in the design note.
fn run(options: ModelOptions, seed: u64) -> ModelCounts {
    let counts = CallTreeModel::run(options, seed);
    let shares = counts.shares().map(|share| format!("{share:.3}"));
    println!(
        "| {:?} | {} ms | {seed} | {} | {} | {} | {} |",
        options.rule,
        options.report_age.as_millis(),
        shares.join(" | "),
        counts.wasted_runs,
        counts.failures,
        counts.entries_held_back
    );

    counts
}

/// Returns the share of all requests that were served in time.
fn served(counts: &ModelCounts) -> f64 {
    f64::from(counts.in_time.iter().sum::<u32>()) / f64::from(counts.offered.iter().sum::<u32>())
}

/// Guards against entries that are held back although they call nothing, against lookups that begin
/// and fail, and against a called service whose own work starves.
#[test]
fn a_called_service_with_room_for_two_thirds_of_the_calls_at_the_peak() {
    for age in REPORT_AGES {
        for seed in SEEDS {
            run(options(ShareRule::None, age), seed);
            let single = run(options(ShareRule::Single, age), seed);
            let by_callee = run(options(ShareRule::ByCallee, age), seed);
            let (before, after) = (single.shares(), by_callee.shares());

            assert!(
                after[0] > before[0] + 0.05,
                "lookups: {after:?}, {before:?}"
            );
            assert!(after[1] > 0.99, "entries: {after:?}");
            assert!(served(&by_callee) > served(&single) + 0.05);
            assert!(by_callee.wasted_runs <= single.wasted_runs);
            assert!(by_callee.failures <= 10, "{}", by_callee.failures);
            for (kind, share) in KINDS.iter().zip(after) {
                assert!(share > served(&by_callee) / 4.0, "{}: {after:?}", kind.name);
            }
        }
    }
}

/// Guards against work that is held back for good when reports stop, and against a node that does not
/// hold back again when they return.
#[test]
fn reports_that_stop_leave_work_as_without_them() {
    let silent = ModelOptions {
        silence: (15, 25),
        count_from: 15,
        seconds: 25,
        ..options(ShareRule::ByCallee, REPORT_AGES[0])
    };
    let unlimited = ModelOptions {
        rule: ShareRule::None,
        ..silent
    };
    let returned = ModelOptions {
        count_from: 27,
        seconds: 38,
        ..silent
    };
    let never_silent = ModelOptions {
        silence: (0, 0),
        ..returned
    };

    let (without, with) = (run(unlimited, 1), run(silent, 1));
    assert!(served(&with) > served(&without) - 0.02);
    let (after, usual) = (run(returned, 1), run(never_silent, 1));
    assert!(served(&after) > served(&usual) - 0.03);
}

/// Guards against nodes that need long to hold back again after a restart, or refuse entries for
/// longer than it takes to learn that these make no calls: 20 runs of the share that begins.
#[test]
fn restarted_nodes_hold_back_again_within_seconds() {
    let restarted = ModelOptions {
        restart: Some(20),
        count_from: 20,
        ..options(ShareRule::ByCallee, REPORT_AGES[0])
    };
    let usual = ModelOptions {
        restart: None,
        ..restarted
    };

    let (after, before) = (run(restarted, 1), run(usual, 1));
    assert!(served(&after) > served(&before) - 0.03);
    assert!(after.shares()[1] > 0.92, "{:?}", after.shares());
    let learned = run(
        ModelOptions {
            count_from: 28,
            ..restarted
        },
        1,
    );
    assert!(learned.shares()[1] > 0.99, "{:?}", learned.shares());
}
