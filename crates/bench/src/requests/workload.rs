//! Generates the calls of a run from a seed, the same for each version.

use crate::requests::sizes::DeploymentSize;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{f64::consts::TAU, time::Duration};
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// The standard deviation of the logarithm of the work durations.
const WORK_SIGMA: f64 = 0.5;

/// The number of hash slices of the keyed service.
pub const SLICES: u32 = 60;

/// `LoadPhase` is a period of constant load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPhase {
    /// The length of the period.
    pub length: Duration,
    /// The offered work divided by the capacity of the slots.
    pub load: f64,
}

/// `TenantLoad` is the weight of a tenant and its share of the calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLoad {
    /// The name of the tenant.
    pub name: &'static str,
    /// The weight by which admission divides the slots between tenants.
    pub weight: u32,
    /// The fraction of the calls that the tenant sends.
    pub share: f64,
}

/// `WorkMix` describes the distribution of the calls.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkMix {
    /// The mean duration of short work.
    pub short: Duration,
    /// The fraction of calls with long work.
    pub long_share: f64,
    /// The mean duration of long work divided by that of short work.
    pub long_factor: f64,
    /// Whether the long work is declared as short.
    pub undeclared: bool,
    /// The fraction of short calls that are non-idempotent; long work is always idempotent.
    pub non_idempotent: f64,
    /// The time that a caller waits for short work.
    pub short_patience: Duration,
    /// The time that a caller waits for long work.
    pub long_patience: Duration,
    /// The fraction of calls whose caller makes the request identifier.
    pub caller_identifiers: f64,
    /// The tenants and their shares of the calls.
    pub tenants: Vec<TenantLoad>,
    /// The fraction of calls that the caller repeats under the same identifier when they fail.
    pub repeat: f64,
    /// The fraction of calls whose caller disconnects early.
    pub gone: f64,
}

impl Default for WorkMix {
    fn default() -> Self {
        Self {
            short: Duration::from_millis(10),
            long_share: 0.0,
            long_factor: 50.0,
            undeclared: false,
            non_idempotent: 0.2,
            short_patience: Duration::from_secs(1),
            long_patience: Duration::from_secs(10),
            caller_identifiers: 0.3,
            tenants: vec![TenantLoad {
                name: "default",
                weight: 1,
                share: 1.0,
            }],
            repeat: 0.0,
            gone: 0.0,
        }
    }
}

impl WorkMix {
    /// Returns the mean work duration over all calls.
    pub fn mean(&self) -> Duration {
        self.short
            .mul_f64(1.0 - self.long_share + self.long_share * self.long_factor)
    }
}

/// `CallPlan` is one generated call of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlan {
    /// The moment at which the caller sends it.
    pub sent: LocalMoment,
    /// The index of the node that the caller connects to.
    pub ingress: usize,
    /// The index of the service.
    pub service: usize,
    /// The slice, for a keyed service.
    pub slice: Option<u32>,
    /// The index of the tenant.
    pub tenant: usize,
    /// The true class of the work.
    pub class: WorkClass,
    /// The declared class of the work.
    pub declared: WorkClass,
    /// Whether the operation is idempotent.
    pub idempotent: bool,
    /// The time for which the call holds a slot of a healthy target.
    pub work: Duration,
    /// The time for which the caller waits.
    pub patience: Duration,
    /// Whether the caller made the identifier, so that only its home node may run the call when it
    /// is non-idempotent.
    pub has_caller_identifier: bool,
    /// The number of the identifier; a repeated call keeps that of the first one.
    pub identifier: usize,
    /// The time after which the caller disconnects, if it does so early.
    pub gone: Option<Duration>,
    /// The number of times that the caller may still repeat the call.
    pub repeats: u32,
}

/// `WorkloadPlan` generates the calls of a run from a seed.
#[derive(Debug)]
pub struct WorkloadPlan<'a> {
    /// The size of the fleet.
    size: &'a DeploymentSize,
    /// The mix of the calls.
    mix: &'a WorkMix,
    /// The source of randomness.
    rng: ChaCha8Rng,
}

impl<'a> WorkloadPlan<'a> {
    /// Creates the generator for a fleet and mix.
    pub fn new(size: &'a DeploymentSize, mix: &'a WorkMix, seed: u64) -> Self {
        Self {
            size,
            mix,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Generates the calls of all services over the phases, sorted by their send time.
    pub fn calls(mut self, phases: &[LoadPhase]) -> Vec<CallPlan> {
        let mut calls = Vec::new();

        for service in 0..self.size.services.len() {
            let mut start = LocalMoment::ZERO;

            for phase in phases {
                self.phase_calls(service, start, *phase, &mut calls);
                start = start + phase.length;
            }
        }

        calls.sort_by_key(|call| call.sent);

        for (index, call) in calls.iter_mut().enumerate() {
            call.identifier = index;
        }

        calls
    }

    /// Adds the calls of one service and phase, with exponentially distributed gaps.
    fn phase_calls(
        &mut self,
        service: usize,
        start: LocalMoment,
        phase: LoadPhase,
        calls: &mut Vec<CallPlan>,
    ) {
        let targets = u32::try_from(self.size.services[service].targets).unwrap_or(u32::MAX);
        let slots = f64::from(self.size.slots * targets);
        let rate = phase.load * slots / self.mix.mean().as_secs_f64();
        let end = start + phase.length;
        let mut sent = start;

        loop {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;

            sent = sent + Duration::from_secs_f64(gap);

            if sent >= end {
                return;
            }

            let call = self.call(service, sent);

            calls.push(call);
        }
    }

    /// Draws the properties of one call.
    fn call(&mut self, service: usize, sent: LocalMoment) -> CallPlan {
        let long = self.rng.random_bool(self.mix.long_share);
        let class = if long {
            WorkClass::Long
        } else {
            WorkClass::Short
        };
        let declared = if self.mix.undeclared {
            WorkClass::Short
        } else {
            class
        };
        let keyed = self.size.services[service].keyed;
        let slice = self.rng.random_range(0..SLICES);
        let patience = match class {
            WorkClass::Short => self.mix.short_patience,
            WorkClass::Long => self.mix.long_patience,
        };
        let gone = self.rng.random_bool(self.mix.gone);
        let early = patience.mul_f64(self.rng.random_range(0.01..0.2));
        let repeats = self.rng.random_bool(self.mix.repeat);

        CallPlan {
            sent,
            ingress: self.rng.random_range(0..self.size.nodes()),
            service,
            slice: keyed.then_some(slice),
            tenant: self.tenant(),
            class,
            declared,
            idempotent: long || !self.rng.random_bool(self.mix.non_idempotent),
            work: self.work(class),
            patience,
            has_caller_identifier: repeats || self.rng.random_bool(self.mix.caller_identifiers),
            identifier: 0,
            gone: gone.then_some(early),
            repeats: if repeats { 2 } else { 0 },
        }
    }

    /// Picks a tenant in proportion to the shares of the calls.
    fn tenant(&mut self) -> usize {
        let mut pick = self.rng.random::<f64>();

        for (index, tenant) in self.mix.tenants.iter().enumerate() {
            pick -= tenant.share;

            if pick < 0.0 {
                return index;
            }
        }

        self.mix.tenants.len() - 1
    }

    /// Draws a duration from a log-normal distribution around the mean of a class.
    fn work(&mut self, class: WorkClass) -> Duration {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        let factor = (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp();

        match class {
            WorkClass::Short => self.mix.short.mul_f64(factor),
            WorkClass::Long => self.mix.short.mul_f64(factor * self.mix.long_factor),
        }
    }
}
