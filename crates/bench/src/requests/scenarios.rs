//! The measured situations.

use crate::requests::{
    checks::InvariantChecks,
    faults::{FaultPlan, FaultSpan},
    score::{self, TimeSpan},
    sizes::DeploymentSize,
    workload::{CallPlan, LoadPhase, TenantLoad, WorkMix, WorkloadPlan},
    world::{RouterVersion, World, WorldOptions, WorldResult},
};
use std::time::Duration;
use wagtail_admit::AdmitOptions;
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// The part of the long calls in a mix with long work.
const LONG_PART: f64 = 0.05;

/// `ScenarioSetup` is what the runs of a scenario share.
#[derive(Debug, Clone)]
pub struct ScenarioSetup {
    /// What decides.
    pub version: RouterVersion,
    /// The fleet.
    pub size: DeploymentSize,
    /// The settings beside each target.
    pub admit: AdmitOptions,
    /// The seed.
    pub seed: u64,
}

impl ScenarioSetup {
    /// Makes the setup of a version and fleet with default settings.
    pub fn new(version: RouterVersion, size: DeploymentSize, seed: u64) -> Self {
        Self {
            version,
            size,
            admit: AdmitOptions::default(),
            seed,
        }
    }

    /// Makes the calls of a run.
    pub fn calls(&self, mix: &WorkMix, phases: &[LoadPhase]) -> Vec<CallPlan> {
        WorkloadPlan::new(&self.size, mix, self.seed).calls(phases)
    }

    /// Runs calls of a mix under faults.
    pub fn run(&self, mix: &WorkMix, faults: FaultPlan, calls: Vec<CallPlan>) -> WorldResult {
        let options = WorldOptions {
            version: self.version,
            size: self.size,
            mix: mix.clone(),
            faults,
            admit: self.admit.clone(),
            seed: self.seed,
        };

        World::new(options, calls).run()
    }
}

/// `NamedFigure` is one measured figure.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedFigure {
    /// What it is, with its unit.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
}

/// `ScenarioResult` is what one run of a scenario measured.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioResult {
    /// The figures.
    pub figures: Vec<NamedFigure>,
    /// The invariants.
    pub checks: InvariantChecks,
}

impl ScenarioResult {
    /// Makes the result of checks without figures.
    fn new(checks: InvariantChecks) -> Self {
        Self {
            figures: Vec::new(),
            checks,
        }
    }

    /// Adds a figure.
    fn with(mut self, name: &'static str, value: f64) -> Self {
        self.figures.push(NamedFigure { name, value });
        self
    }

    /// Returns a figure by its name, or not a number.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures
            .iter()
            .find(|figure| figure.name == name)
            .map_or(f64::NAN, |figure| figure.value)
    }
}

/// Returns a stretch between two seconds.
fn seconds(from: u64, to: u64) -> TimeSpan {
    TimeSpan::new(Duration::from_secs(from), Duration::from_secs(to))
}

/// Makes a stretch of load of some seconds.
fn phase(seconds: u64, load: f64) -> LoadPhase {
    LoadPhase {
        length: Duration::from_secs(seconds),
        load,
    }
}

/// Returns a duration in milliseconds.
fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Measures a load that steps from 0.5 to 2 to 0.5 times what the slots can do.
pub fn crest(setup: &ScenarioSetup) -> ScenarioResult {
    crest_of(setup, &WorkMix::default())
}

/// Measures the same with one in a hundred calls that takes fifty times as long.
pub fn crest_mixed(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix {
        long_part: 0.01,
        ..WorkMix::default()
    };

    crest_of(setup, &mix)
}

/// Measures a crest of a mix.
fn crest_of(setup: &ScenarioSetup, mix: &WorkMix) -> ScenarioResult {
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

/// Measures pulses of three times what the slots can do, which at 0.9 on average need no
/// refusal.
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

/// Measures short work with and without one in twenty calls that takes fifty times as long.
pub fn head_of_line(setup: &ScenarioSetup) -> ScenarioResult {
    head_of_line_mix(setup, false)
}

/// Measures the same with the long work declared as short.
pub fn head_of_line_undeclared(setup: &ScenarioSetup) -> ScenarioResult {
    head_of_line_mix(setup, true)
}

/// Measures short work beside long work that is declared or not.
fn head_of_line_mix(setup: &ScenarioSetup, undeclared: bool) -> ScenarioResult {
    let mix = WorkMix {
        long_part: LONG_PART,
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
        .filter(|call| score::answer_time(call).is_some())
        .count();
    let short = with
        .calls
        .iter()
        .filter(|call| call.plan.class == WorkClass::Short && span.holds(call));
    let short_answered = short
        .clone()
        .filter(|call| score::answer_time(call).is_some())
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

/// Measures the part of a service's calls that one bad target hurts.
pub fn hurt(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix::default();
    let calls = setup.calls(&mix, &[phase(10, 0.5)]);
    let sound = setup.run(&mix, FaultPlan::default(), calls.clone());
    let span = seconds(3, 8);
    let bound = score::percentile(&sound, span, 99) * 2;
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
        score::hurt_share(&result, service, span, bound)
    };
    let shares = [measure(frozen), measure(slow), measure(cold)];

    ScenarioResult::new(checks)
        .with("hurt_none", score::hurt_share(&sound, service, span, bound))
        .with("hurt_frozen", shares[0])
        .with("hurt_slow", shares[1])
        .with("hurt_cold", shares[2])
}

/// Measures targets that slow with the orders that they run, at a load of 0.3.
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
        |from, to| score::hurt_share(&result, service, seconds(from, to), mix.short_patience);

    ScenarioResult::new(result.checks.clone())
        .with("unanswered_first_5s", unanswered(3, 8))
        .with("unanswered_later", unanswered(8, 20))
}

/// Measures the shares of tenants at three times what the slots can do.
pub fn fairness(setup: &ScenarioSetup) -> ScenarioResult {
    let tenant = |name, weight, part| TenantLoad { name, weight, part };
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

/// Measures tenants that stay below their shares while another offers more than twice what the
/// slots can do.
pub fn flood(setup: &ScenarioSetup) -> ScenarioResult {
    let tenant = |name, weight, part| TenantLoad { name, weight, part };
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
    let answered = sent().filter(|call| score::answer_time(call).is_some());
    let p99 = |result| millis(score::percentile(result, span, 99));

    ScenarioResult::new(checks)
        .with(
            "others_answered",
            score::ratio(answered.count(), sent().count()),
        )
        .with("others_p99_with_ms", p99(&with))
        .with("others_p99_without_ms", p99(&without))
}

/// Measures the work that nobody waited for at twice what the slots can do.
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

/// Runs everything that can go wrong at once, for the invariants alone.
pub fn storm(setup: &ScenarioSetup) -> ScenarioResult {
    let mix = WorkMix {
        long_part: 0.01,
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
