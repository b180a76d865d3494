//! Scenarios with misbehaving targets.

use super::{ScenarioResult, ScenarioSetup, phase, seconds};
use crate::requests::{
    faults::{FaultPlan, FaultSpan},
    score,
    workload::WorkMix,
};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// Measures the fraction of a service's calls that one frozen, slow or cold target fails or delays.
pub fn one_bad_target(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix::default();
    let calls = setup.calls(&mix, &[phase(10, 0.5)]);
    let sound = setup.run(&mix, FaultPlan::default(), calls.clone());
    let span = seconds(3, 8);
    let bound = score::percentile(&sound, span, 99).saturating_mul(2);
    let service = 1;
    let node = setup.size.first_node(service);
    let fault = FaultSpan::new(
        node,
        LocalMoment::from_millis(3_000),
        LocalMoment::from_millis(8_000),
    );
    let frozen = FaultPlan {
        frozen: vec![fault],
        ..FaultPlan::default()
    };
    let slow = FaultPlan {
        slow: vec![fault],
        ..FaultPlan::default()
    };
    let cold = FaultPlan {
        cold: vec![fault],
        ..FaultPlan::default()
    };
    let mut checks = sound.checks.clone();
    let mut measure = |faults| {
        let result = setup.run(&mix, faults, calls.clone());

        checks.add(&result.checks);
        score::degraded_share(&result, service, span, bound)
    };
    let shares = [measure(frozen), measure(slow), measure(cold)];

    ScenarioResult::new(checks)
        .with(
            "hurt_none",
            score::degraded_share(&sound, service, span, bound),
        )
        .with("hurt_frozen", shares[0])
        .with("hurt_slow", shares[1])
        .with("hurt_cold", shares[2])
}

/// Measures targets that slow down with their concurrent requests, at a load of 0.3.
pub fn strained(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix::default();
    let service = 1;
    let first = setup.size.first_node(service);
    let nodes = first..first + setup.size.services[service].targets;
    let span = |node| {
        FaultSpan::new(
            node,
            LocalMoment::from_millis(3_000),
            LocalMoment::from_millis(20_000),
        )
    };
    let faults = FaultPlan {
        strained: nodes.map(span).collect(),
        ..FaultPlan::default()
    };
    let calls = setup.calls(&mix, &[phase(20, 0.3)]);
    let result = setup.run(&mix, faults, calls);
    let unanswered =
        |from, to| score::degraded_share(&result, service, seconds(from, to), mix.short_patience);

    ScenarioResult::new(result.checks.clone())
        .with("unanswered_first_5s", unanswered(3, 8))
        .with("unanswered_later", unanswered(8, 20))
}

/// Injects every kind of fault at once, to check the invariants.
pub fn storm(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix {
        long_share: 0.01,
        short: Duration::from_millis(20),
        non_idempotent: 0.5,
        short_patience: Duration::from_millis(600),
        long_patience: Duration::from_secs(3),
        repeat: 0.5,
        gone: 0.05,
        ..WorkMix::default()
    };
    let span = |node, from, to| {
        FaultSpan::new(
            node,
            LocalMoment::from_millis(from),
            LocalMoment::from_millis(to),
        )
    };
    let faults = FaultPlan {
        frozen: vec![
            span(0, 500, 2_000),
            span(5, 700, 2_500),
            span(6, 1_500, 1_900),
        ],
        slow: vec![span(1, 500, 2_000), span(8, 0, 1_500)],
        strained: vec![span(9, 0, 2_500)],
        cold: vec![span(2, 1_000, 2_000), span(11, 500, 2_500)],
        shed: 0.02,
        truncate: 0.02,
        late: 0.05,
        duplicate: 0.05,
    };
    let calls = setup.calls(&mix, &[phase(1, 0.5), phase(1, 2.0), phase(1, 0.5)]);
    let result = setup.run(&mix, faults, calls);
    let runs = score::ratio(result.runs.len(), 1);

    ScenarioResult::new(result.checks.clone()).with("runs", runs)
}
