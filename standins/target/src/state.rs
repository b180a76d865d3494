//! All that the stand-in knows.

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

/// The factor by which the first work after a cold start takes longer.
const COLD_FACTOR: f64 = 3.0;

/// The microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `TargetState` is the changing part of the stand-in.
#[derive(Debug)]
pub struct TargetState {
    /// The announced address, by which the target is known.
    pub name: Arc<str>,
    /// The faults in force.
    pub faults: TargetFaults,
    /// The grants of a fenced target.
    pub grants: GrantTable,
    /// The executions.
    pub log: ExecutionLog,
    /// The health report.
    pub health: HealthMonitor,
    /// Whether the target wants to leave.
    pub draining: bool,
    /// Whether the target refuses orders because it leaves.
    pub refusing: bool,
    /// The orders that were accepted and not answered yet.
    pub in_flight: u32,
    /// The orders that run.
    pub running: u32,
    /// The start of the process in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The start of the process in microseconds of `CLOCK_BOOTTIME`.
    started_us: u64,
    /// The length of a cold start in microseconds.
    cold_us: u64,
    /// The slots.
    slots: u32,
    /// The source of chance for the faults.
    random: ChaCha8Rng,
}

impl TargetState {
    /// Makes the state of a target that just started.
    ///
    /// # Errors
    ///
    /// Fails when the file of the execution log cannot be opened.
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

    /// Decides by chance whether a fault with this share strikes.
    pub fn strikes(&mut self, share: f64) -> bool {
        let share = if share.is_nan() { 0.0 } else { share };

        self.random.random_bool(share.clamp(0.0, 1.0))
    }

    /// Returns the factor by which work takes longer at a moment.
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

    /// Returns the health report at a moment.
    pub fn health_report(&mut self, now_us: u64) -> HealthReport {
        let current = HealthReport {
            healthy: !self.draining,
            load: self.running,
            slots: self.slots,
        };

        self.health.report(current, now_us, self.faults.lie_health)
    }
}
