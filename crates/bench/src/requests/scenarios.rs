//! The measured scenarios and their common setup.

mod faulty;
mod load_peak;
mod long;
mod tenants;

pub use faulty::{one_bad_target, storm, strained};
pub use load_peak::{load_peak, load_peak_mixed, pulses, waste};
pub use long::{head_of_line, head_of_line_undeclared};
pub use tenants::{fairness, flood};

use crate::requests::{
    checks::InvariantChecks,
    faults::FaultPlan,
    score::TimeSpan,
    sizes::DeploymentSize,
    workload::{CallPlan, LoadPhase, WorkMix, WorkloadPlan},
    world::{RouterVersion, World, WorldOptions, WorldResult},
};
use std::time::Duration;
use wagtail_admit::AdmitOptions;

/// `ScenarioSetup` holds the options that the runs of a scenario share.
#[derive(Debug, Clone)]
pub struct ScenarioSetup {
    /// The version that makes the decisions.
    pub version: RouterVersion,
    /// The size of the fleet.
    pub size: DeploymentSize,
    /// The admission options of each target.
    pub admit: AdmitOptions,
    /// The seed of the calls, delays and faults.
    pub seed: u64,
}

impl ScenarioSetup {
    /// Creates the setup of a version and fleet with default admission options.
    pub fn new(version: RouterVersion, size: DeploymentSize, seed: u64) -> Self {
        Self {
            version,
            size,
            admit: AdmitOptions::default(),
            seed,
        }
    }

    /// Generates the calls of a run.
    pub fn calls(&self, mix: &WorkMix, phases: &[LoadPhase]) -> Vec<CallPlan> {
        WorkloadPlan::new(&self.size, mix, self.seed).calls(phases)
    }

    /// Simulates calls of a mix under faults.
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

/// `NamedFigure` is one measured value with its name.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedFigure {
    /// The printed name, which ends in the unit where there is one.
    pub name: &'static str,
    /// The value in the unit at the end of the name, or a ratio or count.
    pub value: f64,
}

/// `ScenarioResult` holds the figures and checks of one run of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioResult {
    /// The measured figures, in the printed order.
    pub figures: Vec<NamedFigure>,
    /// The counts of the invariants.
    pub checks: InvariantChecks,
}

impl ScenarioResult {
    /// Creates a result without figures.
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

    /// Returns a figure by its name, or NaN when there is none.
    pub fn figure(&self, name: &str) -> f64 {
        self.figures
            .iter()
            .find(|figure| figure.name == name)
            .map_or(f64::NAN, |figure| figure.value)
    }
}

/// Returns the interval between two offsets in seconds.
fn seconds(from: u64, to: u64) -> TimeSpan {
    TimeSpan::new(Duration::from_secs(from), Duration::from_secs(to))
}

/// Creates a load phase of a number of seconds.
fn phase(seconds: u64, load: f64) -> LoadPhase {
    LoadPhase {
        length: Duration::from_secs(seconds),
        load,
    }
}

/// Returns a duration in milliseconds, or NaN for [`Duration::MAX`], which stands for no
/// measurement.
fn millis(duration: Duration) -> f64 {
    if duration == Duration::MAX {
        return f64::NAN;
    }

    duration.as_secs_f64() * 1e3
}
