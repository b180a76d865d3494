//! The calls of a run, the same for each version.

use crate::requests::sizes::DeploymentSize;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{f64::consts::TAU, time::Duration};
use wagtail_core::{service::WorkClass, units::LocalMoment};

/// The deviation of the logarithm of the durations of work.
const WORK_SIGMA: f64 = 0.5;

/// The hash slices of the keyed service.
pub const SLICES: u32 = 60;

/// `LoadPhase` is a stretch of constant load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPhase {
    /// The length of the stretch.
    pub length: Duration,
    /// The offered work over what the slots can do.
    pub load: f64,
}

/// `TenantLoad` is one tenant's weight and part of the calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantLoad {
    /// The name of the tenant.
    pub name: &'static str,
    /// The declared weight.
    pub weight: u32,
    /// The part of the calls.
    pub part: f64,
}

/// `WorkMix` is what the calls consist of.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkMix {
    /// The mean duration of short work.
    pub short: Duration,
    /// The part of long work in the calls.
    pub long_part: f64,
    /// The duration of long work over that of short work.
    pub long_factor: f64,
    /// Whether the long work is declared as short.
    pub undeclared: bool,
    /// The part of non-idempotent calls.
    pub non_idempotent: f64,
    /// The time that a caller of short work waits.
    pub short_patience: Duration,
    /// The time that a caller of long work waits.
    pub long_patience: Duration,
    /// The part of the callers that make their own identifiers.
    pub own_identifiers: f64,
    /// The tenants.
    pub tenants: Vec<TenantLoad>,
    /// The part of the callers that repeat an unsuccessful call under the same identifier.
    pub repeat: f64,
    /// The part of the callers that go away early.
    pub gone: f64,
}

impl Default for WorkMix {
    fn default() -> Self {
        Self {
            short: Duration::from_millis(10),
            long_part: 0.0,
            long_factor: 50.0,
            undeclared: false,
            non_idempotent: 0.2,
            short_patience: Duration::from_secs(1),
            long_patience: Duration::from_secs(10),
            own_identifiers: 0.3,
            tenants: vec![TenantLoad {
                name: "default",
                weight: 1,
                part: 1.0,
            }],
            repeat: 0.0,
            gone: 0.0,
        }
    }
}

impl WorkMix {
    /// Returns the mean duration over all calls.
    pub fn mean(&self) -> Duration {
        self.short
            .mul_f64(1.0 - self.long_part + self.long_part * self.long_factor)
    }
}

/// `CallPlan` is one call of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct CallPlan {
    /// The moment at which the caller sends it.
    pub sent: LocalMoment,
    /// The node that it reaches.
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
    /// The time for which it holds a slot.
    pub work: Duration,
    /// The time that the caller waits.
    pub patience: Duration,
    /// Whether the caller made the identifier, so that only its home may run the call.
    pub own_identifier: bool,
    /// The number of the identifier; a repeat has that of the first.
    pub identifier: usize,
    /// The time after which the caller goes away, if early.
    pub gone: Option<Duration>,
    /// The repeats that the caller may still make.
    pub repeats: u32,
}

/// `WorkloadPlan` makes the calls of a run from a seed.
#[derive(Debug)]
pub struct WorkloadPlan<'a> {
    /// The fleet.
    size: &'a DeploymentSize,
    /// The mix of the calls.
    mix: &'a WorkMix,
    /// The source of randomness.
    rng: ChaCha8Rng,
}

impl<'a> WorkloadPlan<'a> {
    /// Makes the plan of a fleet and mix.
    pub fn new(size: &'a DeploymentSize, mix: &'a WorkMix, seed: u64) -> Self {
        Self {
            size,
            mix,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Makes the calls of all services over the phases, in the order of their sending.
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

    /// Adds the calls of one service and phase, with exponential times between them.
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

    /// Makes one call.
    fn call(&mut self, service: usize, sent: LocalMoment) -> CallPlan {
        let long = self.rng.random_bool(self.mix.long_part);
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
            own_identifier: repeats || self.rng.random_bool(self.mix.own_identifiers),
            identifier: 0,
            gone: gone.then_some(early),
            repeats: if repeats { 2 } else { 0 },
        }
    }

    /// Picks a tenant by the parts of the calls.
    fn tenant(&mut self) -> usize {
        let mut pick = self.rng.random::<f64>();

        for (index, tenant) in self.mix.tenants.iter().enumerate() {
            pick -= tenant.part;

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
