//! The scenarios, the compared policies and their measurements.

use crate::assign::{
    demand::f64_from_usize,
    fleet::{Fleet, STEP},
    naive::{assign_by_load, assign_by_remainder},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The seconds until the fleet has settled after its start.
const SETTLE_S: u32 = 180;
/// The seconds for which a scenario is observed.
const OBSERVE_S: u32 = 240;
/// The seconds between two hot keys.
const HOT_S: u32 = 120;
/// The duration of a load swing in seconds.
const SWING_S: u32 = 60;
/// The seconds for which a restarting target is down.
const AWAY_S: u32 = 10;
/// The seconds between two rounds of the naive rebalance by load.
const ROUND_S: u32 = 10;
/// The greatest imbalance that counts as settled.
const SETTLED: f64 = 1.25;
/// The simulation steps per second.
const STEPS: u32 = 4;

/// `Policy` selects how slices are assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The assignment machines of this project.
    Machines,
    /// The slice index modulo the number of targets.
    Remainder,
    /// A full rebalance by load, every [`ROUND_S`] seconds and after each change.
    Rebalance,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Machines, Self::Remainder, Self::Rebalance];

    /// Returns the name in the output.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Machines => "wagtail",
            Self::Remainder => "modulo",
            Self::Rebalance => "rebalance-all",
        }
    }
}

/// `Scenario` is a change that a settled fleet goes through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing changes.
    Quiet,
    /// A target joins.
    Join,
    /// A target is drained.
    Drain,
    /// A target is lost.
    Loss,
    /// A target is lost and restarts after [`AWAY_S`] seconds.
    Restart,
    /// A hot key appears, and another one replaces it after [`HOT_S`] seconds.
    HotKey,
    /// The load triples, with a higher factor for some slices, and falls back after [`SWING_S`]
    /// seconds.
    Swing,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 7] = [
        Self::Quiet,
        Self::Join,
        Self::Drain,
        Self::Loss,
        Self::Restart,
        Self::HotKey,
        Self::Swing,
    ];

    /// Returns the name in the output.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Join => "join",
            Self::Drain => "drain",
            Self::Loss => "loss",
            Self::Restart => "restart",
            Self::HotKey => "hot key",
            Self::Swing => "swing",
        }
    }
}

/// `ScenarioResult` holds the measurements of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct ScenarioResult {
    /// The number of ownership changes.
    pub moved: f64,
    /// The fewest ownership changes that the scenario requires, zero where none are required.
    pub least: f64,
    /// The imbalance right before the scenario.
    pub before: f64,
    /// The greatest imbalance during the scenario.
    pub worst: f64,
    /// The imbalance at the end.
    pub end: f64,
    /// The seconds during which the imbalance was above [`SETTLED`].
    pub settled: f64,
    /// The messages that a node sends per second.
    pub messages: f64,
    /// The mean size of a message in bytes.
    pub message_bytes: f64,
    /// The mean time in microseconds that an event takes.
    pub event_micros: f64,
}

/// Runs one scenario.
pub fn run(scenario: Scenario, policy: Policy, targets: usize, seed: u64) -> ScenarioResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1_000));
    let mut fleet = Fleet::new(targets, seed);

    for second in 0..SETTLE_S {
        run_second(&mut fleet, policy, second, true);
    }

    let moved = fleet.moved;
    let mut result = ScenarioResult {
        before: fleet.imbalance(),
        ..ScenarioResult::default()
    };

    for second in 0..OBSERVE_S {
        let changed = change(scenario, &mut fleet, second, &mut random, &mut result);
        run_second(&mut fleet, policy, second, changed);

        let imbalance = fleet.imbalance();
        result.worst = result.worst.max(imbalance);
        if imbalance > SETTLED {
            result.settled += 1.0;
        }
    }

    result.end = fleet.imbalance();
    result.moved = f64_from_usize(usize::try_from(fleet.moved - moved).unwrap_or(usize::MAX));
    record_traffic(&fleet, targets, &mut result);

    result
}

/// Runs one second; the naive policies reassign slices at its end.
fn run_second(fleet: &mut Fleet, policy: Policy, second: u32, changed: bool) {
    for _ in 0..STEPS {
        fleet.run_step(policy == Policy::Machines);
    }

    match policy {
        Policy::Remainder if changed => assign_by_remainder(fleet),
        Policy::Rebalance if changed || second.is_multiple_of(ROUND_S) => assign_by_load(fleet),
        Policy::Machines | Policy::Remainder | Policy::Rebalance => {}
    }
}

/// Changes the fleet or the load, records the fewest required moves, and returns whether the
/// targets changed.
fn change(
    scenario: Scenario,
    fleet: &mut Fleet,
    second: u32,
    random: &mut ChaCha8Rng,
    result: &mut ScenarioResult,
) -> bool {
    match (scenario, second) {
        (Scenario::Join, 0) => {
            fleet.add_target();
            result.least = least_to_fill(fleet);
            fleet.announce();
        }
        (Scenario::Drain, 0) => {
            result.least = f64_from_usize(fleet.owned(0));
            fleet.drain(0);
        }
        (Scenario::Loss, 0) => {
            result.least = f64_from_usize(fleet.owned(0));
            fleet.crash(0);
        }
        (Scenario::Restart, 0) => {
            // The slices leave, and as much load returns after the restart.
            result.least = f64_from_usize(fleet.owned(0)) + least_to_fill(fleet);
            fleet.crash(0);
        }
        (Scenario::Restart, AWAY_S) => fleet.restart(0),
        (Scenario::HotKey, 0 | HOT_S) => {
            let slice = fleet.demand.add_hot_key(random);
            result.least += least_for_hot_key(fleet, slice);

            return false;
        }
        (Scenario::Swing, 0) => {
            fleet.demand.swing(random);

            return false;
        }
        (Scenario::Swing, SWING_S) => {
            fleet.demand.end_swing();

            return false;
        }
        _ => return false,
    }

    true
}

/// Returns the fewest slices that fill an empty target to `2 - SETTLED` times the mean load.
fn least_to_fill(fleet: &Fleet) -> f64 {
    let loads = fleet.loads();
    let mean = loads.values().sum::<f64>() / f64_from_usize(loads.len());
    let mut rates: Vec<f64> = (0..fleet.slices())
        .map(|slice| fleet.demand.rate(slice))
        .filter(|rate| *rate < mean)
        .collect();
    rates.sort_by(|left, right| right.total_cmp(left));

    count_until(&rates, mean * (2.0 - SETTLED))
}

/// Returns how many of the rates, counted from the first, are needed to reach a load.
fn count_until(rates: &[f64], load: f64) -> f64 {
    let mut left = load;
    let counted = rates.iter().take_while(|rate| {
        let needed = left > 0.0;
        left -= **rate;

        needed
    });

    f64_from_usize(counted.count())
}

/// Returns the fewest other slices that must leave the owner of a hot key to bring it below
/// [`SETTLED`].
fn least_for_hot_key(fleet: &Fleet, hot: usize) -> f64 {
    let Some(owner) = fleet.owner(hot) else {
        return 0.0;
    };
    let loads = fleet.loads();
    let mean = loads.values().sum::<f64>() / f64_from_usize(loads.len());
    let excess = loads.get(&owner).copied().unwrap_or(0.0) - mean * SETTLED;
    let mut others: Vec<f64> = (0..fleet.slices())
        .filter(|slice| *slice != hot && fleet.owner(*slice) == Some(owner))
        .map(|slice| fleet.demand.rate(slice))
        .collect();
    others.sort_by(|left, right| right.total_cmp(left));

    count_until(&others, excess)
}

/// Records the traffic and processing time of the machines in the result.
fn record_traffic(fleet: &Fleet, targets: usize, result: &mut ScenarioResult) {
    let traffic = fleet.traffic;
    let f64_from_u64 = |count: u64| f64_from_usize(usize::try_from(count).unwrap_or(usize::MAX));
    let seconds = f64::from(SETTLE_S + OBSERVE_S);

    result.messages = f64_from_u64(traffic.messages) / seconds / f64_from_usize(targets);
    result.message_bytes = f64_from_u64(traffic.bytes) / f64_from_u64(traffic.messages.max(1));
    result.event_micros = traffic.busy.as_secs_f64() * 1e6 / f64_from_u64(traffic.events.max(1));

    debug_assert_eq!(STEP.as_millis() * u128::from(STEPS), 1_000);
}
