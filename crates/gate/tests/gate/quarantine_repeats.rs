//! Crashes at nearly the same moment: of a request that is repeated at once, and of one that runs at several targets
//! that end together.

use crate::quarantine::{at, life};
use std::sync::Arc;
use wagtail_core::digest::RequestDigest;
use wagtail_gate::{
    crash_report::{CrashedRun, RunSpan},
    quarantine::{RequestQuarantine, RequestStanding},
};

/// The request that ran at all targets.
const REQUEST: RequestDigest = RequestDigest::new(1);

/// The time of day of the first crash, in microseconds since the Unix epoch.
const FIRST_END_US: u64 = 1_000_000_000_000;

/// The time at which the crashes are known everywhere, in milliseconds.
const KNOWN_MS: u64 = 1_000;

/// Returns a run that began and ended at these microseconds after the first crash.
fn run(began_us: i64, ended_us: i64) -> CrashedRun {
    let unix_us = |offset: i64| FIRST_END_US.saturating_add_signed(offset);

    CrashedRun {
        digest: REQUEST,
        span: Some(RunSpan {
            began_us: unix_us(began_us),
            ended_us: unix_us(ended_us),
        }),
        is_repeat: false,
    }
}

/// Returns the standing of the request after crashes under runs, each beside another node.
fn standing_after(runs: &[CrashedRun]) -> RequestStanding {
    let mut observer = RequestQuarantine::default();

    for (index, run) in runs.iter().enumerate() {
        let now = at(KNOWN_MS);
        let ended_ms = run.span.unwrap().ended_us / 1_000;
        let mut node = RequestQuarantine::default();
        node.record_crash(life(index, 1), vec![*run], now, ended_ms);
        let (report, _) = node.own_report(None, now, ended_ms);
        // Reports are stored as JSON.
        let stored = serde_json::from_str(&serde_json::to_string(&report).unwrap()).unwrap();
        observer.set_report(&Arc::from(format!("n{index}")), stored, now);
    }
    observer.standing(&REQUEST, at(KNOWN_MS))
}

/// Guards against a request that ends all targets within milliseconds, round after round, as its crashes count as one.
#[test]
fn crashes_of_a_request_that_is_repeated_at_once_count_each() {
    let runs = [run(-300, 0), run(400, 700), run(1_100, 1_400)];

    assert_eq!(standing_after(&runs), RequestStanding::Refused);
}

/// Guards against the same when the clock of a VM is behind, so that the repeat seems to begin before the first crash.
#[test]
fn crashes_of_repeats_by_one_node_count_each_whatever_the_clocks_say() {
    let repeat = |began_us, ended_us| CrashedRun {
        is_repeat: true,
        ..run(began_us, ended_us)
    };
    let runs = [run(-300, 0), repeat(-200, 100), repeat(-100, 200)];

    assert_eq!(standing_after(&runs), RequestStanding::Refused);
}

/// Guards against the refusal of a popular request that was running at all targets when they lost power.
#[test]
fn crashes_under_runs_that_overlap_count_once() {
    let runs = [run(-40_000, 0), run(-9_000, 500), run(-2_000, 4_000)];

    assert_eq!(standing_after(&runs), RequestStanding::Suspected);
}

/// Guards against crashes long after each other that count as one because the runs were long.
#[test]
fn crashes_at_different_moments_count_each() {
    let runs = [run(-40_000, 0), run(-9_000, 20_000), run(-2_000, 40_000)];

    assert_eq!(standing_after(&runs), RequestStanding::Refused);
}
