//! The measured situations.

mod crest;
mod faulty;
mod long;
mod tenants;

pub use crest::{crest, crest_mixed, pulses, waste};
pub use faulty::{hurt, storm, strained};
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

/// Returns a duration in milliseconds; one of no measurement is not a number.
fn millis(duration: Duration) -> f64 {
    if duration == Duration::MAX {
        return f64::NAN;
    }

    duration.as_secs_f64() * 1e3
}
