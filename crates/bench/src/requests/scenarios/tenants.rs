//! Scenarios with several tenants that share the slots.

use super::{ScenarioResult, ScenarioSetup, millis, phase, seconds};
use crate::requests::{
    faults::FaultPlan,
    score,
    workload::{TenantLoad, WorkMix},
    world::WorldResult,
};

/// Measures the shares of tenants at three times the capacity of the slots.
pub fn fairness(setup: &ScenarioSetup) -> ScenarioResult {
    let tenant = |name, weight, share| TenantLoad {
        name,
        weight,
        share,
    };
    let mix = WorkMix {
        tenants: vec![
            tenant("one", 1, 0.10),
            tenant("two", 2, 0.17),
            tenant("four", 4, 0.30),
            tenant("flood", 1, 0.43),
        ],
        ..WorkMix::default()
    };
    let weights: Vec<u32> = mix.tenants.iter().map(|tenant| tenant.weight).collect();
    let calls = setup.calls(&mix, &[phase(1, 0.5), phase(5, 3.0)]);
    let result = setup.run(&mix, FaultPlan::default(), calls);

    ScenarioResult::new(result.checks.clone())
        .with("jain", score::jain_index(&result, &weights, seconds(2, 6)))
        .with(
            "useful",
            score::useful_share(&result, &setup.size, seconds(2, 6)),
        )
}

/// Measures tenants that stay below their shares while another one offers more than twice the
/// capacity of the slots.
pub fn flood(setup: &ScenarioSetup) -> ScenarioResult {
    let tenant = |name, weight, share| TenantLoad {
        name,
        weight,
        share,
    };
    let mix = WorkMix {
        tenants: vec![
            tenant("one", 1, 0.1 / 3.0),
            tenant("two", 2, 0.2 / 3.0),
            tenant("four", 4, 0.4 / 3.0),
            tenant("flood", 1, 2.3 / 3.0),
        ],
        ..WorkMix::default()
    };
    let flood = mix.tenants.len() - 1;
    let calls = setup.calls(&mix, &[phase(1, 0.5), phase(5, 3.0)]);
    let mut calm = calls.clone();

    calm.retain(|call| call.tenant != flood);

    let with = setup.run(&mix, FaultPlan::default(), calls);
    let without = setup.run(&mix, FaultPlan::default(), calm);
    let span = seconds(2, 6);
    let others = |result: WorldResult| {
        let mut result = result;

        result.calls.retain(|call| call.plan.tenant != flood);
        result
    };
    let checks = with.checks.clone();
    let (with, without) = (others(with), others(without));
    let sent = || with.calls.iter().filter(|call| span.holds(call));
    let answered = sent().filter(|call| score::response_time(call).is_some());
    let p99 = |result| millis(score::percentile(result, span, 99));

    ScenarioResult::new(checks)
        .with(
            "others_answered",
            score::ratio(answered.count(), sent().count()),
        )
        .with("others_p99_with_ms", p99(&with))
        .with("others_p99_without_ms", p99(&without))
}
