//! Scenarios with load peaks and sustained overload.

use super::{ScenarioResult, ScenarioSetup, millis, phase, seconds};
use crate::requests::{
    faults::FaultPlan,
    score,
    workload::{LoadPhase, WorkMix},
};
use std::time::Duration;

/// Measures a load that steps from 0.5 to 2 and back to 0.5 times the capacity of the slots.
pub fn load_peak(setup: &ScenarioSetup) -> ScenarioResult {
    measure_load_peak(setup, &WorkMix::default())
}

/// Measures the same load peak with 1 % of the calls taking fifty times as long.
pub fn load_peak_mixed(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix {
        long_share: 0.01,
        ..WorkMix::default()
    };

    measure_load_peak(setup, &mix)
}

/// Measures a load peak with a mix of calls.
fn measure_load_peak(setup: &ScenarioSetup, mix: &WorkMix) -> ScenarioResult {
    let calls = setup.calls(mix, &[phase(3, 0.5), phase(5, 2.0), phase(5, 0.5)]);
    let result = setup.run(mix, FaultPlan::default(), calls);
    let shares = (0..13)
        .map(|second| score::useful_share(&result, &setup.size, seconds(second, second + 1)));
    let shares: Vec<f64> = shares.collect();
    let least = |part: &[f64]| part.iter().copied().fold(f64::INFINITY, f64::min);

    ScenarioResult::new(result.checks.clone())
        .with("useful_least_before", least(&shares[..3]))
        .with("useful_first_second", shares[3])
        .with("useful_least_crest", least(&shares[3..8]))
        .with("useful_least_after", least(&shares[8..]))
        .with(
            "useful_whole_crest",
            score::useful_share(&result, &setup.size, seconds(3, 8)),
        )
        .with(
            "p50_crest_ms",
            millis(score::percentile(&result, seconds(3, 8), 50)),
        )
        .with(
            "p99_before_ms",
            millis(score::percentile(&result, seconds(0, 3), 99)),
        )
        .with(
            "p99_crest_ms",
            millis(score::percentile(&result, seconds(3, 8), 99)),
        )
        .with(
            "recovery_ms",
            millis(score::recovery(&result, seconds(8, 13))),
        )
}

/// Measures pulses of three times the capacity of the slots; the average load of 0.9 requires no
/// refusals.
pub fn pulses(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix::default();
    let stretch = |millis, load| LoadPhase {
        length: Duration::from_millis(millis),
        load,
    };
    let phases = [stretch(420, 0.5), stretch(80, 3.0)].repeat(12);
    let calls = setup.calls(&mix, &phases);
    let result = setup.run(&mix, FaultPlan::default(), calls);
    let span = seconds(0, 6);

    ScenarioResult::new(result.checks.clone())
        .with("useful", score::useful_share(&result, &setup.size, span))
        .with("p99_ms", millis(score::percentile(&result, span, 99)))
}

/// Measures the work that no caller waited for at twice the capacity of the slots.
pub fn waste(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix {
        gone: 0.01,
        ..WorkMix::default()
    };
    let calls = setup.calls(&mix, &[phase(1, 0.5), phase(5, 2.0)]);
    let result = setup.run(&mix, FaultPlan::default(), calls);
    let waste = score::waste(&result);

    ScenarioResult::new(result.checks.clone())
        .with("wasted_runs", waste.runs)
        .with("wasted_time", waste.time)
        .with("attempts_over_first", waste.attempts)
}
