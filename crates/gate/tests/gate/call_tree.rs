//! Load tests of admission by the call tree: lookups that call a service with too few slots.

use crate::call_tree_model::{CallTreeModel, KINDS, ModelCounts, ModelOptions, ShareRule};
use std::time::Duration;

/// The ages of reports.
const REPORT_AGES: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

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
        "| {:?} | {} ms | {} | {} | {} | {} |",
        options.rule,
        options.report_age.as_millis(),
        shares.join(" | "),
        counts.wasted_runs,
        counts.failures,
        counts.entries_held_back
    );

    counts
}

#[test]
fn lookups_and_entries_by_rule() {
    for age in REPORT_AGES {
        for rule in [ShareRule::None, ShareRule::Single, ShareRule::ByCallee] {
            run(options(rule, age), 1);
        }
    }
    let _ = KINDS;
}
