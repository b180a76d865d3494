//! Scenarios that mix short and long work.

use super::{ScenarioResult, ScenarioSetup, millis, phase, seconds};
use crate::requests::{faults::FaultPlan, score, workload::WorkMix};
use wagtail_core::service::WorkClass;

/// The fraction of long calls in the mix.
const LONG_SHARE: f64 = 0.05;

/// Measures short work with and without 5 % of calls that take fifty times as long.
pub fn head_of_line(setup: &ScenarioSetup) -> ScenarioResult {
    head_of_line_mix(setup, false)
}

/// Measures the same mix with the long work declared as short.
pub fn head_of_line_undeclared(setup: &ScenarioSetup) -> ScenarioResult {
    head_of_line_mix(setup, true)
}

/// Measures short work mixed with long work, which is declared as short if `undeclared` is set.
fn head_of_line_mix(setup: &ScenarioSetup, undeclared: bool) -> ScenarioResult {
    let mix = WorkMix {
        long_share: LONG_SHARE,
        undeclared,
        ..WorkMix::default()
    };
    let calls = setup.calls(&mix, &[phase(20, 0.7)]);
    let mut alone = calls.clone();

    alone.retain(|call| call.class == WorkClass::Short);

    let with = setup.run(&mix, FaultPlan::default(), calls);
    let without = setup.run(&mix, FaultPlan::default(), alone);
    let span = seconds(2, 20);
    let p99 = |result| millis(score::percentile(result, span, 99));
    let long = with
        .calls
        .iter()
        .filter(|call| call.plan.class == WorkClass::Long && span.holds(call));
    let answered = long
        .clone()
        .filter(|call| score::response_time(call).is_some())
        .count();
    let short = with
        .calls
        .iter()
        .filter(|call| call.plan.class == WorkClass::Short && span.holds(call));
    let short_answered = short
        .clone()
        .filter(|call| score::response_time(call).is_some())
        .count();

    ScenarioResult::new(with.checks.clone())
        .with("p99_with_ms", p99(&with))
        .with("p99_without_ms", p99(&without))
        .with("p99_ratio", p99(&with) / p99(&without))
        .with(
            "short_answered",
            score::ratio(short_answered, short.count()),
        )
        .with("long_answered", score::ratio(answered, long.count()))
}
