//! A target in virtual time behind its gate, under more load than it can serve.

use crate::limiters::Limiter;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{notice::StatedLoad, units::LocalMoment};
use wagtail_gate::{AdmissionGate, GateAction, GateArrival, GateOptions};

/// The number of slots of each target.
pub const SLOTS: u32 = 6;

/// The interval between changes of the pace, and the pace of a slow phase in percent.
const PACE_INTERVAL_MS: u64 = 400;
const SLOW_PACE: u32 = 300;

/// The share of phases that are slow.
const SLOW_SHARE: f64 = 0.2;

/// The deviation of the logarithm of the work of a request.
const WORK_DEVIATION: f64 = 0.3;

/// `Slowdown` is how the service time rises with the number of running requests: by `steepness` of
/// the normal one for each request above `from`.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    pub from: u32,
    pub steepness: f64,
}

impl Slowdown {
    /// A target that does not slow down.
    pub const NEVER: Self = Self {
        from: SLOTS,
        steepness: 0.0,
    };

    /// Returns a target that slows down from a level on, so that its throughput falls above it.
    pub const fn from(from: u32) -> Self {
        Self {
            from,
            steepness: 1.0,
        }
    }

    /// Returns the factor of the service time at a level.
    fn factor(self, level: u32) -> f64 {
        1.0 + self.steepness * f64::from(level.saturating_sub(self.from))
    }
}

/// `ModelClass` is a class of requests: its mean work in milliseconds and its share of the requests.
#[derive(Debug, Clone, Copy)]
pub struct ModelClass {
    pub name: &'static str,
    pub work_ms: f64,
    pub share: f64,
    pub objective_ms: u64,
}

/// One class of 60 ms.
pub const ONE_CLASS: &[ModelClass] = &[ModelClass {
    name: "look",
    work_ms: 60.0,
    share: 1.0,
    objective_ms: 400,
}];

/// Two classes that differ in length by a factor of 30, with half of the work each.
pub const TWO_CLASSES: &[ModelClass] = &[
    ModelClass {
        name: "look",
        work_ms: 30.0,
        share: 0.968,
        objective_ms: 300,
    },
    ModelClass {
        name: "scan",
        work_ms: 900.0,
        share: 0.032,
        objective_ms: 4_000,
    },
];

/// `Scenario` is the load on a target and how it behaves.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seconds: u64,
    pub classes: &'static [ModelClass],
    /// The work that arrives per second, in seconds; zero in the given span.
    pub load: f64,
    pub quiet: std::ops::Range<u64>,
    /// The behavior of the target from each second on.
    pub phases: Vec<(u64, Slowdown)>,
    pub is_noisy: bool,
    /// Whether the target states its pace, and until which second.
    pub states_until: u64,
}

impl Scenario {
    /// Returns a minute of load on a target that does not change.
    pub fn steady(slowdown: Slowdown, load: f64) -> Self {
        Self {
            seconds: 60,
            classes: ONE_CLASS,
            load,
            quiet: 0..0,
            phases: vec![(0, slowdown)],
            is_noisy: false,
            states_until: u64::MAX,
        }
    }
}

/// `ScenarioOutcome` is what a target completed.
#[derive(Debug, Clone, Default)]
pub struct ScenarioOutcome {
    /// The work that was completed within its objective, in seconds, for each second.
    pub in_time: Vec<f64>,
    /// The mean number of admitted slots in each second.
    pub limits: Vec<f64>,
}

impl ScenarioOutcome {
    /// Returns all work that was completed in time.
    pub fn total(&self) -> f64 {
        self.in_time.iter().sum()
    }

    /// Returns the work that was completed in time in a span of seconds.
    pub fn within(&self, seconds: std::ops::Range<usize>) -> f64 {
        self.in_time[seconds].iter().sum()
    }
}

/// `ModelRequest` is a request at the target.
#[derive(Debug)]
struct ModelRequest {
    class: ModelClass,
    arrived_ms: u64,
    work_ms: f64,
    left_ms: f64,
    started_ms: u64,
}

/// Runs a scenario with a limiter, in steps of a millisecond.
pub fn run(scenario: &Scenario, mut limiter: Limiter, seed: u64) -> ScenarioOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut gate = AdmissionGate::new(GateOptions::default());
    gate.set_slots(SLOTS, LocalMoment::ZERO);
    let mut requests: HashMap<u64, ModelRequest> = HashMap::new();
    let mut running: Vec<u64> = Vec::new();
    let mut outcome = ScenarioOutcome::default();
    let mean_work: f64 = scenario.classes.iter().map(|c| c.work_ms * c.share).sum();
    let (mut ticket, mut pace, mut limit_sum) = (0, 100, 0.0);

    for now_ms in 0..scenario.seconds * 1_000 {
        let now = LocalMoment::from_millis(now_ms);
        let second = now_ms / 1_000;
        if now_ms % 1_000 == 0 {
            outcome.in_time.push(0.0);
        }
        if scenario.is_noisy && now_ms % PACE_INTERVAL_MS == 0 {
            pace = if random.random_bool(SLOW_SHARE) {
                SLOW_PACE
            } else {
                100
            };
        }
        let phase = scenario.phases.iter().rev().find(|phase| phase.0 <= second);
        let slowdown = phase.map_or(Slowdown::NEVER, |phase| phase.1);
        let level = u32::try_from(running.len()).unwrap();
        let rate = 100.0 / f64::from(pace) / slowdown.factor(level);

        let mut actions = Vec::new();
        for id in std::mem::take(&mut running) {
            let request = requests.get_mut(&id).unwrap();
            request.left_ms -= rate;
            if request.left_ms > 0.0 {
                running.push(id);
                continue;
            }
            let request = requests.remove(&id).unwrap();
            let is_in_time = now_ms - request.arrived_ms <= request.class.objective_ms;
            if is_in_time {
                *outcome.in_time.last_mut().unwrap() += request.work_ms / 1_000.0;
            }
            if limiter == Limiter::Estimator && second < scenario.states_until {
                let load = StatedLoad {
                    running: level,
                    waiting: 0,
                    slots: SLOTS,
                    pace: Some(pace),
                };
                gate.set_load(load, now);
            }
            let ran_ms = now_ms - request.started_ms;
            if let Some(slots) = limiter.ended(ran_ms, is_in_time, level) {
                actions.extend(gate.set_slots(slots, now));
            }
            actions.extend(gate.finished(id, true, now));
        }

        let per_ms = scenario.load / mean_work;
        if !scenario.quiet.contains(&second) && random.random_bool(per_ms.min(1.0)) {
            ticket += 1;
            let class = draw_class(scenario.classes, &mut random);
            let work_ms = class.work_ms * draw_factor(&mut random);
            requests.insert(
                ticket,
                ModelRequest {
                    class,
                    arrived_ms: now_ms,
                    work_ms,
                    left_ms: work_ms,
                    started_ms: now_ms,
                },
            );
            actions.extend(gate.arrive(arrival(ticket, class, now), now));
        }

        for action in actions {
            match action {
                GateAction::Start { ticket } => {
                    requests.get_mut(&ticket).unwrap().started_ms = now_ms;
                    running.push(ticket);
                }
                GateAction::Refuse { ticket, .. } => {
                    requests.remove(&ticket);
                }
            }
        }
        limit_sum += f64::from(gate.slots());
        if now_ms % 1_000 == 999 {
            outcome.limits.push(limit_sum / 1_000.0);
            limit_sum = 0.0;
        }
    }

    outcome
}

/// Returns the arrival of a request at the gate.
fn arrival(ticket: u64, class: ModelClass, now: LocalMoment) -> GateArrival {
    let objective = Duration::from_millis(class.objective_ms);

    GateArrival {
        ticket,
        class: Arc::from(class.name),
        is_call: false,
        priority: 2,
        objective_left: objective,
        objective,
        deadline: now + objective * 2,
        repeat_id: None,
    }
}

/// Draws a class by its share.
fn draw_class(classes: &[ModelClass], random: &mut ChaCha8Rng) -> ModelClass {
    let mut left: f64 = random.random();
    for class in classes {
        left -= class.share;
        if left < 0.0 {
            return *class;
        }
    }

    classes[0]
}

/// Draws the factor of the work of a request, log-normal with a mean of 1.
fn draw_factor(random: &mut ChaCha8Rng) -> f64 {
    let (first, second): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();

    (WORK_DEVIATION * normal - WORK_DEVIATION * WORK_DEVIATION / 2.0).exp()
}
