//! The state of the stand-in.

use crate::{
    execution::ExecutionLog,
    faults::TargetFaults,
    grants::GrantTable,
    health::{HealthMonitor, HealthReport},
    options::TargetOptions,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin_net::clock::{boottime_us, unix_ms};
use std::{io, sync::Arc};

/// The factor by which work takes longer right after the start; it falls to 1 during a cold start.
const COLD_FACTOR: f64 = 3.0;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `TargetState` is the mutable state of the stand-in.
#[derive(Debug)]
pub struct TargetState {
    /// The announced address, which identifies the target.
    pub name: Arc<str>,
    /// The faults that apply to each request, as last changed by a control call.
    pub faults: TargetFaults,
    /// The grants of a fenced target.
    pub grants: GrantTable,
    /// The log of all executions since the start, also written to a file if the options name one.
    pub log: ExecutionLog,
    /// The monitor that samples the health report.
    pub health: HealthMonitor,
    /// Whether the target is draining.
    pub draining: bool,
    /// Whether the target refuses requests because it is draining.
    pub refusing: bool,
    /// The number of received requests that have no response yet.
    pub in_flight: u32,
    /// The number of running requests.
    pub running: u32,
    /// The start time of the process in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The start time of the process in microseconds of `CLOCK_BOOTTIME`.
    started_us: u64,
    /// The duration of a cold start in microseconds.
    cold_us: u64,
    /// The number of requests that can run concurrently.
    slots: u32,
    /// The random number generator of the faults.
    random: ChaCha8Rng,
}

impl TargetState {
    /// Creates the state of a target that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error when the file of the execution log cannot be opened.
    pub fn new(options: &TargetOptions) -> io::Result<Self> {
        let log = match &options.log {
            Some(path) => ExecutionLog::new().with_file(path)?,
            None => ExecutionLog::new(),
        };

        Ok(Self {
            name: Arc::from(options.listen.to_string()),
            faults: TargetFaults::default(),
            grants: GrantTable::new(),
            log,
            health: HealthMonitor::new(),
            draining: false,
            refusing: false,
            in_flight: 0,
            running: 0,
            started_ms: unix_ms(),
            started_us: boottime_us(),
            cold_us: options.cold_ms * MICROS_PER_MILLI,
            slots: options.slots,
            random: ChaCha8Rng::seed_from_u64(options.seed),
        })
    }

    /// Draws whether a fault with this probability takes effect.
    pub fn draw_fault(&mut self, probability: f64) -> bool {
        let probability = if probability.is_nan() {
            0.0
        } else {
            probability
        };

        self.random.random_bool(probability.clamp(0.0, 1.0))
    }

    /// Returns the factor by which work takes longer at the time `now_us`, in microseconds of
    /// `CLOCK_BOOTTIME`.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a cold start lasts seconds, far below the exact range"
    )]
    pub fn work_factor(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.started_us);
        let cold = if age_us < self.cold_us {
            let left = 1.0 - age_us as f64 / self.cold_us as f64;
            1.0 + (COLD_FACTOR - 1.0) * left
        } else {
            1.0
        };

        cold * self.faults.slow_factor.max(0.0)
    }

    /// Returns the health report at the time `now_us` in microseconds.
    pub fn health_report(&mut self, now_us: u64) -> HealthReport {
        let current = HealthReport {
            healthy: !self.draining,
            load: self.running,
            slots: self.slots,
        };

        self.health.report(current, now_us, self.faults.lie_health)
    }
}
